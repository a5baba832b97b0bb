"""Memory for the messages that are held until they are complete."""

import math
from typing import Final

import trio

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.http1._clients import (
    CONNECTION_BYTES,
    STALLED_S,
    Clients,
)
from hornbeampulley.http1._responses import ResponseBrokenError
from hornbeampulley.http1._waiting import WaitingLine

# A message up to this size is held in any case.
SMALL_BYTES: Final = 65_536
UNLIMITED: Final = 1 << 62
# The rest is kept for the responses to the requests that are held, so that
# these end. No message is longer than either part.
REQUEST_SHARE: Final = 0.5


class BuffersFullError(ResponseBrokenError):
    """A response is not read on, as too much is held already."""


class BufferBudget:
    """Bytes of requests and responses that a process holds at the same time.

    Parameters
    ----------
    max_bytes : int
        Bytes that may be held.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held now.
    request_bytes : int
        Those of `held_bytes` that belong to bodies of requests.
    clients : Clients
        Connections of callers and all that they hold.
    """

    def __init__(self, max_bytes: int = UNLIMITED) -> None:
        self.held_bytes = 0
        self.request_bytes = 0
        self.clients = Clients(max_bytes)
        self._max_bytes = max_bytes
        self._max_request_bytes = int(max_bytes * REQUEST_SHARE)
        self._waiting_responses = WaitingLine(self.has_room)
        self._waiting_requests = WaitingLine(self.has_request_room)

    @property
    def answer_bytes(self) -> int:
        """Those of `held_bytes` that belong to responses."""
        return self.held_bytes - self.request_bytes

    def open(self) -> 'Buffer':
        """Open a buffer for the responses of one request.

        Returns
        -------
        Buffer
            An empty buffer.
        """
        return Buffer(self)

    def has_room(self, more_bytes: int) -> bool:
        """Tell whether more bytes of responses may be held.

        Parameters
        ----------
        more_bytes : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the budget allows it.
        """
        return self.held_bytes + more_bytes <= self._max_bytes

    def has_request_room(self, more_bytes: int) -> bool:
        """Tell whether more bytes of bodies of requests may be held.

        Parameters
        ----------
        more_bytes : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the budget allows it.
        """
        request_bytes = self.request_bytes + more_bytes
        return (
            request_bytes <= self._max_request_bytes
            and not self.clients.count_excess(more_bytes)
            and self.has_room(more_bytes)
        )

    def limit_message(self, max_bytes: int) -> int:
        """Limit a size to that of the longest body that can be held.

        Parameters
        ----------
        max_bytes : int
            Number of bytes.

        Returns
        -------
        int
            `max_bytes` or less.
        """
        return min(max_bytes, self._max_request_bytes)

    def count(self, more_bytes: int) -> None:
        """Count bytes of responses that are held, or given back.

        Parameters
        ----------
        more_bytes : int
            Number of bytes; negative for what is given back.
        """
        self.held_bytes += more_bytes
        if more_bytes < 0:
            self._waiting_responses.admit()
            self._waiting_requests.admit()

    def count_request(self, more_bytes: int) -> None:
        """Count bytes of bodies of requests that are held, or given back.

        Parameters
        ----------
        more_bytes : int
            Number of bytes; negative for what is given back.
        """
        self.request_bytes += more_bytes
        self.count(more_bytes)

    async def reserve_response(self, buffer: 'Buffer', more_bytes: int) -> None:
        """Wait for room for a response, first come first served.

        Parameters
        ----------
        buffer : Buffer
            Gets the room.
        more_bytes : int
            Number of bytes.
        """
        self._reclaim_for_response(more_bytes)
        await self._waiting_responses.wait(buffer, more_bytes, math.inf)

    async def reserve_request(
        self, buffer: 'RequestBuffer', more_bytes: int, timeout_ms: float
    ) -> bool:
        """Wait for room for the body of a request, first come first served.

        Parameters
        ----------
        buffer : RequestBuffer
            Gets the room.
        more_bytes : int
            Number of bytes.
        timeout_ms : float
            Maximum time to wait, in ms.

        Returns
        -------
        bool
            Whether the buffer has got the room.
        """
        if self.limit_message(more_bytes) < more_bytes:
            return False
        self._reclaim_for_request(more_bytes)
        return await self._waiting_requests.wait(buffer, more_bytes, timeout_ms)

    def reclaim_stalled(self) -> None:
        """Make room for what waits; callers stall only with time."""
        self._reclaim_for_response(self._waiting_responses.first_bytes)
        if self._waiting_requests.first_bytes:
            self._reclaim_for_request(self._waiting_requests.first_bytes)

    def _reclaim_for_request(self, more_bytes: int) -> None:
        needed = self.request_bytes + more_bytes - self._max_request_bytes
        if needed > 0:
            self.clients.reclaim(needed, STALLED_S, CONNECTION_BYTES)
        needed = self.clients.count_excess(more_bytes)
        if needed:
            self.clients.reclaim(needed, STALLED_S)
        self._reclaim_for_response(more_bytes)

    def _reclaim_for_response(self, more_bytes: int) -> None:
        needed = self.held_bytes + more_bytes
        if needed > self._max_bytes:
            self.clients.reclaim(needed - self._max_bytes, STALLED_S)


