"""Routing table: maps requests to routes, pools and workspaces."""

import dataclasses
import enum
from collections import defaultdict
from collections.abc import Iterable

import xxhash

from hornbeampulley.http1 import MessageLimits


class CallKind(enum.Enum):
    """Kind of the calls of a route, which decides whether they are retried."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Share of the requests of a route that goes to one pool.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Weight, relative to the other pools of the route.
    """

    pool: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRoute:
    """Route for the requests to one host and path prefix.

    Attributes
    ----------
    name : str
        Unique name.
    host : str
        Value of the Host header, without a port.
    prefix : str
        Path prefix; starts and ends with a slash.
    kind : CallKind
        Kind of the calls, which decides whether they are retried.
    splits : tuple of Split
        Pools that serve the route.
    rank : int
        Priority; 0 is the highest.
    timeout_ms : float
        Time limit of a request, in ms.
    objective_ms : float
        Latency objective in ms, for the answer or the first event of a
        stream.
    gap_ms : float
        Objective for the time between events of a stream, in ms; 0 if none.
    patience_ms : float
        Time in ms after which callers abandon a stream that has not begun; 0
        if they wait until their time limit.
    max_attempts : int
        Largest number of targets that one request is sent to.
    is_anonymous : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed at another target.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    splits: tuple[Split, ...]
    rank: int = 0
    timeout_ms: float = 15_000
    objective_ms: float = 1000
    gap_ms: float = 0
    patience_ms: float = 0
    max_attempts: int = 1
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be run again from its start."""
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Configured properties of the model engines of a pool.

    Attributes
    ----------
    slots : int
        Requests that an engine runs concurrently.
    memory_tokens : int
        Tokens that fit in the memory of an engine.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSpec:
    """Configured properties of a pool of targets.

    Attributes
    ----------
    name : str
        Name of the pool.
    health_path : str
        Path of the health check of its targets.
    max_connections : int
        Connections that a target accepts from all hosts together.
    engine : EngineSpec or None
        Properties of its model engines; None if the targets are plain
        services.
    cold_ms : float
        Time in ms for which its targets are cold after each start.
    cold_per_s : float
        Requests per second that a cold target takes; 0 if it is not limited.
    """

    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: EngineSpec | None = None
    cold_ms: float = 0
    cold_per_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCap:
    """Usage cap of a workspace, over all hosts.

    Attributes
    ----------
    per_second : float
        Rate in units per second; 0 for no limit.
    burst : float
        Units that may be used at once beyond the rate.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    plain_tokens : int
        Units charged for a request without a token count, if units are
        tokens.
    """

    per_second: float = 0
    burst: float = 0
    counts_tokens: bool = False
    plain_tokens: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.per_second > 0

    def count_units(self, tokens: int | None) -> float:
        """Return the units that a request uses.

        Parameters
        ----------
        tokens : int or None
            Prompt and output tokens; None if the request states none.

        Returns
        -------
        float
            Number of units.
        """
        if not self.counts_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace with its API keys, priority and usage cap.

    Attributes
    ----------
    name : str
        Name of the workspace.
    keys : frozenset of bytes
        API keys of its callers.
    rank : int or None
        Priority of its requests, overriding that of the route; None to keep
        the route's.
    cap : UsageCap
        Usage cap.
    """

    name: str
    keys: frozenset[bytes] = frozenset()
    rank: int | None = None
    cap: UsageCap = UsageCap()


class RoutingTable:
    """One version of the routing configuration, indexed for look-ups.

    Parameters
    ----------
    version : int
        Version number, which grows with each change.
    routes : iterable of HttpRoute
        All routes.
    pools : iterable of PoolSpec
        All pools.
    workspaces : iterable of WorkspaceKeys
        All workspaces; empty if requests need no key.
    limits : MessageLimits
        Size and time limits for the requests of callers.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[HttpRoute],
        pools: Iterable[PoolSpec] = (),
        workspaces: Iterable[WorkspaceKeys] = (),
        limits: MessageLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.workspaces = {one.name: one for one in workspaces}
        self.limits = limits or MessageLimits()
        self._by_host: dict[str, dict[str, HttpRoute]] = defaultdict(dict)
        for route in self.routes:
            self._by_host[route.host.lower()][route.prefix] = route
        self._by_key = {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> HttpRoute | None:
        """Find the route with the longest matching prefix.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        path : str
            Path without query.

        Returns
        -------
        HttpRoute or None
            None if no route matches.
        """
        name = host.partition(':')[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_workspace(self, key: bytes | None) -> WorkspaceKeys | None:
        """Find the workspace of an API key.

        Parameters
        ----------
        key : bytes or None
            Key sent by the caller; None if it sent none.

        Returns
        -------
        WorkspaceKeys or None
            None if no workspace has the key.
        """
        return None if key is None else self._by_key.get(key)


def choose_pool(route: HttpRoute, request_id: bytes) -> str:
    """Choose the pool of a request by the weights of its route.

    The choice is a hash of the request id, so a repeat of a request goes to
    the same pool.

    Parameters
    ----------
    route : HttpRoute
        Route of the request.
    request_id : bytes
        Id of the request.

    Returns
    -------
    str
        Name of the pool.
    """
    total = sum(split.weight for split in route.splits)
    point = xxhash.xxh3_64_intdigest(request_id) / (1 << 64) * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.pool
    return route.splits[-1].pool
