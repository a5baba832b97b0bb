"""HTTP/1.1 messages and their encoding."""

import dataclasses
import http
from collections.abc import Iterable
from typing import Final

Header = tuple[bytes, bytes]
"""Lower-case name and value."""

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
"""Hop-by-hop and framing headers, which are not forwarded."""

# A body up to this length is written together with its head.
MAX_JOINED_BYTES: Final = 65_536
_LINE_END: Final = b'\r\n'
_REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes
    ----------
    method : bytes
        Method, such as ``GET``.
    target : bytes
        Request target: path and query, as received.
    headers : tuple of (bytes, bytes)
        Lower-case names and values.
    body : bytes
        Complete body.
    is_persistent : bool
        Whether the connection stays open for another request.
    is_unread : bool
        Whether the body was not read, as there was no memory for it.
    head_bytes : int
        Memory that the head holds, in bytes; 0 if not known.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_persistent: bool = True
    is_unread: bool = False
    head_bytes: int = dataclasses.field(default=0, compare=False)

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
        HTTP status code.
    headers : tuple of (bytes, bytes)
        Lower-case names and values.
    """

    status: int
    headers: tuple[Header, ...] = ()


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Lower-case names and values.
    name : bytes
        Lower-case name.

    Returns
    -------
    bytes or None
        The value; None if there is no such header.
    """
    for other, value in headers:
        if other == name:
            return value
    return None


def drop_connection_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers without the hop-by-hop ones.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Lower-case names and values.

    Returns
    -------
    list of (bytes, bytes)
        The headers, without `CONNECTION_HEADERS` and those that the
        ``Connection`` header names.
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
        A request without any of `CONNECTION_HEADERS`.

    Returns
    -------
    bytes
        Head and body.
    """
    return encode_request_head(request) + request.body


def encode_request_head(request: Request) -> bytes:
    """Encode the head of a request for a persistent connection.

    Parameters
    ----------
    request : Request
        A request without any of `CONNECTION_HEADERS`.

    Returns
    -------
    bytes
        The head, including the empty line that ends it.
    """
    lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%s: %s' % header for header in request.headers)
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return _LINE_END.join((*lines, b'', b''))


def encode_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Encode the head of a response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : iterable of (bytes, bytes)
        All headers, including the framing headers.

    Returns
    -------
    bytes
        The head, including the empty line that ends it.
    """
    phrase = _REASON_PHRASES.get(status, b'')
    lines = [b'HTTP/1.1 %d %s' % (status, phrase)]
    lines.extend(b'%s: %s' % header for header in headers)
    return _LINE_END.join((*lines, b'', b''))


def split_message(head: bytes, body: bytes) -> tuple[bytes, ...]:
    """Return the parts in which a message is written.

    Parameters
    ----------
    head, body : bytes
        The message.

    Returns
    -------
    tuple of bytes
        One part, but for a long body, of which no copy is made.
    """
    if len(body) > MAX_JOINED_BYTES:
        return head, body
    return (head + body,)
