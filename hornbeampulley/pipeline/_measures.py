"""Request metrics recorded by a home."""

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
    """Record the queueing time of a request.

    Parameters
    ----------
    metrics : Metrics
        Receives the metric.
    request : Request
        The request, at its first dispatch.
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
        Receives the metric.
    request : Request
        The request, with ``refusal`` set.
    """
    reason = request.refusal.reason.value
    metrics.count(SHEDS, request.route.tier.name, reason)


def count_waste(metrics: Metrics, request: Request, result: CallResult) -> None:
    """Count the prompt tokens that an unfinished call prefilled in vain.

    Parameters
    ----------
    metrics : Metrics
        Receives the metric.
    request : Request
        The request of the call.
    result : CallResult
        Result of the call.
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
    """Count a complete, successful answer within the deadline.

    Parameters
    ----------
    metrics : Metrics
        Receives the metric.
    request : Request
        The answered request.
    now_ms : float
        The current time.
    """
    deadline_in_ms = request.incoming.deadline_in_ms
    is_late = 0 < deadline_in_ms < now_ms - request.arrived_ms
    if request.answer.status < _HTTP_ERRORS and not is_late:
        metrics.count(GOODPUT, request.route.tier.name)
