"""Usage caps: token buckets that apply over all hosts."""

import dataclasses
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.routing._table import UsageCap

# Shares of the tolerance (the usage beyond a cap that operators accept per
# window). The initial share counts twice, since the owner of a bucket may
# change twice within one window.
RATE_SHARE: Final = 0.35
BURST_SHARE: Final = 0.1
DEBT_SHARE: Final = 0.2
START_SHARE: Final = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class CapSettings:
    """Initial fill of a bucket and accepted usage beyond its cap.

    Attributes
    ----------
    start_share : float
        Share of the burst that a new bucket holds if no usage beyond the cap
        is accepted.
    overage : float
        Accepted usage beyond the cap, as a share of the cap.
    slack : float
        Further accepted usage beyond the cap, in units.
    window_ms : float
        Length of the window over which usage is measured, in ms.
    """

    start_share: float = 0.5
    overage: float = 0
    slack: float = 0
    window_ms: float = 8000.0

    def take_part(self, share: float) -> 'CapSettings':
        """Return the settings for a part of a cap.

        Parameters
        ----------
        share : float
            Part of the hosts that the bucket serves.

        Returns
        -------
        CapSettings
            With the same part of the accepted usage.
        """
        return dataclasses.replace(self, slack=self.slack * share)

    def widen(self, cap: UsageCap) -> UsageCap:
        """Return a cap enlarged by a part of the tolerance.

        Most of it is added to the rate, so that a workspace that exceeds its
        cap for long gets it in each window; a smaller part is added to the
        burst.

        Parameters
        ----------
        cap : UsageCap
            The configured cap.

        Returns
        -------
        UsageCap
            The cap with a larger rate and burst.
        """
        window_s = self.window_ms / MS_PER_SECOND
        tolerance = self._get_tolerance(cap)
        return dataclasses.replace(
            cap,
            per_second=cap.per_second + RATE_SHARE * tolerance / window_s,
            burst=cap.burst + BURST_SHARE * tolerance,
        )

    def get_initial_units(self, cap: UsageCap) -> float:
        """Return the initial fill of a new bucket.

        The previous owner of the bucket may have granted the whole burst, so
        a new owner starts with a part of the tolerance instead.

        Parameters
        ----------
        cap : UsageCap
            The configured cap.

        Returns
        -------
        float
            Number of units.
        """
        tolerance = self._get_tolerance(cap)
        if tolerance:
            return START_SHARE * tolerance
        return cap.burst * self.start_share

    def get_max_debt(self, cap: UsageCap) -> float:
        """Return by how many units a bucket may be overdrawn.

        Parameters
        ----------
        cap : UsageCap
            The configured cap.

        Returns
        -------
        float
            Number of units.
        """
        return DEBT_SHARE * self._get_tolerance(cap)

    def _get_tolerance(self, cap: UsageCap) -> float:
        window_s = self.window_ms / MS_PER_SECOND
        allowed = cap.per_second * window_s + cap.burst
        return allowed * self.overage + self.slack


def take_part(cap: UsageCap, share: float) -> UsageCap:
    """Return the part of a cap that some of the hosts may use.

    Parameters
    ----------
    cap : UsageCap
        The whole cap.
    share : float
        Part of the hosts.

    Returns
    -------
    UsageCap
        With a part of the rate and the burst.
    """
    return dataclasses.replace(
        cap,
        per_second=cap.per_second * share,
        burst=cap.burst * share,
    )


class TokenBucket:
    """Token bucket that limits the usage of a workspace.

    A draw may overdraw the bucket by up to a limited debt, and later draws
    wait until the debt is refilled. If each draw had to be covered in full, a
    workspace over its cap would be served small requests only, since they use
    up the few units available. A new bucket allows no debt in its first
    window, because the previous owner may have allowed some.

    Parameters
    ----------
    cap : UsageCap
        Configured rate and burst.
    now_ms : float
        The current time in ms.
    settings : CapSettings, optional
        Initial fill and tolerance.
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
        self._initial_units = self._settings.get_initial_units(cap)
        self._units = self._initial_units
        self._refilled_ms = now_ms
        self._least_size = 0.0

    def set_cap(
        self,
        cap: UsageCap,
        now_ms: float,
        settings: CapSettings | None = None,
        least_size: float = 0,
    ) -> None:
        """Change the rate and burst; keep the fill, limited to the new burst.

        Parameters
        ----------
        cap : UsageCap
            New rate and burst.
        now_ms : float
            The current time in ms.
        settings : CapSettings, optional
            New tolerance.
        least_size : float, optional
            Units that the bucket can hold although they exceed the burst, so
            that a small part of a cap covers a large request in time.
        """
        self._refill(now_ms)
        self._settings = settings or self._settings
        self._least_size = least_size
        self._cap = self._settings.widen(cap)
        self._max_debt = self._settings.get_max_debt(cap)
        self._initial_units = self._settings.get_initial_units(cap)
        self._units = min(self._units, self._size)

    def resume(self, owned_ms: float, now_ms: float) -> None:
        """Go on after a time in which others may have granted.

        Nothing is refilled for that time, and no more is kept than a new bucket
        holds. So the buckets of several owners, however often they change, refill
        together no faster than one, and each but the first adds one initial fill.

        Parameters
        ----------
        owned_ms : float
            Time in ms up to which no other granted.
        now_ms : float
            The current time in ms.
        """
        self._refill(owned_ms)
        self._refilled_ms = now_ms
        self._units = min(self._units, self._initial_units)
        self._debt_allowed_from_ms = now_ms + self._settings.window_ms

    def draw(self, units: float, now_ms: float) -> float:
        """Draw units if the bucket holds enough.

        A request larger than the burst is granted from a full bucket, and the
        next request waits longer.

        Parameters
        ----------
        units : float
            Units that the request uses.
        now_ms : float
            The current time in ms.

        Returns
        -------
        float
            0 if granted, otherwise the time in ms until the draw can succeed.
        """
        self._refill(now_ms)
        needed = min(units, max(self._size, 1))
        if now_ms >= self._debt_allowed_from_ms:
            needed = max(needed - self._max_debt, 0)
        if self._units >= needed:
            self._units -= units
            return 0
        missing = needed - self._units
        return max(missing / self._cap.per_second * MS_PER_SECOND, 1)

    def put_back(self, units: float) -> None:
        """Refund the units of a request that never ran.

        Parameters
        ----------
        units : float
            Units that the request had drawn.
        """
        self._units = min(self._units + units, self._size)

    @property
    def _size(self) -> float:
        return max(self._cap.burst, self._least_size)

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(now_ms - self._refilled_ms, 0) / MS_PER_SECOND
        self._refilled_ms = now_ms
        gained = elapsed_s * self._cap.per_second
        self._units = min(self._units + gained, self._size)
