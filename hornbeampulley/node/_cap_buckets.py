"""Usage caps of the workspaces that this node owns."""

from hornbeampulley.clock import Clock
from hornbeampulley.routing import CapSettings, RoutingTable, TokenBucket


class CapBuckets:
    """Token buckets by workspace, opened with the first draw.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    settings : CapSettings, optional
        Initial fill and tolerance of usage caps.
    """

    def __init__(
        self, clock: Clock, settings: CapSettings | None = None
    ) -> None:
        self._clock = clock
        self._settings = settings or CapSettings()
        self._table: RoutingTable | None = None
        self._buckets: dict[str, TokenBucket] = {}

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
                bucket.set_cap(workspace.cap, now_ms)

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
        now_ms = self._clock.now()
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(known.cap, now_ms, self._settings)
            self._buckets[workspace] = bucket
        return bucket.draw(units, now_ms)

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
