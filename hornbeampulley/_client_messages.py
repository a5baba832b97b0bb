"""What the caller library takes and returns."""

import dataclasses
import json
import math
from collections.abc import Mapping
from typing import Any, Final, Self

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.errors import (
    CallerError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from hornbeampulley.identity import Executed, RequestId

PROBLEM_TYPE: Final = 'application/problem+json'
NDJSON: Final = 'application/x-ndjson'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Bounds of the caller library.

    Attributes
    ----------
    connect_timeout_ms : float
        For a new connection.
    silence_ms : float
        A connection that says nothing for this long is given up, and the
        request repeated with the same id.
    connection_age_ms : float
        Older connections take no new request.
    deadline_ms : float
        For requests that are sent without one.
    max_ids : int
        Ids that one request may be sent under, one after the other.
    """

    connect_timeout_ms: float = 1000
    silence_ms: float = 5000
    connection_age_ms: float = 60_000
    deadline_ms: float = 600_000
    max_ids: int = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request, under whichever ids it is sent.

    Attributes
    ----------
    workspace, service : str
        Names.
    body : bytes
        The whole body.
    deadline_ms : float
        After which time the answer is of no use; 0 if none.
    idempotency_key : str
        The caller's own key; empty if none.
    """

    workspace: str
    service: str
    body: bytes
    deadline_ms: float = 0
    idempotency_key: str = ''

    def form_headers(self, left_ms: float) -> dict[str, str]:
        """Form the headers of the request.

        Parameters
        ----------
        left_ms : float
            Time left to the deadline.

        Returns
        -------
        dict
            Names and values.
        """
        headers = {
            'hornbeam-workspace': self.workspace,
            'hornbeam-service': self.service,
            'content-type': 'application/json',
        }
        if self.deadline_ms:
            headers['hornbeam-deadline-ms'] = str(max(math.ceil(left_ms), 1))
        if self.idempotency_key:
            headers['idempotency-key'] = self.idempotency_key
        return headers


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The id that a request is sent under, and its home.

    Attributes
    ----------
    request_id : RequestId
        The id.
    url : str
        Base of the home's URLs.
    """

    request_id: RequestId
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a target.

    Attributes
    ----------
    request_id : str
        Id that the request ran under.
    status : int
        HTTP status code.
    content_type : str
        Media type of the body.
    body : bytes
        The body.
    home : str
        Base URL of the entry that dispatched the request.
    target : str
        Name of the target that ran it.
    attempts : int
        How often the request was sent, repeats of one id included.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    home: str
    target: str
    attempts: int

    def read_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def read_lines(self) -> list[Any]:
        """Return the lines of a stream, each as JSON."""
        return [json.loads(line) for line in self.body.splitlines()]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A problem that the system answered with.

    Attributes
    ----------
    status : int
        HTTP status code.
    title, detail : str
        Kind of problem, and the remedy.
    ran : Executed
        Whether the request was run.
    retry_after_ms : float
        When to ask again; 0 if that does not help.
    """

    status: int
    title: str
    detail: str
    ran: Executed
    retry_after_ms: float = 0

    @classmethod
    def parse(cls, members: Mapping[str, Any]) -> Self:
        """Read the members of a problem.

        Parameters
        ----------
        members : mapping
            As sent; what is missing is taken as not known.

        Returns
        -------
        Refusal
            The problem.
        """
        return cls(
            int(members.get('status', 0)),
            str(members.get('title', '')),
            str(members.get('detail', '')),
            _parse_ran(members.get('ran')),
            float(members.get('retry_after_ms', 0)),
        )

    def to_error(self, request_id: str) -> CallerError:
        """Return the error that tells the caller of it.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        CallerError
            To be raised.
        """
        if self.ran is Executed.UNKNOWN:
            return OutcomeUnknownError(request_id, self.title, self.detail)
        return RequestRefusedError(
            request_id,
            self.status,
            self.title,
            self.detail,
            has_run=self.ran is Executed.YES,
        )


def parse_refusal(body: bytes, status: int, retry_after: str = '') -> Refusal:
    """Read a problem from the body of an answer.

    Parameters
    ----------
    body : bytes
        JSON text.
    status : int
        HTTP status code.
    retry_after : str
        The header of that name; empty if there was none.

    Returns
    -------
    Refusal
        The problem; its outcome is unknown if the body is not readable.
    """
    try:
        members = json.loads(body)
    except ValueError:
        members = None
    if not isinstance(members, dict):
        members = {'title': 'unreadable', 'detail': 'not a problem in JSON'}
    members.setdefault('status', status)
    if retry_after.isdigit():
        members.setdefault('retry_after_ms', int(retry_after) * MS_PER_SECOND)
    return Refusal.parse(members)


def _parse_ran(text: object) -> Executed:
    try:
        return Executed(text)
    except ValueError:
        return Executed.UNKNOWN
