"""Bounds the starts of a target that is cold, or may become so unannounced.

The load is one of short requests in a burst, which reach a target that has just
restarted. The bound holds over all owners of a pool: each keeps to its share.
"""

import math
from collections import deque
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.configuration import StartLimit

# The bound counts what arrives within this time.
WINDOW_MS: Final = MS_PER_SECOND
# The rest is for requests that arrive closer together than they were sent, and
# for an owner that takes the pool over and knows nothing of the last second.
CEILING_SHARE: Final = 0.85
# While a target is cold, as many starts as the limit allows in this time may come
# at once, one at least.
BURST_MS: Final = 250.0


class StartLimiter:
    """Tells when a target may get its next request.

    Parameters
    ----------
    limit : StartLimit
        Bound on the starts of the target.
    opened_ms : float
        Since when the starts are known, in ms.
    """

    def __init__(self, limit: StartLimit, opened_ms: float) -> None:
        self.limit = limit
        self._opened_ms = opened_ms
        self._share = 0.0
        self._phase = 0.0
        self._starts_ms: deque[float] = deque(
            maxlen=max(math.ceil(limit.bound), 1)
        )

    def set_share(self, share: float, phase: float) -> None:
        """Set which part of the bound this owner may grant.

        Parameters
        ----------
        share : float
            Hosts that it reaches, as a share of all; none is granted at 0.
        phase : float
            Number from 0 to 1 that differs between owners, which spreads the
            starts of those that may grant less than one a second.
        """
        self._share = share
        self._phase = phase

    def begin(self, now_ms: float) -> None:
        """Allow for what another owner has granted in the last second.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        self._opened_ms = now_ms

    def record(self, now_ms: float) -> None:
        """Record that the target gets a request.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        self._starts_ms.append(now_ms)

    def find_open_time(self, now_ms: float) -> float:
        """Return the time from which the target may get the next request.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        float
            Time in ms; infinite while this owner has no share.
        """
        if not self._share:
            return math.inf
        open_ms = self._find_window_end(now_ms)
        if now_ms < self.limit.cold_until_ms:
            return max(open_ms, self._find_cold_time())
        return open_ms

    def count_busy(self, now_ms: float, mean_ms: float) -> float:
        """Return how many slots the limit can keep busy.

        Parameters
        ----------
        now_ms : float
            The current time.
        mean_ms : float
            Usual time for which a request runs.

        Returns
        -------
        float
            Number of slots; infinite while the target is not cold.
        """
        if now_ms >= self.limit.cold_until_ms:
            return math.inf
        rate = self.limit.aim * self._share
        return max(math.ceil(rate * mean_ms / MS_PER_SECOND), 1)

    def _find_window_end(self, now_ms: float) -> float:
        ceiling = math.floor(self.limit.bound * CEILING_SHARE)
        # What the last owner has sent in the second before is not known.
        known_ms = self._opened_ms + WINDOW_MS
        if now_ms < known_ms:
            rest = math.floor((self.limit.bound - ceiling) * self._share)
            return self._find_free_time(rest) if rest else known_ms
        allowed = math.floor(ceiling * self._share)
        if allowed:
            return self._find_free_time(allowed)
        interval_ms = MS_PER_SECOND / (self.limit.aim * self._share)
        if self._starts_ms:
            return self._starts_ms[-1] + interval_ms
        return known_ms + self._phase * interval_ms

    def _find_free_time(self, allowed: int) -> float:
        if len(self._starts_ms) < allowed:
            return -math.inf
        return self._starts_ms[-allowed] + WINDOW_MS

    def _find_cold_time(self) -> float:
        rate = self.limit.aim * self._share
        burst = math.ceil(rate * BURST_MS / MS_PER_SECOND)
        if len(self._starts_ms) < burst:
            return -math.inf
        return self._starts_ms[-burst] + burst * MS_PER_SECOND / rate
