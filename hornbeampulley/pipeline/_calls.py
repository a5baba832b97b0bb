"""One call to a target, while it runs and when it has ended."""

import dataclasses
from collections.abc import Callable

import trio

from hornbeampulley.configuration import Target
from hornbeampulley.decisions import Outcome
from hornbeampulley.pipeline._answers import Answer


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """How a call to a target ended.

    Attributes
    ----------
    outcome : Outcome
        What happened.
    output_tokens : int
        Tokens produced.
    first_token_ms : float
        Delay from dispatch to the first token; 0 if none came.
    duration_ms : float
        From dispatch to the end.
    cached_tokens : int
        Prompt tokens that the engine found in its cache; -1 if not said.
    """

    outcome: Outcome
    output_tokens: int = 0
    first_token_ms: float = 0
    duration_ms: float = 0
    cached_tokens: int = -1


@dataclasses.dataclass(slots=True)
class TargetCall:
    """One call to a target, while it runs.

    Attributes
    ----------
    call_id : str
        Request id; also the call id at a plain service.
    target : Target
        Where it goes.
    path : str
        Path of the call.
    body : bytes
        As the caller sent it.
    answer : Answer
        Where the target's answer goes.
    mark_dispatched : callable
        Called just before the first byte is written.
    report : callable
        Called with this call when it has made progress.
    kv_state : str
        State exported by the engine that ran it before; empty if none.
    moves : int
        How often the stream was exported before.
    output_tokens, cached_tokens : int
        As seen so far.
    started_ms, first_token_ms : float
        Moment of dispatch, 0 before it, and delay of the first token.
    is_done : bool
        Whether the target said that the answer is whole.
    has_head : bool
        Whether the target has begun to answer.
    is_stopping : bool
        Whether the call stops as soon as the target begins to answer.
    scope : trio.CancelScope
        Cancelled to preempt the call.
    """

    call_id: str
    target: Target
    path: str
    body: bytes
    answer: Answer
    mark_dispatched: Callable[[], None]
    report: Callable[['TargetCall'], None]
    kv_state: str = ''
    moves: int = 0
    output_tokens: int = 0
    cached_tokens: int = -1
    started_ms: float = 0
    first_token_ms: float = 0
    is_done: bool = False
    has_head: bool = False
    is_stopping: bool = False
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope,
    )

    @property
    def stream_id(self) -> str:
        """Id at the engine, which takes each only once."""
        return f'{self.call_id}-{self.moves}' if self.moves else self.call_id

    @property
    def is_sent(self) -> bool:
        """Whether bytes may have reached the target."""
        return self.started_ms > 0

    def stop(self) -> None:
        """Preempt the call, but not between its dispatch and its answer.

        A target that has not taken the request yet would know nothing of the
        stream that is to be moved.
        """
        if self.is_sent and not self.has_head:
            self.is_stopping = True
        else:
            self.scope.cancel()

    def mark_head_received(self) -> None:
        """Note that the target has begun to answer."""
        self.has_head = True
        if self.is_stopping:
            self.is_stopping = False
            self.scope.cancel()

    def make_result(self, outcome: Outcome, now_ms: float) -> CallResult:
        """Sum up the call.

        Parameters
        ----------
        outcome : Outcome
            What happened.
        now_ms : float
            The current time.

        Returns
        -------
        CallResult
            With the figures seen.
        """
        duration_ms = now_ms - self.started_ms if self.is_sent else 0
        return CallResult(
            outcome,
            self.output_tokens,
            self.first_token_ms,
            duration_ms,
            self.cached_tokens,
        )
