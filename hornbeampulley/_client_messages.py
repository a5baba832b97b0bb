"""Settings, requests and answers of the caller library."""

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
    """Timeouts and limits of the caller library.

    Attributes
    ----------
    connect_timeout_ms : float
        Maximum time to open a connection.
    silence_ms : float
        Read and write timeout: after this time without data, the request
        is repeated with the same id on a new connection.
    connection_age_ms : float
        Maximum age at which a connection is used for a new request.
    deadline_ms : float
        Default deadline, counted from the start of a request.
    max_ids : int
        Maximum number of ids that one request is sent under in turn.
    """

    connect_timeout_ms: float = 1000
    silence_ms: float = 5000
    connection_age_ms: float = 60_000
    deadline_ms: float = 600_000
    max_ids: int = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request, independent of the ids that it is sent under.

    Attributes
    ----------
    workspace, service : str
        Names of workspace and service.
    body : bytes
        Complete body.
    deadline_ms : float
        Time after which the answer is of no use; 0 for the default of the
        settings.
    idempotency_key : str
        Idempotency key of the caller; empty if none.
    """

    workspace: str
    service: str
    body: bytes
    deadline_ms: float = 0
    idempotency_key: str = ''

    def make_headers(self, left_ms: float) -> dict[str, str]:
        """Return the HTTP headers of the request.

        Parameters
        ----------
        left_ms : float
            Time left until the deadline.

        Returns
        -------
        dict
            Header names and values.
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
    """A request id and its home, the entry that alone dispatches it.

    Attributes
    ----------
    request_id : RequestId
        The id.
    url : str
        Base URL of the home.
    """

    request_id: RequestId
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer from a target.

    Attributes
    ----------
    request_id : str
        Id under which the request was run.
    status : int
        HTTP status code.
    content_type : str
        Media type of the body.
    body : bytes
        Complete body.
    home : str
        Base URL of the entry that dispatched the request.
    target : str
        Name of the target that ran the request.
    attempts : int
        Number of times the request was sent, including repeats with the
        same id.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    home: str
    target: str
    attempts: int

    def read_json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)

    def read_lines(self) -> list[Any]:
        """Parse each line of the body as JSON."""
        return [json.loads(line) for line in self.body.splitlines()]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A problem that the system returned instead of an answer.

    Attributes
    ----------
    status : int
        HTTP status code.
    title, detail : str
        Kind of problem, and what happened with the remedy.
    ran : Executed
        Whether the request was run.
    retry_after_ms : float
        Time to wait before a retry; 0 if a retry does not help.
    """

    status: int
    title: str
    detail: str
    ran: Executed
    retry_after_ms: float = 0

    @classmethod
    def parse(cls, members: Mapping[str, Any]) -> Self:
        """Build a refusal from the members of a problem document.

        Parameters
        ----------
        members : mapping
            Members of the JSON object; a missing ``ran`` means unknown.

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
        """Return the exception to raise to the caller.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        CallerError
            `OutcomeUnknownError` if the request may have run, else
            `RequestRefusedError`.
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
    """Parse the problem document in the body of an HTTP response.

    Parameters
    ----------
    body : bytes
        Body of the response.
    status : int
        HTTP status code.
    retry_after : str
        Value of the ``Retry-After`` header; empty if absent.

    Returns
    -------
    Refusal
        The problem; whether the request ran is unknown if the body cannot
        be parsed.
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
