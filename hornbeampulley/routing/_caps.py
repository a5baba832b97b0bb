"""Usage caps: token buckets over all hosts."""

import dataclasses
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.routing._table import UsageCap

# Shares of what operators put up with beyond a cap. Two new owners may start
# a bucket within one window.
RATE_SHARE: Final = 0.35
BURST_SHARE: Final = 0.1
DEBT_SHARE: Final = 0.2
START_SHARE: Final = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class CapSettings:
    """How a bucket starts, and how far it may go beyond its cap.

    Attributes
    ----------
    start_share : float
        Share of the burst that a bucket holds when it is new, if operators
        put up with nothing beyond the cap.
    overage : float
        Share beyond the cap that operators put up with.
    slack : float
        Units beyond it that they put up with besides.
    window_ms : float
        Time over which they look at a workspace's usage.
    """

    start_share: float = 0.5
    overage: float = 0
    slack: float = 0
    window_ms: float = 8000.0

    def widen(self, cap: UsageCap) -> UsageCap:
        """Return a cap that uses a part of what operators put up with.

        Most goes to the rate, so that a workspace that is over its cap for
        long gets it in each window; the rest lets it use its rate in bursts.

        Parameters
        ----------
        cap : UsageCap
            As operators wrote it.

        Returns
        -------
        UsageCap
            With a larger rate and burst.
        """
        window_s = self.window_ms / MS_PER_SECOND
        tolerance = self._get_tolerance(cap)
        return dataclasses.replace(
            cap,
            per_second=cap.per_second + RATE_SHARE * tolerance / window_s,
            burst=cap.burst + BURST_SHARE * tolerance,
        )

    def get_initial_units(self, cap: UsageCap) -> float:
        """Return what a new bucket holds.

        An owner before may have given out the burst, so a new one starts with
        a part of what operators put up with.

        Parameters
        ----------
        cap : UsageCap
            As operators wrote it.

        Returns
        -------
        float
            Units.
        """
        tolerance = self._get_tolerance(cap)
        if tolerance:
            return START_SHARE * tolerance
        return cap.burst * self.start_share

    def get_max_debt(self, cap: UsageCap) -> float:
        """Return how far a bucket may be overdrawn.

        Parameters
        ----------
        cap : UsageCap
            As operators wrote it.

        Returns
        -------
        float
            Units.
        """
        return DEBT_SHARE * self._get_tolerance(cap)

    def _get_tolerance(self, cap: UsageCap) -> float:
        window_s = self.window_ms / MS_PER_SECOND
        allowed = cap.per_second * window_s + cap.burst
        return allowed * self.overage + self.slack


class TokenBucket:
    """Units that a workspace may use now.

    A request passes as soon as the bucket holds anything, and may leave a debt
    that the next ones wait for. If each had to find all its units there, a
    workspace over its cap would be served small requests only, since they
    take what little there is. A new bucket makes no debts in its first window,
    as an owner before may have made some.

    Parameters
    ----------
    cap : UsageCap
        Its rate and burst.
    now_ms : float
        The current time.
    settings : CapSettings, optional
        How it starts.
    """

    def __init__(
        self,
        cap: UsageCap,
        now_ms: float,
        settings: CapSettings | None = None,
    ) -> None:
        self._settings = settings or CapSettings()
        self._cap = self._settings.widen(cap)
        self._max_debt = self._settings.get_max_debt(cap)
        self._debt_allowed_from_ms = now_ms + self._settings.window_ms
        self._units = self._settings.get_initial_units(cap)
        self._refilled_ms = now_ms

    def set_cap(self, cap: UsageCap, now_ms: float) -> None:
        """Take another rate and burst.

        Parameters
        ----------
        cap : UsageCap
            The new ones.
        now_ms : float
            The current time.
        """
        self._refill(now_ms)
        self._cap = self._settings.widen(cap)
        self._max_debt = self._settings.get_max_debt(cap)
        self._units = min(self._units, self._cap.burst)

    def draw(self, units: float, now_ms: float) -> float:
        """Take units out if the bucket holds enough.

        A request larger than the burst is served from a full bucket; the next
        one waits longer.

        Parameters
        ----------
        units : float
            What a request uses.
        now_ms : float
            The current time.

        Returns
        -------
        float
            0 if they were taken, otherwise the time in ms until they can be.
        """
        self._refill(now_ms)
        needed = min(units, max(self._cap.burst, 1))
        if now_ms >= self._debt_allowed_from_ms:
            needed = max(needed - self._max_debt, 0)
        if self._units >= needed:
            self._units -= units
            return 0
        missing = needed - self._units
        return max(missing / self._cap.per_second * MS_PER_SECOND, 1)

    def put_back(self, units: float) -> None:
        """Return the units of a request that never ran.

        Parameters
        ----------
        units : float
            What it had drawn.
        """
        self._units = min(self._units + units, self._cap.burst)

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(now_ms - self._refilled_ms, 0) / MS_PER_SECOND
        self._refilled_ms = now_ms
        gained = elapsed_s * self._cap.per_second
        self._units = min(self._units + gained, self._cap.burst)
