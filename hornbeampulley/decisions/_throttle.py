"""When a target takes requests, by what it has said of itself."""

import math
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND

# Requests that a limited target did not get in this time may follow at once.
BURST_MS: Final = 250.0
# A target without any requests could not say that its limit has ended.
MIN_RATE_LIMIT: Final = 0.2


class Throttle:
    """Spaces the requests of a target, and keeps it free while it wants none.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second that it takes; None if it has named no limit.
    """

    def __init__(self) -> None:
        self.rate_limit: float | None = None
        self._back_off_until_ms = -math.inf
        # Time up to which the limit is used up.
        self._used_until_ms = -math.inf

    @property
    def open_ms(self) -> float:
        """Time from which it takes the next request."""
        return max(self._back_off_until_ms, self._used_until_ms - BURST_MS)

    def set(
        self, rate_limit: float | None, back_off_ms: float, now_ms: float
    ) -> None:
        """Apply what the target has said.

        Parameters
        ----------
        rate_limit : float or None
            Requests per second that it takes; None for no limit.
        back_off_ms : float
            Time from now for which it wants no request.
        now_ms : float
            The current time.
        """
        self._back_off_until_ms = now_ms + back_off_ms
        if rate_limit is None:
            self.rate_limit = None
            self._used_until_ms = -math.inf
            return
        self.rate_limit = max(rate_limit, MIN_RATE_LIMIT)
        latest_ms = now_ms + self._interval_ms
        self._used_until_ms = min(self._used_until_ms, latest_ms)

    def record_start(self, now_ms: float) -> None:
        """Record that the target gets a request.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        if self.rate_limit is not None:
            start_ms = max(self._used_until_ms, now_ms)
            self._used_until_ms = start_ms + self._interval_ms

    def bound_slots(self, slots: int, mean_ms: float) -> int:
        """Return how many of its slots the limit can keep busy.

        Parameters
        ----------
        slots : int
            Requests that it may run at once.
        mean_ms : float
            Usual time for which a request runs.

        Returns
        -------
        int
            At most `slots`.
        """
        if self.rate_limit is None or not slots:
            return slots
        busy = math.ceil(self.rate_limit * mean_ms / MS_PER_SECOND)
        return min(slots, max(busy, 1))

    @property
    def _interval_ms(self) -> float:
        return MS_PER_SECOND / self.rate_limit
