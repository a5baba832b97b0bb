"""Adaptive concurrency limit of a target, from its delay to first token."""

import math
from typing import Final

from hornbeampulley.decisions._cost import smooth

TOLERANCE: Final = 3.0
RECENT_WEIGHT: Final = 0.2
BASELINE_RISE: Final = 0.01
BASELINE_FALL: Final = 0.1
DECREASE: Final = 0.8
DECREASE_PAUSE_MS: Final = 1000.0
SLOW_START: Final = 0.25


class AdaptiveLimit:
    """Additive increase and multiplicative decrease below a ceiling.

    Parameters
    ----------
    ceiling : int
        Requests that the target can run side by side.
    is_low : bool
        Whether to start low, as after a takeover.
    """

    def __init__(self, ceiling: int, starts_low: bool = False) -> None:
        self._ceiling = max(ceiling, 1)
        self._limit = float(self._ceiling)
        self._baseline = 0.0
        self._recent = 0.0
        self._decreased_ms = -math.inf
        if starts_low:
            self.reset_to_floor()

    @property
    def slots(self) -> int:
        """Return how many requests may run now."""
        return int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        """Take a new ceiling from a change ticket."""
        ceiling = max(ceiling, 1)
        if ceiling != self._ceiling:
            self._ceiling = ceiling
            self._limit = float(ceiling)

    def reset_to_floor(self) -> None:
        """Start low again."""
        self._limit = self._floor()

    def raise_to_ceiling(self) -> None:
        """Allow all that the ceiling allows."""
        self._limit = float(self._ceiling)

    def observe(self, sample: float, now_ms: float) -> None:
        """Adjust the limit after a first token.

        Parameters
        ----------
        sample : float
            Delay of the first token relative to the expected one.
        now_ms : float
            The current time.
        """
        self._update_averages(sample)
        if self._recent <= TOLERANCE * self._baseline:
            self.increase()
        elif now_ms - self._decreased_ms >= DECREASE_PAUSE_MS:
            self._decreased_ms = now_ms
            self._limit = max(self._limit * DECREASE, self._floor())

    def increase(self) -> None:
        """Raise the limit by one after as many samples as it allows."""
        self._limit = min(self._limit + 1 / self._limit, float(self._ceiling))

    def _update_averages(self, sample: float) -> None:
        if not self._baseline:
            self._baseline = sample
            self._recent = sample
        rises = sample > self._baseline
        weight = BASELINE_RISE if rises else BASELINE_FALL
        self._baseline = smooth(self._baseline, sample, weight)
        self._recent = smooth(self._recent, sample, RECENT_WEIGHT)

    def _floor(self) -> float:
        return float(max(math.ceil(self._ceiling * SLOW_START), 1))
