"""Parser for HTTP/1.1 responses."""

import enum
from collections import deque
from typing import Final

import httptools

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._messages import Header, ResponseHead, find_header

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
# Maximum bytes without a final head, content or end of a response: bounds
# heads, informational responses, chunk extensions and trailers.
MAX_OVERHEAD_BYTES: Final = 1 << 16
_NO_BODY: Final = frozenset((204, 304))


class ResponseBrokenError(HornbeamError):
    """No complete and valid response was received."""


class MessageBoundary(enum.Enum):
    """Marks the end of a response among its parts."""

    END = 'end'


Part = ResponseHead | bytes | MessageBoundary
"""Response head, part of a body, or end of a response."""


class ResponseParser:
    """Splits the bytes received from a target into parts of responses.

    Informational (1xx) responses are skipped.

    Attributes
    ----------
    parts : deque
        Parsed parts that the reader has not consumed yet.
    is_persistent : bool
        Whether the target keeps the connection open after the last
        response.
    is_idle : bool
        Whether no response is in progress.
    is_in_head : bool
        Whether the head of a final response has yet to be received.
    is_unframed : bool
        Whether the last response has neither a length nor chunks, so that it
        ends with the connection.
    declared_bytes : int or None
        Length of the last response's body; None if its head has none.
    """

    def __init__(self) -> None:
        self.parts: deque[Part] = deque()
        self.is_persistent = True
        self.is_idle = True
        self.is_in_head = True
        self.is_unframed = False
        self.declared_bytes: int | None = None
        # Refers to this object; set to None at the end, which frees both at once.
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._is_informational = False
        self._is_close_delimited = False
        self._overhead_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse the next bytes.

        Parameters
        ----------
        received : bytes
            Bytes as read from the connection.

        Raises
        ------
        ResponseBrokenError
            If they are not HTTP, or more than `MAX_OVERHEAD_BYTES` arrive
            without a part of a response. Parts parsed before remain in
            `parts`.
        """
        self._overhead_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.is_persistent = False
            raise _explain(error) from error
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.is_persistent = False
            raise ResponseBrokenError(
                f'a target sent {self._overhead_bytes} bytes without an answer '
                'in them; look at the log of the target',
            )

    def close(self) -> None:
        """Forget what has been received; nothing may be fed afterwards."""
        self.is_persistent = False
        self.parts.clear()
        self._headers = []
        self._parser = None

    def end(self, *, is_request_sent: bool = True) -> None:
        """Handle the end of the connection.

        It completes a response that has no framing headers, if the whole
        request was sent: a reset while it was sent looks the same.

        Parameters
        ----------
        is_request_sent : bool
            Whether the whole request was sent.

        Raises
        ------
        ResponseBrokenError
            If a response is incomplete.
        """
        self.is_persistent = False
        if self._is_close_delimited and is_request_sent:
            self._is_close_delimited = False
            self.on_message_complete()
        elif not self.is_idle:
            raise ResponseBrokenError(
                'a target closed the connection within a response; '
                'look at the log of the target',
            )

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self.is_idle = False
        self.is_in_head = True
        self._headers = []

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Add the head of a final response and determine its framing."""
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            raise ResponseBrokenError(
                f'a target answered with status {status}, which HTTP does not '
                'define; look at the log of the target',
            )
        self._is_informational = status < FIRST_FINAL_STATUS
        if self._is_informational:
            return
        self.is_in_head = False
        headers = tuple(self._headers)
        length = find_header(headers, b'content-length')
        self.declared_bytes = None if length is None else int(length)
        has_framing = (
            status in _NO_BODY
            or length is not None
            or find_header(headers, b'transfer-encoding') is not None
        )
        self.is_unframed = not has_framing
        self._is_close_delimited = not has_framing
        self.is_persistent = has_framing and self._parser.should_keep_alive()
        self._append_part(ResponseHead(status, headers))

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._append_part(body)

    def on_message_complete(self) -> None:
        """Add the end of a final response."""
        self.is_idle = True
        self.is_in_head = True
        if not self._is_informational:
            self._is_close_delimited = False
            self._append_part(MessageBoundary.END)

    def _append_part(self, part: Part) -> None:
        self.parts.append(part)
        self._overhead_bytes = 0


def _explain(error: Exception) -> ResponseBrokenError:
    """Return the error that a callback has raised, or one for the parser's own.

    It is a new one: a variable that refers to an error that is raised further
    would keep all that its traceback refers to.
    """
    cause = error.__context__
    if isinstance(cause, ResponseBrokenError):
        return ResponseBrokenError(str(cause))
    return ResponseBrokenError(
        f'a target sent bytes that are not HTTP/1.1: {error}; '
        'look at the log of the target',
    )
