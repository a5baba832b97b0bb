"""Adaptive concurrency limit of a target, controlled by its latency."""

import math
from typing import Final

from hornbeampulley.decisions._cost import smooth

TOLERANCE: Final = 3.0
RECENT_WEIGHT: Final = 0.2
BASELINE_RISE_WEIGHT: Final = 0.01
BASELINE_FALL_WEIGHT: Final = 0.1
DECREASE_FACTOR: Final = 0.8
DECREASE_PAUSE_MS: Final = 1000.0
FLOOR_SHARE: Final = 0.25


class AdaptiveLimit:
    """A limit with additive increase and multiplicative decrease (AIMD).

    Parameters
    ----------
    ceiling : int
        Maximum number of requests that the target can run at once.
    starts_low : bool
        Whether to start at the floor, as after a takeover.
    """

    def __init__(self, ceiling: int, starts_low: bool = False) -> None:
        self._ceiling = max(ceiling, 1)
        self._limit = float(self._ceiling)
        self._baseline = 0.0
        self._recent = 0.0
        self._decreased_ms = -math.inf
        self._bound = math.inf
        if starts_low:
            self.reset_to_floor()

    @property
    def slots(self) -> int:
        """Return how many requests may run now."""
        return max(int(min(self._limit, self._bound)), 1)

    def set_ceiling(self, ceiling: int) -> None:
        """Set the ceiling; a changed one also resets the limit to it."""
        ceiling = max(ceiling, 1)
        if ceiling != self._ceiling:
            self._ceiling = ceiling
            self._limit = float(ceiling)

    def set_bound(self, bound: float) -> None:
        """Set how many requests the target handles well."""
        self._bound = bound

    def reset_to_floor(self) -> None:
        """Reset the limit to its floor."""
        self._limit = self._compute_floor()

    def raise_to_ceiling(self) -> None:
        """Raise the limit to the ceiling."""
        self._limit = float(self._ceiling)

    def observe(self, sample: float, now_ms: float) -> None:
        """Adjust the limit after a latency sample.

        Parameters
        ----------
        sample : float
            Delay of a first token, or duration of a plain call, relative to
            the expected one.
        now_ms : float
            The current time.
        """
        self._update_averages(sample)
        if self._recent <= TOLERANCE * self._baseline:
            self.increase()
        elif now_ms - self._decreased_ms >= DECREASE_PAUSE_MS:
            self._decreased_ms = now_ms
            self._limit = max(
                self._limit * DECREASE_FACTOR, self._compute_floor()
            )

    def increase(self) -> None:
        """Raise the limit by one per as many samples as its current value."""
        self._limit = min(self._limit + 1 / self._limit, float(self._ceiling))

    def _update_averages(self, sample: float) -> None:
        if not self._baseline:
            self._baseline = sample
            self._recent = sample
        rises = sample > self._baseline
        weight = BASELINE_RISE_WEIGHT if rises else BASELINE_FALL_WEIGHT
        self._baseline = smooth(self._baseline, sample, weight)
        self._recent = smooth(self._recent, sample, RECENT_WEIGHT)

    def _compute_floor(self) -> float:
        return float(max(math.ceil(self._ceiling * FLOOR_SHARE), 1))
