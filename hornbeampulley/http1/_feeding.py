"""Feeds received bytes to the parser of a connection."""

from collections.abc import Iterator
from typing import Final

from hornbeampulley.http1._bodies import RequestBodies
from hornbeampulley.http1._requests import RequestParser
from hornbeampulley.http1._turns import ParsingTurns

RECEIVE_BYTES: Final = 65_536
# Neither a large body nor many chunks may be received before there is memory and
# processor time for them.
RECEIVE_FRAMED_BYTES: Final = 16_384


class ParserFeed:
    """Feeds a parser; small pieces wait for their turn.

    Parameters
    ----------
    parser : RequestParser
        Parser of the connection.
    bodies : RequestBodies
        Counts what is held.
    turns : ParsingTurns
        Turns of the process.
    """

    def __init__(
        self, parser: RequestParser, bodies: RequestBodies, turns: ParsingTurns
    ) -> None:
        self._parser = parser
        self._bodies = bodies
        self._turns = turns

    @property
    def max_bytes(self) -> int:
        """Number of bytes to receive at a time."""
        if self._parser.comes_in_small_pieces:
            return self._turns.part_bytes
        if self._parser.is_in_sized_body:
            return RECEIVE_BYTES
        return RECEIVE_FRAMED_BYTES

    async def feed(self, received: bytes) -> None:
        """Feed bytes until all are parsed or the parser is closed.

        Parameters
        ----------
        received : bytes
            Bytes as read from the connection.

        Raises
        ------
        BadRequestError
            If they are not a valid request, or exceed a limit.
        """
        unfed_bytes = len(received)
        try:
            for part in self._split(received):
                if self._parser.comes_in_small_pieces:
                    await self._wait(unfed_bytes)
                if self._parser.is_closed:
                    return
                self._parser.feed(part)
                unfed_bytes -= len(part)
        finally:
            self._bodies.unfed_bytes = 0

    async def _wait(self, unfed_bytes: int) -> None:
        self._bodies.unfed_bytes = unfed_bytes
        self._bodies.count()
        await self._turns.wait()

    def _split(self, received: bytes) -> Iterator[bytes | memoryview]:
        part_bytes = self._turns.part_bytes
        if self._parser.is_in_sized_body or len(received) <= part_bytes:
            yield received
            return
        view = memoryview(received)
        for start in range(0, len(received), part_bytes):
            yield view[start : start + part_bytes]
