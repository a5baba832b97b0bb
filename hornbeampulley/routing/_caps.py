"""Usage caps: token buckets over all hosts."""

import dataclasses
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.routing._table import UsageCap

OVERAGE_USED: Final = 0.4
SLACK_USED: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CapSettings:
    """How a bucket starts.

    Attributes
    ----------
    start_share : float
        Share of the burst that a bucket holds when it is new, since another
        host may have given out the rest.
    overage : float
        Share beyond the cap that operators put up with.
    slack : float
        Units beyond it that they put up with besides.
    """

    start_share: float = 0.5
    overage: float = 0
    slack: float = 0

    def widen(self, cap: UsageCap) -> UsageCap:
        """Return a cap that uses a part of what operators put up with.

        Parameters
        ----------
        cap : UsageCap
            As operators wrote it.

        Returns
        -------
        UsageCap
            The rest is left for changes of the bucket's owner.
        """
        factor = 1 + OVERAGE_USED * self.overage
        return dataclasses.replace(
            cap,
            per_second=cap.per_second * factor,
            burst=cap.burst * factor + SLACK_USED * self.slack,
        )


class TokenBucket:
    """Units that a workspace may use now.

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
        self._units = self._cap.burst * self._settings.start_share
        self._filled_ms = now_ms

    def set_cap(self, cap: UsageCap, now_ms: float) -> None:
        """Take another rate and burst.

        Parameters
        ----------
        cap : UsageCap
            The new ones.
        now_ms : float
            The current time.
        """
        self._fill(now_ms)
        self._cap = self._settings.widen(cap)
        self._units = min(self._units, self._cap.burst)

    def draw(self, units: float, now_ms: float) -> float:
        """Take units out if the bucket is not overdrawn.

        A request may overdraw it, so that one larger than the burst is
        served too; the next one waits longer.

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
        self._fill(now_ms)
        needed = min(units, max(self._cap.burst, 1))
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

    def _fill(self, now_ms: float) -> None:
        elapsed_s = max(now_ms - self._filled_ms, 0) / MS_PER_SECOND
        self._filled_ms = now_ms
        gained = elapsed_s * self._cap.per_second
        self._units = min(self._units + gained, self._cap.burst)
