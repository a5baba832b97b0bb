"""Settings of the node, read from an INI file and validated as a whole."""

import dataclasses
import pathlib
from typing import Any, Final

from hornbeampulley._settings_kinds import ValueRule
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.settings import HostSettings, LogSettings, read_sections
from hornbeampulley.wire import MAX_FRAME_BYTES

MAX_TIME_MS: Final = 3_600_000
MAX_COUNT: Final = 1_000_000_000
MAX_PORT: Final = 65_535
# The rest is for the process itself and for copies of single messages.
BUFFER_SHARE: Final = 0.2
# Where that is less: a process without requests takes 48 MB, and copies of
# messages and unused parts of the heap about as much as the messages.
PROCESS_MB: Final = 50
SPARE_SHARE: Final = 0.3
MIN_BUFFER_SHARE: Final = 0.1
BYTES_PER_MB: Final = 1_000_000
# What the kernel may hold for a caller, which doubles it; it held 31 MB for 800
# with 32 KiB. Allows 1.6 MB a second at a round trip of 10 ms.
RECEIVE_BUFFER_BYTES: Final = 16_384
# The same at ports whose requests have no body, and before the hello of a peer.
HEAD_BUFFER_BYTES: Final = 4096
# Shares of the descriptors: peers, store, logs and listening sockets; the
# directory; the readiness probe and, as many, the metrics. A request of a
# caller needs two of the rest.
RESERVED_SHARE: Final = 1 / 8
DIRECTORY_SHARE: Final = 1 / 16
PROBE_SHARE: Final = 1 / 32
MIN_CONNECTIONS: Final = 8
MAX_LINKS: Final = 65_536
MIN_HELLO_BYTES: Final = 1024
MIN_PART_BYTES: Final = 512
MAX_PART_BYTES: Final = 65_536
MAX_LINES: Final = 1000


def _checked_field(rule: ValueRule, default: Any = dataclasses.MISSING) -> Any:
    return dataclasses.field(default=default, metadata={'rule': rule})


def _endpoint_field() -> Any:
    return _checked_field(ValueRule('endpoint'))


def _time_field(default: float, minimum: int = 0) -> Any:
    return _checked_field(ValueRule('duration', minimum, MAX_TIME_MS), default)


def _count_field(
    default: int, minimum: int = 0, maximum: int = MAX_COUNT
) -> Any:
    return _checked_field(ValueRule('integer', minimum, maximum), default)


def _number_field(default: float) -> Any:
    return _checked_field(ValueRule('number', 0, MAX_COUNT), default)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Endpoints that the node listens on.

    Attributes
    ----------
    callers : Endpoint
        Requests of callers.
    readiness : Endpoint
        Readiness probe.
    directory : Endpoint
        Directory of nodes for callers.
    peers : Endpoint
        Links of other nodes.
    gossip_port : int
        UDP port for gossip.
    metrics_port : int
        Port for metrics as text; 0 for none.
    """

    callers: Endpoint = _endpoint_field()
    readiness: Endpoint = _endpoint_field()
    directory: Endpoint = _endpoint_field()
    peers: Endpoint = _endpoint_field()
    gossip_port: int = _checked_field(ValueRule('integer', 1, MAX_PORT), 7600)
    metrics_port: int = _checked_field(ValueRule('integer', 0, MAX_PORT), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Store from which the node reads routing and targets.

    Attributes
    ----------
    address : Endpoint
        Address and port of the store.
    """

    address: Endpoint = _endpoint_field()


@dataclasses.dataclass(frozen=True, slots=True)
class SeedSettings:
    """Peers that the node contacts first.

    Attributes
    ----------
    seeds : tuple of Endpoint
        Peer endpoints of some nodes; may be out of date.
    """

    seeds: tuple[Endpoint, ...] = _checked_field(ValueRule('endpoints'), ())


