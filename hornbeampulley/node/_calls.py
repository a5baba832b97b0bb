"""A caller's request from its arrival to its answer."""

import dataclasses

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1 import Header, Reply, Request
from hornbeampulley.node._events import EventSplitter
from hornbeampulley.node.dialect import RequestMetadata
from hornbeampulley.routing import (
    CallKind,
    EngineSpec,
    HttpRoute,
    RoutingTable,
    WorkspaceKeys,
)


class CallError(HornbeamError):
    """A request ends with an answer of this system's own.

    Attributes
    ----------
    status : int
        Status of the answer.
    reason : str
        Short name for logs and counters.
    retry_after_ms : float
        When the caller may come back; 0 if it is not told.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        message: str,
        retry_after_ms: float = 0,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One attempt of a caller.

    Attributes
    ----------
    request : Request
        As received.
    metadata : RequestMetadata
        What it says.
    reply : Reply
        Where its answer goes.
    arrived_ms : float
        When it was whole.
    table : RoutingTable or None
        In force when it arrived.
    route : HttpRoute or None
        Its route.
    workspace : WorkspaceKeys or None
        Whose it is; None if nobody's.
    pool : str
        Pool that serves it.
    rank : int
        Its urgency.
    ends_ms : float
        When it gets its final answer at the latest.
    units : float
        What it has drawn on its workspace's cap.
    targets : list of str
        Targets that it was sent to.
    last_target : str
        Target of its last lease; empty before the first.
    resends : int
        How often it was sent again because it had not run.
    may_have_run : bool
        Whether a target may have begun to work on it.
    events : EventSplitter
        What its caller has of a stream.
    first_ms : float
        Time from arrival to the first part of the answer; 0 before.
    status : int
        Status of the answer; 0 before.
    outcome : str
        How it ended, for the log.
    """

    request: Request
    metadata: RequestMetadata
    reply: Reply
    arrived_ms: float
    table: RoutingTable | None = None
    route: HttpRoute | None = None
    workspace: WorkspaceKeys | None = None
    pool: str = ''
    rank: int = 0
    ends_ms: float = 0
    units: float = 0
    targets: list[str] = dataclasses.field(default_factory=list)
    last_target: str = ''
    resends: int = 0
    may_have_run: bool = False
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    first_ms: float = 0
    status: int = 0
    outcome: str = ''

    @property
    def name(self) -> str:
        """Id given by the caller, for logs."""
        return self.metadata.request_id.decode('latin-1')

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a series of events."""
        return self.route is not None and self.route.kind is CallKind.STREAM

    @property
    def engine(self) -> EngineSpec | None:
        """Engines of its pool; None for plain services."""
        spec = self.table.pools.get(self.pool)
        return spec.engine if spec else None

    @property
    def is_model(self) -> bool:
        """Whether engines serve it."""
        return self.engine is not None

    @property
    def event_tokens(self) -> int:
        """Tokens in one event of its answer."""
        return self.engine.event_tokens if self.engine else 1

    @property
    def workspace_name(self) -> str:
        """Name of its workspace; empty if nobody's."""
        return self.workspace.name if self.workspace else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer, or the head of its stream.

    Attributes
    ----------
    status : int
        Its status.
    headers : tuple of (bytes, bytes)
        Without those of the connection.
    body : bytes
        Empty for a stream.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = b''
