"""Fetches from peers what this node has not read of the store."""

from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node._membership import Membership, NodeAddress
from hornbeampulley.node._mesh import Mesh
from hornbeampulley.node._positions import PeerPositions
from hornbeampulley.wire import Link

# A host that reads the store itself gives that this much time first.
BEHIND_MS: Final = 400.0
# Time for a peer to answer, after which another one is asked.
ANSWER_MS: Final = 300.0


class CatchUp:
    """Requests newer items from a peer that is ahead.

    Parameters
    ----------
    membership : Membership
        Live nodes.
    mesh : Mesh
        Links to the other nodes.
    positions : PeerPositions
        Tells who is ahead.
    request : callable
        Called with a link to request the items on it.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    is_reader : bool
        Whether this host reads the store itself.
    """

    def __init__(
        self,
        membership: Membership,
        mesh: Mesh,
        positions: PeerPositions,
        request: Callable[[Link], None],
        clock: Clock,
    ) -> None:
        self.is_reader = False
        self._membership = membership
        self._mesh = mesh
        self._positions = positions
        self._request = request
        self._clock = clock
        self._behind_since_ms: float | None = None
        self._requested_ms = -ANSWER_MS

    def run(self) -> bool:
        """Request items if this node has been behind for long enough.

        Returns
        -------
        bool
            Whether a peer was asked.
        """
        now_ms = self._clock.now()
        nodes = self._list_ahead()
        if not nodes:
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        patience_ms = BEHIND_MS if self.is_reader else 0
        if now_ms - self._behind_since_ms < patience_ms:
            return False
        if now_ms - self._requested_ms < ANSWER_MS:
            return False
        return self._ask(nodes, now_ms)

    def _list_ahead(self) -> list[NodeAddress]:
        found = map(
            self._membership.find_by_address, self._positions.list_ahead()
        )
        own = self._membership.incarnation
        return [node for node in found if node and node.incarnation != own]

    def _ask(self, nodes: list[NodeAddress], now_ms: float) -> bool:
        for node in nodes:
            if self._mesh.has_link(node.incarnation):
                self._requested_ms = now_ms
                self._request(self._mesh.get_link(node.incarnation))
                return True
        self._mesh.get_link(nodes[0].incarnation)
        return False
