"""HTTP requests and responses of the stand-ins."""

import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

NOT_MODIFIED: Final = 304
LATIN: Final = 'latin-1'


class HttpError(Exception):
    """A request is refused with an HTTP status.

    Parameters
    ----------
    status : int
        HTTP status code.
    detail : str
        What is wrong and what would be accepted.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail

    def respond(self) -> 'Response':
        """Return the response with the status and detail."""
        if self.status == NOT_MODIFIED:
            return Response(self.status)
        return respond_json({'error': self.detail}, self.status)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its complete body.

    Attributes
    ----------
    path : dict
        The variable parts of the path.
    query : dict
        The last value of each query parameter.
    headers : dict
        The last value of each header; names in lower case.
    body : bytes
        The body.
    peer : tuple
        Address and port of the client; identifies the connection.
    """

    path: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = b''
    peer: tuple[Any, ...] = ()

    def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or raise status 400."""
        try:
            document = json.loads(self.body)
        except ValueError:
            raise HttpError(400, 'the body is not JSON') from None
        if not isinstance(document, dict):
            raise HttpError(400, 'the body must be a JSON object')
        return document

    def read_integer(self, name: str, default: int = 0) -> int:
        """Return a query parameter as an integer, or raise status 400."""
        text = self.query.get(name, str(default))
        try:
            return int(text)
        except ValueError:
            raise HttpError(400, f'{name} must be an integer') from None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes or async iterator of bytes
        The complete body, or a stream of chunks.
    headers : dict
        Headers other than the content type.
    content_type : str
        Media type of the body.
    """

    status: int = 200
    body: bytes | AsyncIterator[bytes] = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    content_type: str = 'application/json'

    def encode_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in ASGI form."""
        headers = {'Content-Type': self.content_type, **self.headers}
        if isinstance(self.body, bytes):
            headers['Content-Length'] = str(len(self.body))
        return [
            (name.lower().encode(LATIN), text.encode(LATIN))
            for name, text in headers.items()
        ]


Handler = Callable[[Request], Awaitable[Response]]


def respond_json(document: object, status: int = 200) -> Response:
    """Return a response that carries a JSON document."""
    return Response(status, json.dumps(document).encode())


def encode_line(document: object) -> bytes:
    """Return one line of newline-delimited JSON."""
    return f'{json.dumps(document)}\n'.encode()