@dataclasses.dataclass(frozen=True, slots=True)
class BoundSettings:
    """Limits that operators set for the whole deployment.

    Attributes
    ----------
    drain_ms : float
        Time in ms after which a leaving target gets no new request.
    grace_ms : float
        Time in ms from SIGTERM to SIGKILL.
    resolve_ttl_ms : float
        Longest time in ms for which callers cache a list of addresses.
    retry_ratio : float
        Retries allowed per request, over all nodes.
    retry_window_ms : float
        Length of the window over which retries are counted, in ms.
    retry_slack : float
        Retries allowed per window in addition to the ratio, over all nodes.
    cap_overage : float
        Accepted usage beyond a usage cap, as a share of the cap.
    cap_slack : float
        Further accepted usage beyond a usage cap, in units.
    cap_window_ms : float
        Length of the window over which usage is measured, in ms.
    max_files : int
        Largest number of file descriptors that the process may open.
    evacuate_ms : float
        Time in ms after which the targets of an evacuated availability zone
        get no request; 0 if the deployment has no evacuations.
    cold_overage : float
        Requests that a cold target may get in a second, in multiples of the
        rate that its pool names; 0 if starts are not limited.
    cold_slack : float
        Further requests that a cold target may get in a second.
    """

    drain_ms: float = _time_field(2000)
    grace_ms: float = _time_field(8000)
    resolve_ttl_ms: float = _time_field(2000)
    retry_ratio: float = _number_field(0.2)
    retry_window_ms: float = _time_field(10_000)
    retry_slack: float = _number_field(56)
    cap_overage: float = _number_field(0)
    cap_slack: float = _number_field(0)
    cap_window_ms: float = _time_field(8000, minimum=1)
    max_files: int = _count_field(4096)
    evacuate_ms: float = _time_field(0)
    cold_overage: float = _number_field(0)
    cold_slack: float = _number_field(0)

    @property
    def max_directory_connections(self) -> int:
        """Maximum number of connections to the directory."""
        return max(int(self.max_files * DIRECTORY_SHARE), MIN_CONNECTIONS)

    @property
    def max_probe_connections(self) -> int:
        """Maximum number of connections to readiness, also to metrics."""
        return max(int(self.max_files * PROBE_SHARE), MIN_CONNECTIONS)

    @property
    def max_caller_connections(self) -> int:
        """Maximum number of connections of callers."""
        left = (
            self.max_files * (1 - RESERVED_SHARE)
            - self.max_directory_connections
            - 2 * self.max_probe_connections
        )
        return max(int(left / 2), 2 * MIN_CONNECTIONS)


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceSettings:
    """Resources of the host that the node runs on.

    Attributes
    ----------
    processor_share : float
        Share of one core that the node may use.
    processor_speed : float
        Speed of that core, in multiples of the slowest kind of host.
    memory_mb : float
        Memory that the node may use, in MB.
    """

    processor_share: float = _number_field(1)
    processor_speed: float = _number_field(1)
    memory_mb: float = _number_field(300)

    @property
    def processor_capacity(self) -> float:
        """Processor time per second, in cores of the slowest kind of host."""
        return self.processor_share * self.processor_speed

    @property
    def buffer_bytes(self) -> int:
        """Bytes of requests and answers that may be held at the same time."""
        spare_mb = (self.memory_mb - PROCESS_MB) * SPARE_SHARE
        shared_mb = min(self.memory_mb * BUFFER_SHARE, spare_mb)
        least_mb = self.memory_mb * MIN_BUFFER_SHARE
        return round(max(shared_mb, least_mb) * BYTES_PER_MB)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits for clients that nobody controls.

    Attributes
    ----------
    max_pending_links : int
        Maximum number of connections at the port of peers that have not sent
        their hello; at most as many as the directory may have.
    max_hello_bytes : int
        Longest frame before a hello, in bytes.
    part_bytes : int
        Bytes of requests in small pieces that are parsed in each turn of the
        event loop.
    warning_lines_per_s : int
        Log lines a second of each kind of warning.
    """

    max_pending_links: int = _count_field(256, MIN_CONNECTIONS, MAX_LINKS)
    max_hello_bytes: int = _count_field(
        16_384, MIN_HELLO_BYTES, MAX_FRAME_BYTES
    )
    part_bytes: int = _count_field(4096, MIN_PART_BYTES, MAX_PART_BYTES)
    warning_lines_per_s: int = _count_field(20, 1, MAX_LINES)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node; each attribute is a section of the file."""

    host: HostSettings
    listen: ListenSettings
    store: StoreSettings
    peers: SeedSettings
    bounds: BoundSettings
    resources: ResourceSettings
    logs: LogSettings
    limits: LimitSettings = LimitSettings()


def read_node_settings(path: pathlib.Path | str) -> NodeSettings:
    """Read the settings file of a node.

    Parameters
    ----------
    path : pathlib.Path or str
        Path of the file.

    Returns
    -------
    NodeSettings
        The checked settings.

    Raises
    ------
    SettingsError
        If the file is invalid; the message lists every fault.
    """
    return NodeSettings(**read_sections(path, NodeSettings))
