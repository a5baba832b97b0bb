"""Usage caps of the workspaces that this node owns."""

from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.routing import (
    CapSettings,
    RoutingTable,
    TokenBucket,
    UsageCap,
    take_part,
)

WHOLE: Final = 1.0


class CapBuckets:
    """Token buckets by workspace, opened with the first draw.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    settings : CapSettings, optional
        Initial fill and tolerance of usage caps.

    Attributes
    ----------
    find_share : callable
        Returns the part of a workspace's cap that this node may grant.
    """

    def __init__(
        self, clock: Clock, settings: CapSettings | None = None
    ) -> None:
        self.find_share: Callable[[str], float] = _take_whole
        self._clock = clock
        self._settings = settings or CapSettings()
        self._table: RoutingTable | None = None
        self._buckets: dict[str, TokenBucket] = {}
        # Parts of the caps that the buckets are set to.
        self._shares: dict[str, float] = {}

    def configure(self, table: RoutingTable) -> None:
        """Apply the caps of a routing table; the buckets keep their fill.

        Parameters
        ----------
        table : RoutingTable
            Routing table in force.
        """
        self._table = table
        now_ms = self._clock.now()
        for name, bucket in self._buckets.items():
            workspace = table.workspaces.get(name)
            if workspace is not None:
                bucket.set_cap(workspace.cap, now_ms, self._settings)
                self._shares[name] = WHOLE

    def draw(self, workspace: str, units: float) -> float:
        """Draw on the usage cap of a workspace.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        units : float
            Units that the request uses.

        Returns
        -------
        float
            0 if granted, otherwise the time in ms until the draw can succeed.
        """
        known = self._table and self._table.workspaces.get(workspace)
        if not known or not known.cap.is_limited:
            return 0
        bucket = self._fit_bucket(workspace, known.cap, units)
        return bucket.draw(units, self._clock.now())

    def refund(self, workspace: str, units: float) -> None:
        """Refund the units of a request that never ran.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        units : float
            Units that the request had drawn.
        """
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.put_back(units)

    def _fit_bucket(
        self, workspace: str, cap: UsageCap, units: float
    ) -> TokenBucket:
        """Fit a bucket to the part of the cap that may be granted here."""
        now_ms = self._clock.now()
        share = self.find_share(workspace)
        settings = self._settings.take_part(share)
        part = take_part(cap, share)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(part, now_ms, settings)
            self._buckets[workspace] = bucket
        if share < WHOLE:
            bucket.set_cap(part, now_ms, settings, min(units, cap.burst))
        elif self._shares.get(workspace, WHOLE) < WHOLE:
            bucket.set_cap(part, now_ms, settings)
        self._shares[workspace] = share
        return bucket


def _take_whole(_workspace: str) -> float:
    """Default of `CapBuckets.find_share`."""
    return WHOLE
