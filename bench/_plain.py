"""A fake plain service."""

from collections import deque

from bench._loop import Loop
from bench._streams import Stream
from hornbeampulley.configuration import Target


class PlainService:
    """A plain service: as many calls side by side as it has slots.

    Parameters
    ----------
    target : Target
        What the configuration says of it.
    loop : Loop
        Virtual time.
    """

    def __init__(self, target: Target, loop: Loop) -> None:
        self.target = target
        self.is_up = True
        self.slowdown = 1.0
        self._loop = loop
        self._queue: deque[Stream] = deque()
        self._running: dict[str, Stream] = {}

    def count_running(self) -> int:
        """Count the running calls."""
        return len(self._running)

    def count_queued(self) -> int:
        """Count the calls beyond the slots."""
        return len(self._queue)

    def count_produced(self, stream: Stream) -> int:
        """Return 0: a plain service answers in one piece."""
        return 0

    def submit(self, stream: Stream) -> None:
        """Take a call."""
        self._queue.append(stream)
        self._admit()

    def cancel(self, stream: Stream) -> None:
        """Stop a call; what it did so far stays done."""
        if stream.is_gone:
            return
        stream.is_gone = True
        if self._running.pop(stream.request.request_id, None) is None:
            self._queue.remove(stream)
        self._admit()

    def set_slowdown(self, factor: float) -> None:
        """Make the calls that start from now on longer by a factor."""
        self.slowdown = factor

    def crash(self) -> list[Stream]:
        """Lose all calls and return them."""
        streams = [*self._running.values(), *self._queue]
        for stream in streams:
            stream.is_gone = True
        self.is_up = False
        self._running.clear()
        self._queue.clear()
        return streams

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.target.slots:
            stream = self._queue.popleft()
            stream.admitted_ms = self._loop.now_ms
            self._running[stream.request.request_id] = stream
            delay_ms = stream.request.duration_ms * self.slowdown
            self._loop.call_after(delay_ms, self._end, stream)

    def _end(self, stream: Stream) -> None:
        if stream.is_gone:
            return
        stream.is_gone = True
        self._running.pop(stream.request.request_id)
        stream.on_first(stream)
        stream.on_end(stream)
        self._admit()
