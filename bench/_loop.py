"""The event queue: virtual time for everything in the benchmark."""

import heapq
import itertools
from collections.abc import Callable

from hornbeampulley.clock import ManualClock


class Loop:
    """Calls functions at given moments of a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.now_ms = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []

    def call_at(
        self,
        moment_ms: float,
        function: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function at a moment, in order of submission among equals."""
        entry = (moment_ms, next(self._sequence), function, arguments)
        heapq.heappush(self._heap, entry)

    def call_after(
        self,
        delay_ms: float,
        function: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function after a delay."""
        self.call_at(self.now_ms + delay_ms, function, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Run everything that is due up to a moment."""
        while self._heap and self._heap[0][0] <= end_ms:
            moment_ms, _, function, arguments = heapq.heappop(self._heap)
            self.clock.advance_to(moment_ms)
            self.now_ms = moment_ms
            function(*arguments)
