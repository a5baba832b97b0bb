"""The measured rate at which a pool completes work."""

from typing import Final

from hornbeampulley.decisions._cost import smooth

WINDOW_MS: Final = 1000.0
WEIGHT: Final = 0.3


class DrainRate:
    """Work completed per millisecond, in ms at the pool's average rates."""

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._start_ms = 0.0
        self._rate = 0.0

    def record_work(self, work_ms: float) -> None:
        """Note completed work."""
        self._work_ms += work_ms

    def advance(self, now_ms: float) -> None:
        """Close the window if it has lasted long enough."""
        elapsed_ms = now_ms - self._start_ms
        if elapsed_ms < WINDOW_MS:
            return
        sample = self._work_ms / elapsed_ms
        self._rate = (
            smooth(self._rate, sample, WEIGHT) if self._rate else sample
        )
        self._work_ms = 0
        self._start_ms = now_ms

    def estimate(self, nominal: float) -> float:
        """Return the rate, or a nominal one before any was measured."""
        return self._rate or max(nominal, 1)
