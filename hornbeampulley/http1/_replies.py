"""Writes the response to a request of a caller."""

from collections.abc import Iterable
from typing import Final, Protocol

from hornbeampulley.http1._messages import (
    Header,
    encode_response_head,
    split_message,
)

_LAST_CHUNK: Final = b'0\r\n\r\n'


class ReplyConnection(Protocol):
    """Connection that a response is written to."""

    @property
    def is_ending(self) -> bool:
        """Whether the connection closes after the current response."""

    async def transmit(self, message: bytes) -> None:
        """Send bytes to the caller."""


class Reply:
    """The response to one request.

    Parameters
    ----------
    connection : ReplyConnection
        Connection of the caller.
    is_persistent : bool
        Whether the caller keeps the connection open.

    Attributes
    ----------
    is_started : bool
        Whether sending the head has begun.
    is_complete : bool
        Whether the complete response was sent.
    closes_connection : bool
        Whether the connection closes after the response.
    """

    def __init__(
        self,
        connection: ReplyConnection,
        is_persistent: bool,
    ) -> None:
        self.is_started = False
        self.is_complete = False
        self.closes_connection = not is_persistent
        self._connection = connection

    async def send(
        self,
        status: int,
        headers: Iterable[Header],
        body: bytes = b'',
    ) -> None:
        """Send a complete response.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : iterable of (bytes, bytes)
            Headers, without framing and ``Connection`` headers.
        body : bytes
            Complete body.
        """
        framing = (b'content-length', b'%d' % len(body))
        head = self._encode_head(status, headers, framing)
        for part in split_message(head, body):
            await self._connection.transmit(part)
        self.is_complete = True

    async def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of a response whose length is not known.

        The body is sent in chunks.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : iterable of (bytes, bytes)
            Headers, without framing and ``Connection`` headers.
        """
        framing = (b'transfer-encoding', b'chunked')
        head = self._encode_head(status, headers, framing)
        await self._connection.transmit(head)

    async def write(self, part: bytes) -> None:
        """Send a part of the body.

        Parameters
        ----------
        part : bytes
            Next bytes; not empty, as an empty chunk ends the body.
        """
        chunk = b'%x\r\n%s\r\n' % (len(part), part)
        await self._connection.transmit(chunk)

    async def finish(self) -> None:
        """Send the last chunk, which completes the response."""
        await self._connection.transmit(_LAST_CHUNK)
        self.is_complete = True

    def _encode_head(
        self,
        status: int,
        headers: Iterable[Header],
        framing: Header,
    ) -> bytes:
        self.is_started = True
        self.closes_connection = (
            self.closes_connection or self._connection.is_ending
        )
        lines = [*headers, framing]
        if self.closes_connection:
            lines.append((b'connection', b'close'))
        return encode_response_head(status, lines)
