"""Completes answers of requests at their home and stores them."""

from hornbeampulley.decisions import Outcome
from hornbeampulley.identity import Executed, State
from hornbeampulley.pipeline._calls import CallResult
from hornbeampulley.pipeline._home import Home
from hornbeampulley.pipeline._measures import count_answer
from hornbeampulley.pipeline._problems import Problem, explain_refusal
from hornbeampulley.pipeline._requests import Request


def end_answer(home: Home, request: Request, result: CallResult) -> None:
    """Complete the answer of a request whose last call has ended.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The request; no further call follows.
    result : CallResult
        The result of its last call.
    """
    if result.outcome is Outcome.DONE:
        request.answer.end()
        count_answer(home.metrics, request, home.clock.now())
    elif result.outcome is Outcome.CANCELLED:
        request.answer.end_with(explain_cancellation(home, request))
    elif request.refusal is not None and request.refusal.ran:
        request.answer.end_with(explain_refusal(request.refusal))
    else:
        request.answer.end_with(explain_failure(home, request))


def _find_executed(home: Home, request: Request) -> Executed:
    state = home.ledger.find_state(request.request_id)
    return Executed.NO if state is State.WAITING else Executed.UNKNOWN


def explain_cancellation(home: Home, request: Request) -> Problem:
    """Make the problem for a request that its caller cancelled.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The cancelled request.

    Returns
    -------
    Problem
        The problem, which states whether the request may have run.
    """
    return Problem(
        499,
        'cancelled',
        'the caller cancelled the request; send it again under a new id if '
        'it is wanted after all',
        _find_executed(home, request),
    )


def explain_failure(home: Home, request: Request) -> Problem:
    """Make the problem for a request whose target failed.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The request, whose answer is incomplete.

    Returns
    -------
    Problem
        The problem, which states whether the request may have run.
    """
    return Problem(
        502,
        'target failed',
        'the target broke off before the answer was whole; look the outcome '
        'up before sending the request again',
        _find_executed(home, request),
    )


def store_answer(home: Home, request: Request) -> None:
    """Store a complete answer for callers that repeat the request.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The request, whose answer is complete.
    """
    now_ms = home.clock.now()
    encoded = request.answer.encode()
    state = home.ledger.find_state(request.request_id)
    if state is State.WAITING:
        home.ledger.refuse(request.request_id, encoded, now_ms)
    elif request.answer.headers.get('hornbeam-ran') == Executed.YES.value:
        home.ledger.finish(request.request_id, encoded, now_ms)
    else:
        home.ledger.finish(
            request.request_id,
            encoded,
            now_ms,
            Executed.UNKNOWN,
        )
