"""The answer to one request of a caller."""

from collections.abc import Iterable
from typing import Final, Protocol

from hornbeampulley.http1._messages import Header, encode_response_head

_LAST_CHUNK: Final = b'0\r\n\r\n'


class ReplyConnection(Protocol):
    """What an answer needs of its connection."""

    @property
    def is_ending(self) -> bool:
        """Whether answers end the connection."""

    async def transmit(self, message: bytes) -> None:
        """Send bytes to the caller."""


class Reply:
    """The answer to one request.

    Parameters
    ----------
    connection : ReplyConnection
        Where it goes.
    is_persistent : bool
        Whether the caller keeps the connection.

    Attributes
    ----------
    is_started : bool
        Whether its head was sent.
    is_whole : bool
        Whether all of it was sent.
    closes : bool
        Whether the connection ends with it.
    """

    def __init__(
        self,
        connection: ReplyConnection,
        is_persistent: bool,
    ) -> None:
        self.is_started = False
        self.is_whole = False
        self.closes = not is_persistent
        self._connection = connection

    async def send(
        self,
        status: int,
        headers: Iterable[Header],
        body: bytes = b'',
    ) -> None:
        """Send a whole answer.

        Parameters
        ----------
        status : int
            Its status.
        headers : iterable of (bytes, bytes)
            Without those of framing and connection.
        body : bytes
            Its body.
        """
        framing = (b'content-length', b'%d' % len(body))
        head = self._encode_head(status, headers, framing)
        await self._connection.transmit(head + body)
        self.is_whole = True

    async def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of an answer whose length is not known.

        Parameters
        ----------
        status : int
            Its status.
        headers : iterable of (bytes, bytes)
            Without those of framing and connection.
        """
        framing = (b'transfer-encoding', b'chunked')
        head = self._encode_head(status, headers, framing)
        await self._connection.transmit(head)

    async def write(self, part: bytes) -> None:
        """Send a part of the body.

        Parameters
        ----------
        part : bytes
            Not empty.
        """
        chunk = b'%x\r\n%s\r\n' % (len(part), part)
        await self._connection.transmit(chunk)

    async def finish(self) -> None:
        """End the answer."""
        await self._connection.transmit(_LAST_CHUNK)
        self.is_whole = True

    def _encode_head(
        self,
        status: int,
        headers: Iterable[Header],
        framing: Header,
    ) -> bytes:
        self.is_started = True
        self.closes = self.closes or self._connection.is_ending
        lines = [*headers, framing]
        if self.closes:
            lines.append((b'connection', b'close'))
        return encode_response_head(status, lines)
