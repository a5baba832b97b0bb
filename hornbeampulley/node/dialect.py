"""Data in the headers of callers and targets, independent of the platform."""

import dataclasses
from typing import Protocol

from hornbeampulley.http1 import Header, Request, ResponseHead
from hornbeampulley.routing import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt prefix that requests may share.

    Attributes
    ----------
    name : int
        Id of the part, the same in all prompts.
    tokens : int
        Length in tokens.
    """

    name: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Data from the headers of a caller's request.

    Attributes
    ----------
    request_id : bytes
        Id of this attempt of the caller; empty if it sent none.
    host : str
        Value of the Host header.
    key : bytes or None
        API key.
    time_limit_ms : float or None
        Time in ms for which the caller waits; None if not given.
    tokens : int or None
        Sum of prompt tokens and largest number of output tokens; None if not
        given.
    prompt_tokens, output_tokens : int
        The two terms of the sum; 0 if not given.
    hinted_tokens : int
        Number of output tokens that the caller expects; 0 if not given.
    parts : tuple of PromptPart
        Parts of the prompt prefix, in order.
    resumes_after : bytes or None
        Id of the last event that the caller has received of a broken stream.
    first_attempt : bytes or None
        Id of the attempt that brought the first event of that stream.
    """

    request_id: bytes
    host: str
    key: bytes | None = None
    time_limit_ms: float | None = None
    tokens: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resumes_after: bytes | None = None
    first_attempt: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Data from the headers of a target's response.

    Attributes
    ----------
    request_id : bytes or None
        Id of the request that it answers.
    is_rejection : bool
        Whether the request was not executed and never will be.
    is_other_target : bool
        Whether another target now uses the address.
    is_stream : bool
        Whether the body is an event stream.
    running, queued : int or None
        Number of running and queued requests at the target; None if not
        given.
    slots : int or None
        Number of requests that the target can run at once; None if not given.
    slowness : float or None
        How long work takes there at this moment, as a multiple of its usual
        time there; None if not given.
    is_leaving : bool
        Whether the target says that it shuts down.
    back_off_ms : float
        Time in ms for which the target wants no more requests; 0 if it has
        not said so.
    rate_limit : float or None
        Requests per second that the target takes from all hosts together;
        None if it names no limit.
    is_limit_unreadable : bool
        Whether it names a limit that can't be read, so that the last one holds.
    """

    request_id: bytes | None
    is_rejection: bool
    is_other_target: bool
    is_stream: bool
    running: int | None = None
    queued: int | None = None
    is_leaving: bool = False
    back_off_ms: float = 0
    rate_limit: float | None = None
    is_limit_unreadable: bool = False
    slots: int | None = None
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Data added to the headers of a request to a target.

    Attributes
    ----------
    target : TargetRecord
        Target that gets the request.
    time_limit_ms : float
        Time in ms for which the caller still waits.
    workspace : str
        Workspace of the request; empty for anonymous requests.
    resumes_after : bytes or None
        Id of the last event that the caller has received.
    """

    target: TargetRecord
    time_limit_ms: float
    workspace: str = ''
    resumes_after: bytes | None = None


class Dialect(Protocol):
    """Reads and writes the headers of callers and targets."""

    def read_call(self, request: Request) -> RequestMetadata:
        """Read the headers of a caller's request."""

    def read_zone(self, request: Request) -> str:
        """Read the availability zone of a caller that asks for addresses."""

    def make_request(self, request: Request, dispatch: Dispatch) -> Request:
        """Make the request to a target."""

    def read_answer(self, head: ResponseHead) -> ResponseMetadata:
        """Read the headers of a target's response."""

    def make_run_question(self, target: TargetRecord) -> Request:
        """Make a request that asks a model engine when it started."""

    def is_other_run(
        self, head: ResponseHead, body: bytes, target: TargetRecord
    ) -> bool:
        """Tell whether the answer to that is not from the run of a record."""

    def list_error_headers(
        self, metadata: RequestMetadata
    ) -> tuple[Header, ...]:
        """List the headers of an error response of this system."""
