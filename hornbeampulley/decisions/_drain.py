"""The measured rate at which a pool completes work."""

from typing import Final

from hornbeampulley.decisions._cost import smooth

WINDOW_MS: Final = 1000.0
WEIGHT: Final = 0.3


class DrainRate:
    """Moving average of the completed work per unit of time.

    Work is measured by its price in ms, so the rate has no unit.
    """

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._start_ms = 0.0
        self._rate = 0.0

    def record_work(self, work_ms: float) -> None:
        """Add completed work to the current window."""
        self._work_ms += work_ms

    def advance(self, now_ms: float) -> None:
        """Close the current window if it has lasted long enough."""
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
        """Return the measured rate, or the nominal one if there is none yet."""
        return self._rate or max(nominal, 1)
