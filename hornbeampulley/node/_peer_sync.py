"""Asks a peer for what the store itself no longer tells.

A store that has come back from a copy lacks what was written since. A host that
starts then reads only the copy; a host that was behind never reads the rest.
"""

import logging
import random
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._membership import Membership, NodeAddress
from hornbeampulley.node._mesh import Mesh
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.wire import Link

# Time for a peer to answer, after which another one is asked.
ANSWER_MS: Final = 300.0
# Time after which the host goes on with what it has read itself.
GIVE_UP_MS: Final = 1500.0
_log = logging.getLogger(__name__)


class PeerSync:
    """Requests from one peer all that is newer than a position.

    It runs after the start of this host, and after each return of the store from
    a copy. Peers that have run for long are asked, as they know most.

    Parameters
    ----------
    membership : Membership
        Live nodes.
    mesh : Mesh
        Links to the other nodes.
    store_view : StoreView
        Receives the items; incomplete until the first run is over.
    request : callable
        Called with a link and a position to request the newer items.
    clock : Clock
        Monotonic clock.
    generator : random.Random
        Chooses the peer.
    """

    def __init__(
        self,
        membership: Membership,
        mesh: Mesh,
        store_view: StoreView,
        request: Callable[[Link, Position], None],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._membership = membership
        self._mesh = mesh
        self._store_view = store_view
        self._request = request
        self._clock = clock
        self._generator = generator
        self._position: Position | None = None
        self._started_ms = 0.0
        self._epoch: int | None = None
        self._peer = ''
        self._chosen_ms = 0.0
        self._is_sent = False

    def start(self) -> None:
        """Request everything; requests of callers wait for the answer."""
        self._store_view.is_complete = False
        self._begin(Position())

    def run(self) -> None:
        """Ask a peer, or another one if it has not answered."""
        self._follow_epoch()
        if self._position is None:
            return
        now_ms = self._clock.now()
        if now_ms - self._started_ms >= GIVE_UP_MS:
            log_event(_log, 'peer_sync_given_up', peer=self._peer or None)
            self._end()
            return
        if not self._peer or now_ms - self._chosen_ms >= ANSWER_MS:
            self._choose_peer()
        if self._peer and not self._is_sent:
            self._ask()

    def record_answer(self, incarnation: str) -> None:
        """Record that a peer has sent all that it knows.

        Parameters
        ----------
        incarnation : str
            Incarnation of the peer.
        """
        if self._position is not None and incarnation == self._peer:
            log_event(_log, 'peer_sync_done', peer=incarnation)
            self._end()

    def _begin(self, position: Position) -> None:
        self._position = position
        self._started_ms = self._clock.now()
        self._peer = ''

    def _end(self) -> None:
        self._position = None
        self._store_view.is_complete = True

    def _follow_epoch(self) -> None:
        """Begin again if the store has come back from a copy."""
        known = self._epoch
        self._epoch = self._store_view.epoch
        is_restored = known is not None and known != self._epoch
        if is_restored and self._position is None:
            self._begin(self._store_view.left_position)

    def _choose_peer(self) -> None:
        others = sorted(self._list_others(), key=_get_start)
        oldest = others[: (len(others) + 1) // 2]
        self._peer = ''
        self._is_sent = False
        if oldest:
            self._peer = self._generator.choice(oldest).incarnation
            self._chosen_ms = self._clock.now()

    def _ask(self) -> None:
        """Send the request, once there is a link to the peer."""
        link = self._mesh.get_link(self._peer)
        if link is not None:
            self._request(link, self._position)
            self._is_sent = True

    def _list_others(self) -> list[NodeAddress]:
        own = self._membership.incarnation
        return [
            node
            for node in self._membership.live
            if node.incarnation != own
            and not (node.is_suspect or node.is_draining)
        ]


def _get_start(node: NodeAddress) -> int:
    return node.started_ms
