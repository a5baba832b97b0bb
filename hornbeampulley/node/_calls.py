"""State of a caller's request from its arrival to its answer."""

import dataclasses

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1 import Buffer, Header, Reply, Request
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
    """A request ends with an error response made by this system.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    reason : str
        Short name for logs and metrics.
    retry_after_ms : float
        Time in ms after which the caller may retry; 0 to omit the header.
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
    """One request of a caller and the state of its processing.

    Attributes
    ----------
    request : Request
        The HTTP request as received.
    metadata : RequestMetadata
        Data from its headers.
    reply : Reply
        Writes the response to the caller.
    arrived_ms : float
        Time when the request was received in full, in ms.
    table : RoutingTable or None
        Routing table in force when it arrived.
    route : HttpRoute or None
        Route that matched.
    workspace : WorkspaceKeys or None
        Workspace of its key; None for anonymous requests.
    pool : str
        Pool that serves it.
    rank : int
        Priority; 0 is the highest.
    ends_ms : float
        Deadline of the answer, in ms on the node's clock.
    units : float
        Units drawn on the usage cap of its workspace.
    targets : list of str
        Targets that it was sent to.
    last_target : str
        Target of its last lease; empty before the first.
    known_slowness : float
        Slowness of that target that the owner of its pool knew.
    resends : int
        Number of times that it was sent again after an attempt that did not
        run.
    software : str
        Version of the software of the target that sent the first event of a
        stream that may be resumed; empty before.
    may_have_run : bool
        Whether a target may have begun to execute it.
    events : EventSplitter
        Events of the stream that were forwarded to the caller.
    buffer : Buffer
        Counts the bytes of its answer that are held.
    first_ms : float
        Time in ms from arrival to the first part of the answer; 0 before.
    status : int
        HTTP status of the answer; 0 before it starts.
    outcome : str
        How the request ended, for logs and metrics.
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
    known_slowness: float = 1
    resends: int = 0
    software: str = ''
    may_have_run: bool = False
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    buffer: Buffer = dataclasses.field(default_factory=Buffer)
    first_ms: float = 0
    status: int = 0
    outcome: str = ''

    @property
    def name(self) -> str:
        """Request id given by the caller, for logs."""
        return self.metadata.request_id.decode('latin-1')

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.route is not None and self.route.kind is CallKind.STREAM

    @property
    def is_taken_up(self) -> bool:
        """Whether its caller takes up a stream that has broken off."""
        is_resumable = self.route is not None and self.route.is_resumable
        return is_resumable and self.metadata.resumes_after is not None

    @property
    def resumes_after(self) -> bytes | None:
        """Id of the event after which the next target is to go on."""
        if self.route is None or not self.route.is_resumable:
            return None
        return self.events.last_id or self.metadata.resumes_after

    @property
    def first_attempt(self) -> bytes:
        """Id of the attempt that brought the first event; its own at first."""
        return self.metadata.first_attempt or self.metadata.request_id

    @property
    def last_event(self) -> str | None:
        """Id of the last event of its stream, for logs; None if it has none."""
        last_id = self.events.last_id
        return None if last_id is None else last_id.decode('latin-1')

    @property
    def engine(self) -> EngineSpec | None:
        """Properties of the engines of its pool; None for plain services."""
        spec = self.table.pools.get(self.pool)
        return spec.engine if spec else None

    @property
    def is_model(self) -> bool:
        """Whether model engines serve it."""
        return self.engine is not None

    @property
    def event_tokens(self) -> int:
        """Tokens in one event of its answer."""
        return self.engine.event_tokens if self.engine else 1

    @property
    def workspace_name(self) -> str:
        """Name of its workspace; empty for anonymous requests."""
        return self.workspace.name if self.workspace else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete response of a target, or the head of a streamed one.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers without the hop-by-hop ones.
    body : bytes
        Response body; empty for a stream.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = b''
