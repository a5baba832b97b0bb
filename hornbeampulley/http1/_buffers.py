"""Memory for the messages that are held until they are complete."""

from collections import deque
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.http1._responses import ResponseBrokenError

# A message up to this size is held in any case.
SMALL_BYTES: Final = 65_536
UNLIMITED: Final = 1 << 62
# The rest is kept for the responses to the requests that are held.
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
    """

    def __init__(self, max_bytes: int = UNLIMITED) -> None:
        self.held_bytes = 0
        self.request_bytes = 0
        self._max_bytes = max_bytes
        self._max_request_bytes = int(max_bytes * REQUEST_SHARE)
        self._waiting: deque[_Waiter] = deque()

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
        return request_bytes <= self._max_request_bytes and self.has_room(
            more_bytes
        )

    def limit_request(self, max_bytes: int) -> int:
        """Limit a size to that of the largest body that can be held.

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
            self._admit()

    def count_request(self, more_bytes: int) -> None:
        """Count bytes of bodies of requests that are held, or given back.

        Parameters
        ----------
        more_bytes : int
            Number of bytes; negative for what is given back.
        """
        self.request_bytes += more_bytes
        self.count(more_bytes)

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
        if self.limit_request(more_bytes) < more_bytes:
            return False
        waiter = _Waiter(buffer, more_bytes)
        self._waiting.append(waiter)
        self._admit()
        try:
            with trio.move_on_after(to_seconds(timeout_ms)):
                await waiter.is_admitted.wait()
        finally:
            if not waiter.is_admitted.is_set():
                self._waiting.remove(waiter)
                self._admit()
        return waiter.is_admitted.is_set()

    def _admit(self) -> None:
        """Give room to those that wait, in order."""
        while self._waiting and self.has_request_room(self._waiting[0].bytes):
            waiter = self._waiting.popleft()
            waiter.buffer.resize(waiter.buffer.size + waiter.bytes)
            waiter.is_admitted.set()


class Buffer:
    """The part of a budget that the responses of one request use.

    Parameters
    ----------
    budget : BufferBudget, optional
        Budget of the process; without a limit if not given.
    """

    def __init__(self, budget: BufferBudget | None = None) -> None:
        self._budget = budget or BufferBudget()
        self._bytes = 0

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
        more = size - self._bytes
        if more > 0 and size > SMALL_BYTES and not self._budget.has_room(more):
            raise BuffersFullError(
                f'messages of {self._budget.held_bytes} bytes are held, so '
                f'that a response of over {size} bytes is not read on; look '
                'for targets whose answers do not end, or give the host more '
                'memory',
            )
        self._bytes = size
        self._budget.count(more)

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
        more = size - self.size
        self.size = size
        self._budget.count_request(more)


class _Waiter:
    """A request that waits for room."""

    def __init__(self, buffer: RequestBuffer, more_bytes: int) -> None:
        self.buffer = buffer
        self.bytes = more_bytes
        self.is_admitted = trio.Event()
