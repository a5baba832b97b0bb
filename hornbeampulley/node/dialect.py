"""What callers and targets say in headers, as data."""

import dataclasses
from typing import Protocol

from hornbeampulley.http1 import Header, Request, ResponseHead
from hornbeampulley.routing import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes
    ----------
    name : int
        Hash of the part and of all before it.
    tokens : int
        Its length.
    """

    name: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    Attributes
    ----------
    request_id : bytes
        Id of this attempt of the caller; empty if it sent none.
    host : str
        Host that it named.
    key : bytes or None
        Its secret.
    time_limit_ms : float or None
        How long it will wait.
    tokens : int or None
        Prompt and longest output together; None if it names none.
    prompt_tokens, output_tokens : int
        The two parts of it.
    hinted_tokens : int
        Its guess of the output; 0 if none.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    resumes_after : bytes or None
        Id of the last event that it has of a broken stream.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target says of its answer.

    Attributes
    ----------
    request_id : bytes or None
        Id of the request that it answers.
    is_rejection : bool
        Whether the request has not run and never will.
    is_other_target : bool
        Whether another target has the address now.
    is_stream : bool
        Whether the body is a series of events.
    running, queued : int or None
        Its load, if it tells.
    """

    request_id: bytes | None
    is_rejection: bool
    is_other_target: bool
    is_stream: bool
    running: int | None = None
    queued: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What is added to a request for a target.

    Attributes
    ----------
    target : TargetRecord
        Where it goes.
    time_limit_ms : float
        How long the caller waits on.
    workspace : str
        Whose request it is; empty if nobody's.
    resumes_after : bytes or None
        Last event that the caller has.
    """

    target: TargetRecord
    time_limit_ms: float
    workspace: str = ''
    resumes_after: bytes | None = None


class Dialect(Protocol):
    """Names and formats of the headers of callers and targets."""

    def read_call(self, request: Request) -> RequestMetadata:
        """Read what a caller says; raises `BadCallError`."""

    def make_request(self, request: Request, dispatch: Dispatch) -> Request:
        """Form the request to a target."""

    def read_answer(self, head: ResponseHead) -> ResponseMetadata:
        """Read what a target says."""

    def list_error_headers(
        self, metadata: RequestMetadata
    ) -> tuple[Header, ...]:
        """List the headers of an answer of this system's own."""