class Buffer:
    """The part of a budget that the responses of one request use.

    Parameters
    ----------
    budget : BufferBudget, optional
        Budget of the process; without a limit if not given.

    Attributes
    ----------
    size : int
        Bytes that are held.
    waited_ms : float
        Time spent waiting for room, in ms.
    """

    def __init__(self, budget: BufferBudget | None = None) -> None:
        self.size = 0
        self.waited_ms = 0.0
        self._budget = budget or BufferBudget()

    def resize(self, size: int) -> None:
        """Set how many bytes are held.

        Parameters
        ----------
        size : int
            Number of bytes.

        Raises
        ------
        BuffersFullError
            If the budget does not allow more and the size is not small.
        """
        more = size - self.size
        if more > 0 and size > SMALL_BYTES and not self._budget.has_room(more):
            raise self._make_error(size)
        self.size = size
        self._budget.count(more)

    def add(self, more_bytes: int) -> None:
        """Count more bytes that are held, without a check.

        Parameters
        ----------
        more_bytes : int
            Number of bytes.
        """
        self.size += more_bytes
        self._budget.count(more_bytes)

    async def hold(self, size: int, expected_bytes: int) -> None:
        """Hold a response that grows; wait for room for all of it.

        Parameters
        ----------
        size : int
            Number of bytes until now.
        expected_bytes : int
            Number of bytes that it may have in the end.

        Raises
        ------
        BuffersFullError
            If there can't be room for it.
        """
        if size <= SMALL_BYTES:
            self.resize(max(size, self.size))
            return
        if size <= self.size:
            return
        needed = self._budget.limit_message(expected_bytes)
        if size > needed:
            raise self._make_error(size)
        begun_s = trio.current_time()
        await self._budget.reserve_response(self, needed - self.size)
        self.waited_ms += (trio.current_time() - begun_s) * MS_PER_SECOND

    def _make_error(self, size: int) -> BuffersFullError:
        return BuffersFullError(
            f'messages of {self._budget.held_bytes} bytes are held, so that '
            f'a response of over {size} bytes is not read on; look for targets '
            'whose answers do not end, or give the host more memory',
        )

    def close(self) -> None:
        """Give back all bytes."""
        self.resize(0)


class RequestBuffer:
    """The part of a budget that bodies of requests use.

    Parameters
    ----------
    budget : BufferBudget
        Budget of the process.

    Attributes
    ----------
    size : int
        Bytes that are held.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.size = 0
        self._budget = budget

    async def reserve(self, more_bytes: int, timeout_ms: float) -> bool:
        """Wait until more bytes may be held.

        Parameters
        ----------
        more_bytes : int
            Number of bytes.
        timeout_ms : float
            Maximum time to wait, in ms.

        Returns
        -------
        bool
            Whether they may be held; they count from now on.
        """
        return await self._budget.reserve_request(self, more_bytes, timeout_ms)

    def resize(self, size: int) -> None:
        """Set how many bytes are held, without a check.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        self.add(size - self.size)

    def add(self, more_bytes: int) -> None:
        """Count more bytes that are held, without a check.

        Parameters
        ----------
        more_bytes : int
            Number of bytes; negative for what is given back.
        """
        self.size += more_bytes
        self._budget.count_request(more_bytes)
