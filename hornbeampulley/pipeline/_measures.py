"""What a home counts of its requests."""

from typing import Final

from hornbeampulley.decisions import Outcome
from hornbeampulley.metrics import (
    GOODPUT,
    QUEUE_WAIT,
    SHEDS,
    WASTED_PREFILL,
    Metrics,
)
from hornbeampulley.pipeline._calls import CallResult
from hornbeampulley.pipeline._requests import Request

_HTTP_ERRORS: Final = 400
_NOTHING_WASTED: Final = frozenset(
    (Outcome.DONE, Outcome.NOT_SENT, Outcome.PREEMPTED),
)


def count_dispatch(metrics: Metrics, request: Request, now_ms: float) -> None:
    """Record how long a request waited.

    Parameters
    ----------
    metrics : Metrics
        Where it goes.
    request : Request
        Dispatched for the first time.
    now_ms : float
        The current time.
    """
    metrics.time(
        QUEUE_WAIT,
        request.route.tier.name,
        duration_ms=now_ms - request.arrived_ms,
    )


def count_refusal(metrics: Metrics, request: Request) -> None:
    """Count a request that the scheduler refused.

    Parameters
    ----------
    metrics : Metrics
        Where it goes.
    request : Request
        With its refusal.
    """
    reason = request.refusal.reason.value
    metrics.count(SHEDS, request.route.tier.name, reason)


def count_waste(metrics: Metrics, request: Request, result: CallResult) -> None:
    """Count the prompt tokens that a call prefilled for nothing.

    Parameters
    ----------
    metrics : Metrics
        Where they go.
    request : Request
        The call's request.
    result : CallResult
        How the call ended.
    """
    if result.outcome in _NOTHING_WASTED:
        return
    prefilled = request.content.prompt_tokens - max(result.cached_tokens, 0)
    if prefilled > 0:
        metrics.count(
            WASTED_PREFILL,
            request.route.tier.name,
            amount=prefilled,
        )


def count_answer(metrics: Metrics, request: Request, now_ms: float) -> None:
    """Count a whole answer that came in time.

    Parameters
    ----------
    metrics : Metrics
        Where it goes.
    request : Request
        Answered.
    now_ms : float
        The current time.
    """
    deadline_in_ms = request.incoming.deadline_in_ms
    is_late = 0 < deadline_in_ms < now_ms - request.arrived_ms
    if request.answer.status < _HTTP_ERRORS and not is_late:
        metrics.count(GOODPUT, request.route.tier.name)
