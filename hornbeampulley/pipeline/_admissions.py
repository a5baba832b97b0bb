"""Problems sent to callers whose request id is not admitted."""

from typing import Final

from hornbeampulley.identity import Admission, Executed
from hornbeampulley.pipeline._problems import Problem, ProblemError

RETRY_AFTER_MS: Final = 1000.0

_PROBLEMS: Final = {
    Admission.HANDLED: Problem(
        410,
        'answer no longer kept',
        'the request of this id was handled and its answer is no longer '
        'kept; look the outcome up where it was filed',
        Executed.UNKNOWN,
    ),
    Admission.EXPIRED_LEASE: Problem(
        409,
        'id lease expired',
        'the id lease has expired; ask /v1/entries for a new one and send '
        'the request under a new id',
    ),
    Admission.UNKNOWN_LEASE: Problem(
        400,
        'id lease unknown',
        'this entry never granted the id lease; ask /v1/entries for one',
    ),
    Admission.WRONG_WORKSPACE: Problem(
        403,
        'id of another workspace',
        'the id lease was granted to another workspace; ask /v1/entries for '
        'one of your own',
        Executed.UNKNOWN,
    ),
    Admission.WINDOW_FULL: Problem(
        503,
        'entry full',
        'too many requests are open at this entry; repeat the request with '
        'the same id, or ask /v1/entries for another entry',
        Executed.UNKNOWN,
        RETRY_AFTER_MS,
    ),
}


def refuse_admission(admission: Admission) -> ProblemError:
    """Make the error for a request id that is not admitted.

    Parameters
    ----------
    admission : Admission
        Why the id is not admitted.

    Returns
    -------
    ProblemError
        The error, for the caller of this function to raise.
    """
    return ProblemError(_PROBLEMS[admission])
