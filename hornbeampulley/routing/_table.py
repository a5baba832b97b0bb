"""The routing table: which pool serves a request, and for which workspace."""

import dataclasses
import enum
from collections import defaultdict
from collections.abc import Iterable

import xxhash

from hornbeampulley.http1 import MessageLimits


class CallKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A pool's part of the requests of a route.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Its part, relative to the other pools of the route.
    """

    pool: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRoute:
    """Requests of one host and path prefix.

    Attributes
    ----------
    name : str
        Unique name.
    host : str
        Host that callers name.
    prefix : str
        Beginning of their paths; starts and ends with a slash.
    kind : CallKind
        What may be repeated.
    splits : tuple of Split
        The pools that serve it.
    rank : int
        Urgency; 0 is the highest.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    objective_ms : float
        Time within which an answer counts in full; of a stream, its first
        event.
    gap_ms : float
        Longest pause between events that counts as in time; 0 if none.
    patience_ms : float
        Longest time that callers wait for the first event of a stream; 0 if
        they wait until their time limit.
    max_attempts : int
        Targets that one request may be sent to.
    is_anonymous : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may go on at another target.
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
        """Whether a request may run on a second target from its start."""
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What operators say of the engines of a pool.

    Attributes
    ----------
    slots : int
        Requests that an engine runs side by side.
    memory_tokens : int
        Tokens that fit in its memory.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSpec:
    """What operators say of a pool.

    Attributes
    ----------
    name : str
        Its name.
    health_path : str
        Where its targets tell their health.
    max_connections : int
        Connections that a target accepts from all hosts together.
    engine : EngineSpec or None
        None if its targets are plain services.
    """

    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCap:
    """What a workspace may use, over all hosts.

    Attributes
    ----------
    per_second : float
        Units a second; 0 for no limit.
    burst : float
        Units that may be used at once beyond the rate.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    plain_tokens : int
        Tokens that a request without a token count stands for.
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
            Its prompt and output tokens; None if it names none.

        Returns
        -------
        float
            Units.
        """
        if not self.counts_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace, its keys and what it may use.

    Attributes
    ----------
    name : str
        Its name.
    keys : frozenset of bytes
        Secrets that its callers send.
    rank : int or None
        Urgency of its requests; None leaves it to their routes.
    cap : UsageCap
        What it may use.
    """

    name: str
    keys: frozenset[bytes] = frozenset()
    rank: int | None = None
    cap: UsageCap = UsageCap()


class RoutingTable:
    """One version of what operators say, indexed for look-ups.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : iterable of HttpRoute
        All routes.
    pools : iterable of PoolSpec
        All pools.
    workspaces : iterable of WorkspaceKeys
        All workspaces; none if requests need no key.
    limits : MessageLimits
        What callers may send.
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
        """Find the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host that the caller named, with or without a port.
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
        """Find the workspace of a key.

        Parameters
        ----------
        key : bytes or None
            As sent by the caller.

        Returns
        -------
        WorkspaceKeys or None
            None if no workspace has the key.
        """
        return None if key is None else self._by_key.get(key)


def choose_pool(route: HttpRoute, request_id: bytes) -> str:
    """Choose the pool of a request by the weights of its route.

    Parameters
    ----------
    route : HttpRoute
        The route.
    request_id : bytes
        Id of the request; equal ids get equal pools.

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
