"""Parses the requests of a connection."""

import dataclasses
from collections import deque
from typing import Final

import httptools

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._messages import Header, Request, find_header

MAX_HEADERS: Final = 200
MAX_WAITING: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class MessageLimits:
    """What callers may send, and how long they may take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Longest head and body.
    header_timeout_ms : float
        Longest time from the first byte of a head to its end.
    idle_timeout_ms : float
        Longest time that a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 15_000


class BadRequestError(HornbeamError):
    """A request can't be read; the connection is closed after the answer.

    Attributes
    ----------
    status : int
        Status of the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestParser:
    """Cuts the bytes of a caller into requests.

    Parameters
    ----------
    limits : MessageLimits
        Bounds of a request.

    Attributes
    ----------
    requests : deque of Request
        Requests that are whole, in order.
    is_in_head : bool
        Whether a head has begun and has not ended.
    is_in_body : bool
        Whether a body is expected.
    awaits_continue : bool
        Whether the caller waits for leave to send its body.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.requests: deque[Request] = deque()
        self.is_in_head = False
        self.is_in_body = False
        self.awaits_continue = False
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = bytearray()
        self._headers: list[Header] = []
        self._body: list[bytes] = []

    def feed(self, received: bytes) -> None:
        """Take the next bytes.

        Parameters
        ----------
        received : bytes
            As read from the connection.

        Raises
        ------
        BadRequestError
            If they are no request or too long a one.
        """
        self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise BadRequestError(
                400,
                'protocol upgrades are not served; send plain HTTP/1.1',
            ) from error
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise cause from None
            raise BadRequestError(
                400,
                f'not a request of HTTP/1.1: {error}; correct the message',
            ) from error
        if self.is_in_head and self._head_bytes > self._limits.max_header_bytes:
            raise self._refuse_head()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_in_head = True
        self._url.clear()
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))
        if len(self._headers) > MAX_HEADERS:
            raise self._refuse_head()

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.is_in_head = False
        self.is_in_body = True
        self._head_bytes = 0
        size = len(self._url) + sum(
            len(name) + len(text) + 4 for name, text in self._headers
        )
        if size > self._limits.max_header_bytes:
            raise self._refuse_head()
        declared = find_header(self._headers, b'content-length') or b'0'
        if int(declared) > self._limits.max_body_bytes:
            raise self._refuse_body()
        expected = find_header(self._headers, b'expect') or b''
        self.awaits_continue = expected.lower() == b'100-continue'

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            raise self._refuse_body()
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self.is_in_body = False
        self._head_bytes = 0
        self.awaits_continue = False
        if len(self.requests) >= MAX_WAITING:
            raise BadRequestError(
                400,
                f'more than {MAX_WAITING} requests wait on one connection; '
                'read the answers first',
            )
        self.requests.append(
            Request(
                self._parser.get_method(),
                bytes(self._url),
                tuple(self._headers),
                b''.join(self._body),
                self._parser.should_keep_alive(),
            ),
        )

    def _refuse_head(self) -> BadRequestError:
        limit = self._limits.max_header_bytes
        return BadRequestError(
            431,
            f'the head is longer than {limit} bytes; send fewer headers',
        )

    def _refuse_body(self) -> BadRequestError:
        limit = self._limits.max_body_bytes
        return BadRequestError(
            413,
            f'the body is longer than {limit} bytes; send a shorter one',
        )
