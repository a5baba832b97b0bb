"""Parser for HTTP/1.1 requests."""

import dataclasses
from collections import deque
from typing import Final

import httptools

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._clients import HEADER_BYTES
from hornbeampulley.http1._messages import Header, Request, find_header

MAX_HEADERS: Final = 200
MAX_PIPELINED: Final = 64
# Pieces are small if they have fewer bytes than this on average; a few of them do
# not matter.
SMALL_PIECE_BYTES: Final = 64
FEW_PIECES: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class MessageLimits:
    """Size and time limits for the requests of callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum length of head and body.
    header_timeout_ms : float
        Maximum time from the first byte of a head to its end, in ms.
    idle_timeout_ms : float
        Maximum time that a connection may be idle, in ms.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 15_000


class BadRequestError(HornbeamError):
    """A request is malformed or exceeds a limit.

    The connection is closed after the error response.

    Attributes
    ----------
    status : int
        HTTP status code of the error response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status

    def copy(self) -> 'BadRequestError':
        """Return an error without the traceback, which refers to what was fed."""
        return BadRequestError(self.status, str(self))


class RequestParser:
    """Splits the bytes received from a caller into requests.

    Parameters
    ----------
    limits : MessageLimits
        Size limits of a request.

    Attributes
    ----------
    limits : MessageLimits
        Size limits, which may be changed between two requests.
    requests : deque of Request
        Complete requests that were not handled yet, in order.
    is_in_head : bool
        Whether a request head has been received in part.
    is_in_body : bool
        Whether the head is complete and the request is not.
    awaits_continue : bool
        Whether the caller expects a ``100 Continue`` response before it
        sends the body.
    declared_bytes : int or None
        Length of the body that is being received; None if its head has none.
    body_bytes : int
        Bytes of that body that have been received.
    reserved_bytes : int
        Bytes of it for which there is room.
    head_size : int
        Memory that the head of that body holds, in bytes.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.requests: deque[Request] = deque()
        self.is_in_head = False
        self.is_in_body = False
        self.awaits_continue = False
        self.limits = limits
        # Refers to this object; set to None at the end, which frees both at once.
        self._parser = httptools.HttpRequestParser(self)
        self.declared_bytes: int | None = None
        self.body_bytes = 0
        self.reserved_bytes = 0
        self.head_size = 0
        self._pieces = 0
        self._framing_bytes = 0
        self._url = bytearray()
        self._headers: list[Header] = []
        self._body = bytearray()

    @property
    def incoming_bytes(self) -> int:
        """Memory held for the request that is not complete."""
        if self.is_in_head:
            return self._framing_bytes + len(self._headers) * HEADER_BYTES
        if self.is_in_body:
            body_bytes = max(self.body_bytes, self.reserved_bytes)
            return self.head_size + body_bytes + self._framing_bytes
        return 0

    @property
    def is_closed(self) -> bool:
        """Whether nothing may be fed any more."""
        return self._parser is None

    @property
    def is_in_sized_body(self) -> bool:
        """Whether a body is being received whose length is known."""
        return self.is_in_body and self.declared_bytes is not None

    @property
    def comes_in_small_pieces(self) -> bool:
        """Whether the request that is received has small chunks or packets."""
        received_bytes = self.body_bytes + self._framing_bytes
        few_bytes = self._pieces * SMALL_PIECE_BYTES
        return self._pieces > FEW_PIECES and received_bytes < few_bytes

    def feed(self, received: bytes | memoryview) -> None:
        """Parse the next bytes.

        Parameters
        ----------
        received : bytes or memoryview
            Bytes as read from the connection.

        Raises
        ------
        BadRequestError
            If they are not a valid request, or exceed a limit.
        """
        self._framing_bytes += len(received)
        if self.is_in_head:
            self._pieces += 1
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise BadRequestError(
                400,
                'protocol upgrades are not served; send plain HTTP/1.1',
            ) from error
        except httptools.HttpParserError as error:
            raise _explain(error) from error
        if self._framing_bytes > self.limits.max_header_bytes:
            self._refuse_framing()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.is_in_head = True
        self._url.clear()
        self._headers = []
        self.drop_body()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header and check the number of headers."""
        if self.is_in_body:
            # A trailer is not a header.
            return
        self._headers.append((name.lower(), text))
        if len(self._headers) > MAX_HEADERS:
            raise self._make_head_error()

    def on_headers_complete(self) -> None:
        """Check the size of the head and the declared length of the body."""
        self.is_in_head = False
        self.is_in_body = True
        self._framing_bytes = 0
        size = len(self._url) + sum(
            len(name) + len(text) + 4 for name, text in self._headers
        )
        if size > self.limits.max_header_bytes:
            raise self._make_head_error()
        self.head_size = size + len(self._headers) * HEADER_BYTES
        declared = find_header(self._headers, b'content-length')
        self.declared_bytes = None if declared is None else int(declared)
        if int(declared or 0) > self.limits.max_body_bytes:
            raise self._make_body_error()
        expected = find_header(self._headers, b'expect') or b''
        self.awaits_continue = expected.lower() == b'100-continue'

    def on_body(self, body: bytes) -> None:
        """Append to the body and check its length."""
        self._framing_bytes = 0
        self._pieces += 1
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.max_body_bytes:
            raise self._make_body_error()
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.is_in_body = False
        self._framing_bytes = 0
        self.awaits_continue = False
        if len(self.requests) >= MAX_PIPELINED:
            raise BadRequestError(
                400,
                f'more than {MAX_PIPELINED} requests wait on one connection; '
                'read the answers first',
            )
        self.requests.append(
            Request(
                self._parser.get_method(),
                bytes(self._url),
                tuple(self._headers),
                bytes(self._body),
                self._parser.should_keep_alive(),
                head_bytes=self.head_size,
            ),
        )
        self.drop_body()

    def refuse_body(self) -> None:
        """Queue the request without its body, which is not read on.

        Nothing may be fed afterwards.
        """
        self.awaits_continue = False
        self.is_in_body = False
        self.requests.append(
            Request(
                self._parser.get_method(),
                bytes(self._url),
                tuple(self._headers),
                is_persistent=False,
                is_unread=True,
            ),
        )
        self.drop_body()
        self._parser = None

    def drop_body(self) -> None:
        """Forget what has been received of a body."""
        self._body = bytearray()
        self.body_bytes = 0
        self.reserved_bytes = 0
        self._pieces = 0

    def drop_request(self) -> None:
        """Forget the incomplete request; nothing may be fed afterwards."""
        self.is_in_head = False
        self.is_in_body = False
        self._headers = []
        self._url = bytearray()
        self.drop_body()
        self._parser = None

    def _refuse_framing(self) -> None:
        """Refuse a head, or what stands between two parts of a body."""
        if self.is_in_head:
            raise self._make_head_error()
        if self.is_in_body:
            limit = self.limits.max_header_bytes
            raise BadRequestError(
                431,
                f'chunk extensions or trailers are longer than {limit} bytes; '
                'send them shorter or not at all',
            )

    def _make_head_error(self) -> BadRequestError:
        limit = self.limits.max_header_bytes
        return BadRequestError(
            431,
            f'the head is longer than {limit} bytes; send fewer headers',
        )

    def _make_body_error(self) -> BadRequestError:
        limit = self.limits.max_body_bytes
        return BadRequestError(
            413,
            f'the body is longer than {limit} bytes; send a shorter one',
        )


def _explain(error: httptools.HttpParserError) -> BadRequestError:
    """Return the error that a callback has raised, or one for the parser's own.

    It is a new one: a variable that refers to an error that is raised further
    would keep all that its traceback refers to.
    """
    cause = error.__context__
    if isinstance(cause, BadRequestError):
        return cause.copy()
    return BadRequestError(
        400,
        f'not a request of HTTP/1.1: {error}; correct the message',
    )
