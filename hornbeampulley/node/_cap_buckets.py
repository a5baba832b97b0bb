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
# Others may take over from an owner that they have not heard for 500 ms; it
# sends a heartbeat each 150 ms.
MAX_UNCONFIRMED_MS: Final = 350.0


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
    is_owner : callable
        Tells whether this node owns the bucket of a workspace.
    """

    def __init__(
        self, clock: Clock, settings: CapSettings | None = None
    ) -> None:
        self.find_share: Callable[[str], float] = _take_whole
        self.is_owner: Callable[[str], bool] = _own_all
        self._clock = clock
        self._settings = settings or CapSettings()
        self._table: RoutingTable | None = None
        self._buckets: dict[str, TokenBucket] = {}
        # Parts of the caps that the buckets are set to.
        self._shares: dict[str, float] = {}
        # Times up to which no other node granted from the caps.
        self._owned_ms: dict[str, float] = {}

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
                self._resume(name, bucket, now_ms)
                bucket.set_cap(workspace.cap, now_ms, self._settings)
                self._shares[name] = WHOLE

    @property
    def is_used(self) -> bool:
        """Whether there are any buckets."""
        return bool(self._buckets)

    def confirm(self) -> None:
        """Record which buckets this node owns now; called periodically.

        A bucket that it did not own for a window is removed.
        """
        now_ms = self._clock.now()
        for workspace, bucket in tuple(self._buckets.items()):
            if self.is_owner(workspace):
                self._resume(workspace, bucket, now_ms)
                self._owned_ms[workspace] = now_ms
            elif now_ms - self._owned_ms[workspace] > self._settings.window_ms:
                self._remove(workspace)

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
        else:
            self._resume(workspace, bucket, now_ms)
        self._owned_ms[workspace] = now_ms
        if share < WHOLE:
            bucket.set_cap(part, now_ms, settings, min(units, cap.burst))
        elif self._shares.get(workspace, WHOLE) < WHOLE:
            bucket.set_cap(part, now_ms, settings)
        self._shares[workspace] = share
        return bucket

    def _remove(self, workspace: str) -> None:
        self._buckets.pop(workspace)
        self._owned_ms.pop(workspace)
        self._shares.pop(workspace)

    def _resume(
        self, workspace: str, bucket: TokenBucket, now_ms: float
    ) -> None:
        """Take nothing that another owner may have granted meanwhile."""
        owned_ms = self._owned_ms[workspace]
        if now_ms - owned_ms > MAX_UNCONFIRMED_MS:
            bucket.resume(owned_ms, now_ms)


def _own_all(_workspace: str) -> bool:
    """Default of `CapBuckets.is_owner`."""
    return True


def _take_whole(_workspace: str) -> float:
    """Default of `CapBuckets.find_share`."""
    return WHOLE
