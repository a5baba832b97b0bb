"""Messages of HTTP/1.1 as data, and their text form."""

import dataclasses
import http
from collections.abc import Iterable
from typing import Final

Header = tuple[bytes, bytes]
"""Name in lower case, and value."""

CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)
"""Headers that concern one connection, or its framing, only."""

_LINE_END: Final = b'\r\n'
_REASONS: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request, read whole.

    Attributes
    ----------
    method : bytes
        Its method.
    target : bytes
        Path and query as they were sent.
    headers : tuple of (bytes, bytes)
        Names in lower case, and values.
    body : bytes
        Its body.
    is_persistent : bool
        Whether the connection may carry another request.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_persistent: bool = True

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b'?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes
    ----------
    status : int
        Its status.
    headers : tuple of (bytes, bytes)
        Names in lower case, and values.
    """

    status: int
    headers: tuple[Header, ...] = ()


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.
    name : bytes
        Name in lower case.

    Returns
    -------
    bytes or None
        None if there is no such header.
    """
    for other, value in headers:
        if other == name:
            return value
    return None


def drop_connection_headers(headers: Iterable[Header]) -> list[Header]:
    """Leave out the headers that concern one connection only.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.

    Returns
    -------
    list of (bytes, bytes)
        The others, without those that ``Connection`` names.
    """
    kept = tuple(headers)
    named = find_header(kept, b'connection') or b''
    dropped = CONNECTION_HEADERS | {
        name.strip().lower() for name in named.split(b',')
    }
    return [header for header in kept if header[0] not in dropped]


def encode_request(request: Request) -> bytes:
    """Encode a request for a persistent connection.

    Parameters
    ----------
    request : Request
        Its headers hold none of `CONNECTION_HEADERS`.

    Returns
    -------
    bytes
        Head and body.
    """
    lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%s: %s' % header for header in request.headers)
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return _LINE_END.join((*lines, b'', request.body))


def encode_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Encode the head of a response.

    Parameters
    ----------
    status : int
        Its status.
    headers : iterable of (bytes, bytes)
        All headers, those of framing included.

    Returns
    -------
    bytes
        The head and the empty line after it.
    """
    phrase = _REASONS.get(status, b'')
    lines = [b'HTTP/1.1 %d %s' % (status, phrase)]
    lines.extend(b'%s: %s' % header for header in headers)
    return _LINE_END.join((*lines, b'', b''))
