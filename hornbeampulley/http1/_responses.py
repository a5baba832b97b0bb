"""Parses the responses of a connection to a target."""

import enum
from collections import deque
from typing import Final

import httptools

from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._messages import Header, ResponseHead, find_header

FIRST_FINAL_STATUS: Final = 200
# Longest head, and longest stretch in a body that is not part of its content.
MAX_SILENT_BYTES: Final = 1 << 16
_NO_BODY: Final = frozenset((204, 304))


class ResponseBrokenError(HornbeamError):
    """A response ended early or is not HTTP; what was read is not whole."""


class Mark(enum.Enum):
    """What happens between the parts of responses."""

    END = 'end'


Part = ResponseHead | bytes | Mark
"""A head, a part of a body, or the end of a response."""


class ResponseParser:
    """Cuts the bytes of a target into parts of responses.

    Informational responses are passed over.

    Attributes
    ----------
    parts : deque
        Parts read and not yet taken.
    is_persistent : bool
        Whether the target keeps the connection after the last response.
    is_idle : bool
        Whether no response has begun since the last one ended.
    """

    def __init__(self) -> None:
        self.parts: deque[Part] = deque()
        self.is_persistent = True
        self.is_idle = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._is_informational = False
        self._ends_with_connection = False
        self._silent_bytes = 0

    def feed(self, received: bytes) -> None:
        """Take the next bytes.

        Parameters
        ----------
        received : bytes
            As read from the connection.

        Raises
        ------
        ResponseBrokenError
            If they are not HTTP, or go on without a part of a response;
            parts before them can still be taken.
        """
        self._silent_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.is_persistent = False
            raise ResponseBrokenError(
                f'a target sent bytes that are not HTTP/1.1: {error}; '
                'look at the log of the target',
            ) from error
        if self._silent_bytes > MAX_SILENT_BYTES:
            self.is_persistent = False
            raise ResponseBrokenError(
                f'a target sent {self._silent_bytes} bytes without an answer '
                'in them; look at the log of the target',
            )

    def end(self) -> None:
        """Note that the target has closed the connection.

        Raises
        ------
        ResponseBrokenError
            If a response has begun and is not whole.
        """
        self.is_persistent = False
        if self._ends_with_connection:
            self._ends_with_connection = False
            self.on_message_complete()
        elif not self.is_idle:
            raise ResponseBrokenError(
                'a target closed the connection within a response; '
                'look at the log of the target',
            )

    def on_message_begin(self) -> None:
        """Start a response."""
        self.is_idle = False
        self._headers = []

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Note the head of a final response."""
        status = self._parser.get_status_code()
        self._is_informational = status < FIRST_FINAL_STATUS
        if self._is_informational:
            return
        headers = tuple(self._headers)
        is_framed = (
            status in _NO_BODY
            or find_header(headers, b'content-length') is not None
            or find_header(headers, b'transfer-encoding') is not None
        )
        self._ends_with_connection = not is_framed
        self.is_persistent = is_framed and self._parser.should_keep_alive()
        self._add(ResponseHead(status, headers))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._add(body)

    def on_message_complete(self) -> None:
        """End a response."""
        self.is_idle = True
        if not self._is_informational:
            self._ends_with_connection = False
            self._add(Mark.END)

    def _add(self, part: Part) -> None:
        self.parts.append(part)
        self._silent_bytes = 0
