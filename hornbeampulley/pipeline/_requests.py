"""Requests as received from callers, and open requests at their home."""

import dataclasses

import trio

from hornbeampulley import decisions
from hornbeampulley.configuration import Route
from hornbeampulley.identity import LeaseStamp, RequestId
from hornbeampulley.pipeline._answers import Answer
from hornbeampulley.pipeline._calls import CallResult, TargetCall
from hornbeampulley.pipeline._content import Content


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as received from a caller.

    Attributes
    ----------
    workspace, service : str
        Names of the workspace and of the service.
    body : bytes
        The complete body.
    id_text : str
        Request id; empty if the caller sent none.
    idempotency_key : str
        Idempotency key chosen by the caller; empty if none.
    deadline_in_ms : float
        Deadline for the answer, in ms from arrival; 0 if none.
    """

    workspace: str
    service: str
    body: bytes = b''
    id_text: str = ''
    idempotency_key: str = ''
    deadline_in_ms: float = 0


@dataclasses.dataclass(slots=True)
class Request:
    """An open request at its home.

    Attributes
    ----------
    request_id : RequestId
        The request's id.
    incoming : IncomingRequest
        The request as received from the caller.
    arrived_ms : float
        Time of its arrival.
    answer : Answer
        The answer that callers read.
    route : Route or None
        Workspace, service and tier, set by the filter ``route``.
    content : Content
        Estimated cost, set by the filter ``inspect``.
    lease : Lease or None
        The current dispatch lease, if any.
    lease_stamp : LeaseStamp or None
        Stamp of the scheduler's lease; None if this process granted the
        lease itself.
    refusal : Refuse or None
        The scheduler's final refusal, if any.
    call : TargetCall or None
        The running call, if any.
    kv_state : str
        KV state exported at the last preemption; empty if none.
    previous : CallResult or None
        Result of the call that was last preempted and exported.
    moves : int
        Number of times that its stream was exported.
    is_cancelled : bool
        Whether the caller has cancelled the request.
    decided : trio.Event
        Set when a lease, a refusal or a cancellation has arrived.
    reported_ms : float
        Time of the last progress report to the scheduler.
    """

    request_id: RequestId
    incoming: IncomingRequest
    arrived_ms: float
    answer: Answer
    route: Route | None = None
    content: Content = dataclasses.field(default_factory=lambda: Content(0))
    lease: decisions.Lease | None = None
    lease_stamp: LeaseStamp | None = None
    refusal: decisions.Refuse | None = None
    call: TargetCall | None = None
    kv_state: str = ''
    previous: CallResult | None = None
    moves: int = 0
    is_cancelled: bool = False
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    reported_ms: float = 0

    @property
    def pool(self) -> str:
        """Name of the pool that serves it; empty until it is routed."""
        return self.route.service.pool if self.route else ''

    def to_reserve(self, home: str, now_ms: float) -> decisions.Reserve:
        """Make the event that asks for a lease or reports a running call.

        Parameters
        ----------
        home : str
            Incarnation of this home.
        now_ms : float
            The current time.

        Returns
        -------
        Reserve
            The event for the scheduler of the pool.
        """
        deadline_ms = 0.0
        if self.incoming.deadline_in_ms:
            deadline_ms = self.arrived_ms + self.incoming.deadline_in_ms
        return decisions.Reserve(
            request_id=str(self.request_id),
            home=home,
            workspace=self.route.workspace.name,
            service=self.route.service.name,
            tier=self.route.tier.name,
            prompt_tokens=self.content.prompt_tokens,
            output_tokens=self.content.output_tokens,
            block_hashes=self.content.block_hashes,
            fingerprint=self.content.fingerprint,
            deadline_ms=deadline_ms,
            idempotency_key=self.incoming.idempotency_key,
            repeatable=self.route.service.repeatable,
            target=self.call.target.name if self.call else '',
            waited_ms=now_ms - self.arrived_ms,
        )
