"""Which part of all hosts a node acts for.

A node that is cut off from others can't know what these grant. So it grants of a
common limit only the part of the hosts that it reaches, out of all that it knows
of; the parts of all sides of a partition add up to the whole.
"""

from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node._membership import Membership

# A host that was lost counts for this long, as it may be cut off and serve on.
LOST_MS: Final = 600_000.0
# Time after the loss of its link for which a host does not count as reached; by
# then its failure is detected by probes.
LINK_LOST_MS: Final = 5000.0
# Interval between two looks at the membership.
REFRESH_MS: Final = 100.0


class HostShare:
    """Counts the hosts that are reached and those that are known.

    Parameters
    ----------
    membership : Membership
        Live nodes.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._homes: set[str] = set()
        self._link_lost_ms: dict[str, float] = {}
        # Hosts with the time at which they were last a member.
        self._seen_ms: dict[str, float] = {}
        self._draining: set[str] = set()
        self._refreshed_ms: float | None = None
        self._reached = 1

    def count_known(self) -> int:
        """Count all hosts, with those that were lost lately and this one.

        Returns
        -------
        int
            Their number.
        """
        self._refresh()
        return len(self._seen_ms)

    def add_home(self, incarnation: str) -> None:
        """Record that a node has opened a link to this one.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.
        """
        self._homes.add(incarnation)
        self._link_lost_ms.pop(incarnation, None)
        self._refreshed_ms = None

    def remove_home(self, incarnation: str) -> None:
        """Record that the link of a node has closed.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.
        """
        self._homes.discard(incarnation)
        self._link_lost_ms[incarnation] = self._clock.now()
        self._refreshed_ms = None

    def compute(self, key: str) -> float:
        """Return the part of a common limit that this node may grant.

        Parameters
        ----------
        key : str
            Key of the limit, for which this node acts as the owner.

        Returns
        -------
        float
            Hosts that are reached, as a share of all that are known. If another
            node should be the owner, only those with a link are reached.
        """
        self._refresh()
        first = self._membership.rank_owners(key)[0]
        reached = self._reached
        if first != self._membership.incarnation:
            reached = min(1 + len(self._homes), reached)
        return min(reached / max(len(self._seen_ms), 1), 1)

    def _refresh(self) -> None:
        now_ms = self._clock.now()
        last_ms = self._refreshed_ms
        if last_ms is not None and now_ms - last_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        self._update_seen(now_ms)
        self._link_lost_ms = {
            incarnation: lost_ms
            for incarnation, lost_ms in self._link_lost_ms.items()
            if now_ms - lost_ms < LINK_LOST_MS
        }
        self._reached = self._count_reached(now_ms)

    def _update_seen(self, now_ms: float) -> None:
        live = self._membership.live
        members = {one.host for one in live}
        self._seen_ms.update(dict.fromkeys(members, now_ms))
        # What has left on purpose does not serve on.
        for gone in self._draining - members:
            self._seen_ms.pop(gone, None)
        self._draining = {one.host for one in live if one.is_draining}
        self._seen_ms = {
            host: seen_ms
            for host, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < LOST_MS
        }

    def _count_reached(self, now_ms: float) -> int:
        if self._membership.prober.is_isolated(now_ms):
            return 1
        own = self._membership.incarnation
        others = (
            node
            for node in self._membership.live
            if not node.is_suspect and node.incarnation != own
        )
        lost = self._link_lost_ms.keys()
        return 1 + sum(node.incarnation not in lost for node in others)
