"""Messages that wait for room in the memory of the process."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import trio

from hornbeampulley.clock import to_seconds


class GrowingBuffer(Protocol):
    """A buffer that gets room."""

    def add(self, more_bytes: int) -> None:
        """Count more bytes that are held."""


class WaitingLine:
    """Gives room to those that wait for it, first come first served.

    Parameters
    ----------
    has_room : callable
        Tells whether a number of bytes may be held.
    """

    def __init__(self, has_room: Callable[[int], bool]) -> None:
        self._has_room = has_room
        self._waiting: deque[_Waiter] = deque()

    @property
    def first_bytes(self) -> int:
        """Bytes that the first message waits for; 0 if none waits."""
        return self._waiting[0].bytes if self._waiting else 0

    async def wait(
        self, buffer: GrowingBuffer, more_bytes: int, timeout_ms: float
    ) -> bool:
        """Wait for room.

        Parameters
        ----------
        buffer : GrowingBuffer
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
        waiter = _Waiter(buffer, more_bytes)
        self._waiting.append(waiter)
        self.admit()
        try:
            with trio.move_on_after(to_seconds(timeout_ms)):
                await waiter.is_admitted.wait()
        finally:
            if not waiter.is_admitted.is_set():
                self._waiting.remove(waiter)
                self.admit()
        return waiter.is_admitted.is_set()

    def admit(self) -> None:
        """Give room to the first ones as long as there is some."""
        while self._waiting and self._has_room(self._waiting[0].bytes):
            waiter = self._waiting.popleft()
            waiter.buffer.add(waiter.bytes)
            waiter.is_admitted.set()


class _Waiter:
    """A message that waits for room."""

    def __init__(self, buffer: GrowingBuffer, more_bytes: int) -> None:
        self.buffer = buffer
        self.bytes = more_bytes
        self.is_admitted = trio.Event()
