"""Room for the bodies of the requests of one connection."""

from typing import Final

from hornbeampulley.http1._buffers import (
    SMALL_BYTES,
    BufferBudget,
    RequestBuffer,
)
from hornbeampulley.http1._clients import CONNECTION_BYTES
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._requests import RequestParser

# Shorter than the time after which callers give up a request that is not read.
MAX_WAIT_MS: Final = 500.0
# Bodies up to this size come before longer ones; prompts have up to 72 KB.
SHORT_BYTES: Final = 98_304
# A connection is not read on while as much waits for an earlier answer.
MAX_AHEAD_BYTES: Final = 65_536


class RequestBodies:
    """Counts the bodies of a connection and admits those that are large.

    Parameters
    ----------
    parser : RequestParser
        Parser of the connection.
    budget : BufferBudget
        Budget of the process.

    Attributes
    ----------
    is_refused : bool
        Whether a request was refused or dropped before all of it was read.
    unfed_bytes : int
        Bytes that were received and not fed yet.
    """

    def __init__(self, parser: RequestParser, budget: BufferBudget) -> None:
        self.is_refused = False
        self.unfed_bytes = 0
        self._parser = parser
        self._budget = budget
        self._complete = RequestBuffer(budget)
        self._incoming = RequestBuffer(budget)
        self._answered_bytes = 0
        self._answered_head = 0
        self._held_bytes = 0
        self._is_closed = False
        self.count()

    def start_answer(self, request: Request) -> None:
        """Count the body of a request that has left the parser.

        Parameters
        ----------
        request : Request
            The request that is answered now.
        """
        self._answered_bytes = len(request.body)
        self._answered_head = request.head_bytes

    def end_answer(self) -> None:
        """Give back the body of the request that was answered."""
        self._answered_bytes = 0
        self._answered_head = 0
        self.count()

    @property
    def held_bytes(self) -> int:
        """All bytes that the connection holds."""
        return self._held_bytes

    @property
    def ahead_bytes(self) -> int:
        """Bytes of what comes after the request that is answered."""
        waiting = self._parser.requests
        complete = sum(one.head_bytes + len(one.body) for one in waiting)
        return complete + self._parser.incoming_bytes + self.unfed_bytes

    def count(self) -> None:
        """Count what is held after the parser has been fed."""
        parser = self._parser
        waiting_bytes = sum(len(request.body) for request in parser.requests)
        self._complete.resize(self._answered_bytes + waiting_bytes)
        self._incoming.resize(parser.reserved_bytes)
        held = self.ahead_bytes + self._answered_bytes + self._answered_head
        self._hold(0 if self._is_closed else held + CONNECTION_BYTES)

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
        self._budget.clients.relieve()
        parser = self._parser
        if not parser.is_in_body or self._is_small():
            return True
        needed = self._get_needed()
        is_admitted = needed == parser.reserved_bytes
        if not is_admitted:
            is_admitted = await self._incoming.reserve(needed, MAX_WAIT_MS)
        if not parser.is_in_body:
            # It had to give back its part meanwhile.
            self.count()
            return False
        if is_admitted and parser.body_bytes <= needed:
            parser.reserved_bytes = needed
            self.count()
            return True
        self.refuse()
        return False

    def refuse(self) -> None:
        """Queue the incomplete request without its body."""
        self.is_refused = True
        self._parser.refuse_body()
        self.count()

    def drop_ahead(self) -> None:
        """Forget all requests after the one that is answered."""
        self.is_refused = True
        self._parser.requests.clear()
        self._parser.drop_request()
        self.count()

    def close(self) -> None:
        """Give back everything; nothing may be fed afterwards."""
        self._parser.requests.clear()
        self._parser.drop_request()
        self._answered_bytes = 0
        self._answered_head = 0
        self.count()
        self._complete.resize(0)
        self._incoming.resize(0)

    def release(self) -> None:
        """Give back also the fixed amount of a connection."""
        self._is_closed = True
        self.close()

    def _hold(self, held_bytes: int) -> None:
        self._budget.clients.held_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes

    def _is_small(self) -> bool:
        declared = self._parser.declared_bytes
        if declared is None:
            return self._parser.body_bytes <= SMALL_BYTES
        return declared <= SHORT_BYTES

    def _get_needed(self) -> int:
        """Return for how many bytes the body needs room.

        The length of a chunked body is not known, so it needs room for the
        longest one.
        """
        parser = self._parser
        if parser.declared_bytes is not None:
            return parser.declared_bytes
        return self._budget.limit_message(parser.limits.max_body_bytes)
