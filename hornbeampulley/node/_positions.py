"""Which peers have read more of the store, and how fresh that is."""

import math
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._store_view import StoreView

# Positions of this many peers that are ahead are kept.
MAX_AHEAD: Final = 8
# Shortest time between two questions.
ASK_INTERVAL_MS: Final = 250.0
# Ages of the own view between which a host that reads the store is asked. With an
# older one a host soon reads by itself.
ASK_READER_AGE_MS: Final = 2000.0
MAX_ASK_READER_AGE_MS: Final = 5000.0


class PeerPositions:
    """Positions of peers that are ahead of this node in reading the store.

    Parameters
    ----------
    store_view : StoreView
        What this node has read or received.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    on_ahead : callable
        Called when a peer that is ahead has told its position.
    """

    def __init__(self, store_view: StoreView, clock: Clock) -> None:
        self.on_ahead: Callable[[], None] = _do_nothing
        self._store_view = store_view
        self._clock = clock
        self._ahead: dict[str, Position] = {}
        self._asked_ms = -math.inf

    def record(
        self,
        address: str,
        position: Position,
        age_ms: float | None,
        asked_ms: float | None,
    ) -> None:
        """Record the position of a peer.

        A peer that is not ahead and is up to date shows that this node is. When
        it sent that is known only if it was asked: what it has told by itself
        may have lain unread for long, e.g. while this process was paused.

        Parameters
        ----------
        address : str
            IP address of the peer.
        position : Position
            What it has read or received.
        age_ms : float or None
            Time since its view is known to have been up to date, in ms; None
            if it has not told.
        asked_ms : float or None
            When it was asked, in ms; None if it was not.
        """
        self._ahead.pop(address, None)
        if not position.is_ahead_of(self._store_view.position):
            self._confirm(age_ms, asked_ms)
            return
        self._ahead[address] = position
        if len(self._ahead) > MAX_AHEAD:
            self._ahead.pop(next(iter(self._ahead)))
        self.on_ahead()

    def has_to_ask_reader(self) -> bool:
        """Tell whether to ask a host that reads the store for its position now.

        Returns
        -------
        bool
            True if the view of this host is about to be too old to be used.
        """
        age_ms = self._store_view.freshness.age_ms
        if not ASK_READER_AGE_MS <= age_ms < MAX_ASK_READER_AGE_MS:
            return False
        now_ms = self._clock.now()
        if now_ms < self._asked_ms + ASK_INTERVAL_MS:
            return False
        self._asked_ms = now_ms
        return True

    @property
    def next_question_ms(self) -> float:
        """When `has_to_ask_reader` may be true next, in ms."""
        age_ms = self._store_view.freshness.age_ms
        if age_ms >= MAX_ASK_READER_AGE_MS:
            return math.inf
        due_ms = self._clock.now() + ASK_READER_AGE_MS - age_ms
        return max(due_ms, self._asked_ms + ASK_INTERVAL_MS)

    def list_ahead(self) -> list[str]:
        """List the peers that are ahead, those heard last first.

        Returns
        -------
        list of str
            Their IP addresses.
        """
        self._ahead = {
            address: position
            for address, position in self._ahead.items()
            if position.is_ahead_of(self._store_view.position)
        }
        return list(reversed(self._ahead))

    def _confirm(self, age_ms: float | None, asked_ms: float | None) -> None:
        if age_ms is not None and asked_ms is not None:
            self._store_view.freshness.confirm(asked_ms - max(age_ms, 0))


def _do_nothing() -> None:
    """Default of `PeerPositions.on_ahead`."""
