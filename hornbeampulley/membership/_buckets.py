"""Rate limiting with a token bucket."""

from typing import Final

from hornbeampulley.clock import MS_PER_SECOND

_UNIT: Final = 1.0


class TokenBucket:
    """Limits the rate of calls, with a bounded burst.

    Parameters
    ----------
    calls_per_second : float
        Rate at which the bucket is refilled.
    burst : float
        Capacity of the bucket, in calls; raised to 1 if it is less.
    now_ms : float
        The current time, in ms; the bucket starts full.
    """

    def __init__(
        self,
        calls_per_second: float,
        burst: float,
        now_ms: float,
    ) -> None:
        self._rate = calls_per_second
        self._burst = max(burst, _UNIT)
        self._saved = self._burst
        self._filled_ms = now_ms

    def set_rate(self, calls_per_second: float, now_ms: float) -> None:
        """Change the refill rate.

        Parameters
        ----------
        calls_per_second : float
            The new rate; what accrued until now accrued at the old one.
        now_ms : float
            The current time, in ms.
        """
        self._fill(now_ms)
        self._rate = calls_per_second

    def take(self, now_ms: float) -> bool:
        """Take one token if one is available.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        bool
            Whether the call may be made now.
        """
        self._fill(now_ms)
        if self._saved < _UNIT:
            return False
        self._saved -= _UNIT
        return True

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(now_ms - self._filled_ms, 0)
        gained = elapsed_ms / MS_PER_SECOND * self._rate
        self._saved = min(self._saved + gained, self._burst)
        self._filled_ms = max(now_ms, self._filled_ms)
