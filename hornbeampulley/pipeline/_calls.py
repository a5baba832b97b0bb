"""Calls to targets and their results."""

import dataclasses
from collections.abc import Callable

import trio

from hornbeampulley.configuration import Target
from hornbeampulley.decisions import Outcome
from hornbeampulley.pipeline._answers import Answer


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call to a target.

    Attributes
    ----------
    outcome : Outcome
        How the call ended.
    output_tokens : int
        Number of tokens produced.
    first_token_ms : float
        Time from dispatch to the first token; 0 if there was none.
    duration_ms : float
        Time from dispatch to the end of the call.
    cached_tokens : int
        Number of prompt tokens that the engine found in its cache; -1 if it
        did not report it.
    """

    outcome: Outcome
    output_tokens: int = 0
    first_token_ms: float = 0
    duration_ms: float = 0
    cached_tokens: int = -1


@dataclasses.dataclass(slots=True)
class TargetCall:
    """A running call to a target.

    Attributes
    ----------
    call_id : str
        The request id, which is also the call id at a plain service.
    target : Target
        The target called.
    path : str
        URL path of the call.
    body : bytes
        Request body, as sent by the caller.
    answer : Answer
        Receives the target's answer.
    mark_dispatched : callable
        Called immediately before the first byte is written.
    report : callable
        Called with this call whenever it has made progress.
    kv_state : str
        KV state exported by the engine that ran the stream before; empty if
        none.
    moves : int
        Number of times the stream was exported before.
    output_tokens, cached_tokens : int
        As in `CallResult`, up to now.
    started_ms, first_token_ms : float
        Time of the dispatch (0 before it), and time from there to the first
        token.
    is_done : bool
        Whether the target has marked its answer as complete.
    has_head : bool
        Whether the response head of the target has been received.
    is_stopping : bool
        Whether to preempt the call once the response head is received.
    scope : trio.CancelScope
        Cancel scope of the call; cancelled to preempt it.
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
        """Id at the engine, which accepts each id only once."""
        return f'{self.call_id}-{self.moves}' if self.moves else self.call_id

    @property
    def is_sent(self) -> bool:
        """Whether bytes may have reached the target."""
        return self.started_ms > 0

    def stop(self) -> None:
        """Preempt the call, but not between dispatch and response head.

        In that interval the target may not have accepted the request yet and
        could not export its stream. The call is then preempted on receipt of
        the response head.
        """
        if self.is_sent and not self.has_head:
            self.is_stopping = True
        else:
            self.scope.cancel()

    def mark_head_received(self) -> None:
        """Record that the response head of the target was received."""
        self.has_head = True
        if self.is_stopping:
            self.is_stopping = False
            self.scope.cancel()

    def make_result(self, outcome: Outcome, now_ms: float) -> CallResult:
        """Make the result of the call.

        Parameters
        ----------
        outcome : Outcome
            How the call ended.
        now_ms : float
            The current time.

        Returns
        -------
        CallResult
            The outcome with the call's figures.
        """
        duration_ms = now_ms - self.started_ms if self.is_sent else 0
        return CallResult(
            outcome,
            self.output_tokens,
            self.first_token_ms,
            duration_ms,
            self.cached_tokens,
        )
