"""When a target takes requests, by what it has said of itself."""

import math
from collections import deque
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND

# As many requests as the limit allows in this time may go at once, one at least.
BURST_MS: Final = 250.0
# Limits that allow more than that count as none.
MAX_BURST: Final = 250
# A target without any requests could not say that its limit has ended.
MIN_RATE_LIMIT: Final = 0.2


class Throttle:
    """Spaces the requests of a target, and keeps it free while it wants none.

    The last few starts are remembered, whatever the target says meanwhile; its
    latest limit decides how many of them are allowed in which time.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second that it takes; None if it names no limit.
    """

    def __init__(self) -> None:
        self.rate_limit: float | None = None
        self._back_off_until_ms = -math.inf
        # None before it has named its first limit, as most targets name none.
        self._starts_ms: deque[float] | None = None

    @property
    def open_ms(self) -> float:
        """Time from which it takes the next request."""
        if self.rate_limit is None:
            return self._back_off_until_ms
        burst = math.ceil(self.rate_limit * BURST_MS / MS_PER_SECOND)
        if burst > len(self._starts_ms):
            return self._back_off_until_ms
        free_ms = self._starts_ms[-burst] + burst * self._interval_ms
        return max(self._back_off_until_ms, free_ms)

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
        self.rate_limit = rate_limit
        if rate_limit is None:
            return
        self.rate_limit = max(rate_limit, MIN_RATE_LIMIT)
        if self._starts_ms is None:
            self._starts_ms = deque(maxlen=MAX_BURST)

    def record_start(self, now_ms: float) -> None:
        """Record that the target gets a request.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        if self._starts_ms is not None:
            self._starts_ms.append(now_ms)

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
