"""How long ago a node's view is known to have been up to date."""

import math
from typing import Final

from hornbeampulley.clock import Clock

MAX_AGE_MS: Final = 3_600_000.0


class Freshness:
    """Latest moment at which the view of this node matched the store.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms = -math.inf

    @property
    def age_ms(self) -> float:
        """Time since then, in ms; `MAX_AGE_MS` at most, also if unknown."""
        return min(self._clock.now() - self._confirmed_ms, MAX_AGE_MS)

    def confirm(self, moment_ms: float) -> None:
        """Record that the view was up to date.

        Parameters
        ----------
        moment_ms : float
            When it was; an earlier moment than one known is ignored.
        """
        self._confirmed_ms = max(self._confirmed_ms, moment_ms)
