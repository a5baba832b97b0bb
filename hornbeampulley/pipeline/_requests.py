"""A request at its home, from its arrival to its answer."""

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
    """What a caller sent.

    Attributes
    ----------
    workspace, service : str
        Names.
    body : bytes
        The whole body.
    id_text : str
        Request id; empty if the caller sent none.
    idempotency_key : str
        The caller's own key; empty if none.
    deadline_in_ms : float
        After which time the answer is of no use; 0 if none.
    """

    workspace: str
    service: str
    body: bytes = b''
    id_text: str = ''
    idempotency_key: str = ''
    deadline_in_ms: float = 0


@dataclasses.dataclass(slots=True)
class Request:
    """One open request at its home.

    Attributes
    ----------
    request_id : RequestId
        Its id.
    incoming : IncomingRequest
        What the caller sent.
    arrived_ms : float
        When it came.
    answer : Answer
        What callers read.
    route : Route or None
        Set by the filter ``route``.
    content : Content
        Set by the filter ``inspect``.
    lease : Lease or None
        Permission to dispatch, while it is held.
    lease_stamp : LeaseStamp or None
        Stamp of the scheduler's lease; None for a lease of this process.
    refusal : Refuse or None
        The scheduler's final word.
    call : TargetCall or None
        The call that runs now.
    kv_state : str
        State exported when it was preempted; empty if none.
    previous : CallResult or None
        How its call stood when it was preempted.
    moves : int
        How often its stream was exported.
    is_cancelled : bool
        Whether the caller has cancelled it.
    decided : trio.Event
        Set when a lease, a refusal or a cancellation has come.
    reported_ms : float
        When the scheduler was last told of progress.
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
        """Pool that is to serve it; empty before it is routed."""
        return self.route.service.pool if self.route else ''

    def to_reserve(self, home: str, now_ms: float) -> decisions.Reserve:
        """Form the event that asks for a lease, or tells what runs already.

        Parameters
        ----------
        home : str
            Incarnation of this home.
        now_ms : float
            The current time.

        Returns
        -------
        Reserve
            For the scheduler of the pool.
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
