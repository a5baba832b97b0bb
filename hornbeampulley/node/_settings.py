"""Settings of the node, read from an INI file and checked as a whole."""

import dataclasses
import pathlib
from typing import Any, Final

from hornbeampulley._settings_kinds import Rule
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.settings import HostSettings, LogSettings, read_sections

MAX_TIME_MS: Final = 3_600_000
MAX_COUNT: Final = 1_000_000_000
MAX_PORT: Final = 65_535


def _ruled(rule: Rule, default: Any = dataclasses.MISSING) -> Any:
    return dataclasses.field(default=default, metadata={'rule': rule})


def _endpoint() -> Any:
    return _ruled(Rule('endpoint'))


def _time(default: int) -> Any:
    return _ruled(Rule('integer', 0, MAX_TIME_MS), default)


def _count(default: int) -> Any:
    return _ruled(Rule('integer', 0, MAX_COUNT), default)


def _number(default: float) -> Any:
    return _ruled(Rule('number', 0, MAX_COUNT), default)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Where the node listens.

    Attributes
    ----------
    callers : Endpoint
        Requests of callers.
    readiness : Endpoint
        Questions whether the node is ready.
    directory : Endpoint
        Questions of callers where to connect.
    peers : Endpoint
        Links of other nodes; the same port takes their datagrams.
    metrics_port : int
        Counters as text; 0 for none.
    """

    callers: Endpoint = _endpoint()
    readiness: Endpoint = _endpoint()
    directory: Endpoint = _endpoint()
    peers: Endpoint = _endpoint()
    gossip_port: int = _ruled(Rule('integer', 1, MAX_PORT), 7600)
    metrics_port: int = _ruled(Rule('integer', 0, MAX_PORT), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store that the node reads.

    Attributes
    ----------
    address : Endpoint
        Where it listens.
    """

    address: Endpoint = _endpoint()


@dataclasses.dataclass(frozen=True, slots=True)
class SeedSettings:
    """Peers known at the start.

    Attributes
    ----------
    seeds : tuple of Endpoint
        Where they take links; may be out of date.
    """

    seeds: tuple[Endpoint, ...] = _ruled(Rule('endpoints'), ())


@dataclasses.dataclass(frozen=True, slots=True)
class BoundSettings:
    """What operators promise their callers.

    Attributes
    ----------
    drain_ms : int
        Time after which a leaving target gets no new request.
    grace_ms : int
        Time from SIGTERM to SIGKILL.
    resolve_ttl_ms : int
        Longest time that callers keep a list of addresses.
    retry_ratio : float
        Retries for each request, over all nodes.
    retry_window_ms : int
        Time over which they are counted.
    retry_slack : int
        Retries beside the share, over all nodes.
    cap_overage : float
        Share beyond a usage cap that operators put up with.
    cap_slack : float
        Units beyond it that they put up with besides.
    cap_window_ms : int
        Time over which operators look at a workspace's usage.
    max_files : int
        Descriptors that the process may have.
    """

    drain_ms: int = _time(2000)
    grace_ms: int = _time(8000)
    resolve_ttl_ms: int = _time(2000)
    retry_ratio: float = _number(0.2)
    retry_window_ms: int = _time(10_000)
    retry_slack: int = _count(56)
    cap_overage: float = _number(0)
    cap_slack: float = _number(0)
    cap_window_ms: int = _ruled(Rule('integer', 1, MAX_TIME_MS), 8000)
    max_files: int = _count(4096)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node; each attribute is a section of the file."""

    host: HostSettings
    listen: ListenSettings
    store: StoreSettings
    peers: SeedSettings
    bounds: BoundSettings
    logs: LogSettings


def read_node_settings(path: pathlib.Path | str) -> NodeSettings:
    """Read the settings file of a node.

    Parameters
    ----------
    path : pathlib.Path or str
        Path of the file.

    Returns
    -------
    NodeSettings
        The settings, all checked.

    Raises
    ------
    SettingsError
        With every fault of the file.
    """
    return NodeSettings(**read_sections(path, NodeSettings))
