"""Problem details (RFC 9457) for requests without a target's answer."""

import dataclasses
import json
import math
from typing import Any, Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.decisions import Reason, Refuse
from hornbeampulley.errors import HornbeamError
from hornbeampulley.identity import Executed

PROBLEM_TYPE: Final = 'application/problem+json'
READY_RETRY_MS: Final = 1000.0
_STATUS_OF_REASON: Final = {
    Reason.SHED: 503,
    Reason.DEADLINE: 504,
    Reason.QUARANTINED: 422,
    Reason.DUPLICATE_KEY: 409,
    Reason.NO_TARGET: 503,
    Reason.OTHER_SOFTWARE: 503,
}
_DETAIL_OF_REASON: Final = {
    Reason.SHED: 'the pool has no room for this request; send it again under '
    'a new id after the time given',
    Reason.DEADLINE: 'the deadline cannot be met; send the request with a '
    'later one',
    Reason.QUARANTINED: 'this content crashed targets; change it before '
    'sending it again',
    Reason.DUPLICATE_KEY: 'a request with this idempotency key was leased '
    'before; look up its outcome',
    Reason.NO_TARGET: 'no target of the pool can take the request; send it '
    'again under a new id after the time given',
    Reason.OTHER_SOFTWARE: 'no target has the software version that began the '
    'answer; send the request anew',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A final answer that does not come from a target.

    Attributes
    ----------
    status : int
        HTTP status code.
    title : str
        Short name of the kind of problem.
    detail : str
        What happened and how to proceed.
    ran : Executed
        Whether the request was executed.
    retry_after_ms : float
        Time after which to retry under a new id; 0 if a retry does not help.
    """

    status: int
    title: str
    detail: str
    ran: Executed = Executed.NO
    retry_after_ms: float = 0

    @property
    def headers(self) -> dict[str, str]:
        """HTTP headers of the response."""
        headers = {
            'content-type': PROBLEM_TYPE,
            'hornbeam-ran': self.ran.value,
        }
        if self.retry_after_ms:
            seconds = math.ceil(self.retry_after_ms / MS_PER_SECOND)
            headers['retry-after'] = str(seconds)
        return headers

    def to_json(self) -> dict[str, Any]:
        """Return the members of the problem object.

        Returns
        -------
        dict
            The members, serializable by ``json.dumps``.
        """
        members: dict[str, Any] = {
            'type': f'urn:hornbeampulley:{self.title.replace(" ", "-")}',
            'title': self.title,
            'status': self.status,
            'detail': self.detail,
            'ran': self.ran.value,
        }
        if self.retry_after_ms:
            members['retry_after_ms'] = math.ceil(self.retry_after_ms)
        return members

    def encode(self) -> bytes:
        """Return the body of the response.

        Returns
        -------
        bytes
            JSON text.
        """
        return json.dumps(self.to_json()).encode()


NOT_READY: Final = Problem(
    503,
    'not ready',
    'this entry has just started and does not know the change tickets yet; '
    'send the request again under a new id',
    retry_after_ms=READY_RETRY_MS,
)
"""Sent by an entry until it knows the change tickets in force."""


class ProblemError(HornbeamError):
    """Ends the processing of a request with a problem.

    Parameters
    ----------
    problem : Problem
        The answer for the caller.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def explain_refusal(refusal: Refuse) -> Problem:
    """Make the problem for a scheduler's refusal.

    Parameters
    ----------
    refusal : Refuse
        The scheduler's final decision.

    Returns
    -------
    Problem
        The problem, including how to proceed.
    """
    return Problem(
        _STATUS_OF_REASON[refusal.reason],
        refusal.reason.value.replace('_', ' '),
        _DETAIL_OF_REASON[refusal.reason],
        Executed.YES if refusal.ran else Executed.NO,
        refusal.retry_after_ms,
    )
