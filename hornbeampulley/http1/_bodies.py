"""Room for the bodies of the requests of one connection."""

from typing import Final

from hornbeampulley.http1._buffers import (
    SMALL_BYTES,
    BufferBudget,
    RequestBuffer,
)
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._requests import RequestParser

# Shorter than the time after which callers give up a request that is not read.
MAX_WAIT_MS: Final = 500.0


class RequestBodies:
    """Counts the bodies of a connection and admits those that are large.

    Parameters
    ----------
    parser : RequestParser
        Parser of the connection.
    budget : BufferBudget
        Budget of the process.
    """

    def __init__(self, parser: RequestParser, budget: BufferBudget) -> None:
        self._parser = parser
        self._budget = budget
        self._complete = RequestBuffer(budget)
        self._incoming = RequestBuffer(budget)
        self._answered_bytes = 0

    def start_answer(self, request: Request) -> None:
        """Count the body of a request that has left the parser.

        Parameters
        ----------
        request : Request
            The request that is answered now.
        """
        self._answered_bytes = len(request.body)

    def end_answer(self) -> None:
        """Give back the body of the request that was answered."""
        self._answered_bytes = 0
        self.count()

    def count(self) -> None:
        """Count what is held after the parser has been fed."""
        parser = self._parser
        waiting_bytes = sum(len(request.body) for request in parser.requests)
        self._complete.resize(self._answered_bytes + waiting_bytes)
        self._incoming.resize(parser.reserved_bytes)

    async def admit(self) -> bool:
        """Wait for room for a large body of which a part has been received.

        That part does not count yet, as bodies that wait would else take the
        room from one another.

        Returns
        -------
        bool
            Whether the body may be read on; otherwise its request is queued
            without it, and nothing may be fed to the parser any more.
        """
        self.count()
        parser = self._parser
        if not parser.is_in_body or self._is_small():
            return True
        needed = self._get_needed()
        is_admitted = needed == parser.reserved_bytes
        if not is_admitted:
            is_admitted = await self._incoming.reserve(needed, MAX_WAIT_MS)
        if is_admitted and parser.body_bytes <= needed:
            parser.reserved_bytes = needed
            return True
        parser.refuse_body()
        self.count()
        return False

    def close(self) -> None:
        """Give back everything; nothing may be fed afterwards."""
        self._parser.drop_body()
        self._complete.resize(0)
        self._incoming.resize(0)

    def _is_small(self) -> bool:
        declared = self._parser.declared_bytes
        size = self._parser.body_bytes if declared is None else declared
        return size <= SMALL_BYTES

    def _get_needed(self) -> int:
        """Return for how many bytes the body needs room.

        The length of a chunked body is not known, so it needs room for the
        longest one.
        """
        parser = self._parser
        if parser.declared_bytes is not None:
            return parser.declared_bytes
        return self._budget.limit_message(parser.limits.max_body_bytes)
