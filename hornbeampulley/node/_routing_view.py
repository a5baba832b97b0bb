"""The routing table in force at a node."""

import logging

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._target_items import log_dropped
from hornbeampulley.node.stored import Decoder, StoredItem
from hornbeampulley.routing import RoutingTable

_log = logging.getLogger(__name__)


class RoutingView:
    """Keeps the table with the highest version, out of all histories.

    Parameters
    ----------
    decoder : Decoder
        Reads the content of the items.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    table : RoutingTable or None
        Table in force; None before one was read.
    taken_ms : float
        Time when it came into force, in ms.
    """

    def __init__(self, decoder: Decoder, clock: Clock) -> None:
        self.table: RoutingTable | None = None
        self.taken_ms = 0.0
        self._decoder = decoder
        self._clock = clock
        self._item: StoredItem | None = None

    @property
    def version(self) -> int:
        """Version of the table in force; 0 before one was read."""
        return self.table.version if self.table else 0

    def apply(self, item: StoredItem, source: str) -> bool:
        """Put a table into force, unless it is not newer or not valid.

        Parameters
        ----------
        item : StoredItem
            Item with the table.
        source : str
            Source of the item, for the log.

        Returns
        -------
        bool
            Whether the table is in force now.
        """
        known = self._item
        if known is not None and item.revision == known.revision:
            return False
        table = self._decoder.read_routing(item)
        if table is None:
            return False
        if known is not None and table.version <= self.version:
            log_dropped(item, known, source)
            return False
        self.table = table
        self.taken_ms = self._clock.now()
        self._item = item
        log_event(
            _log,
            'routing_taken',
            version=table.version,
            revision=item.revision,
            source=source,
        )
        return True

    def find_newer(self, position: Position) -> StoredItem | None:
        """Return the item of the table, if a peer does not have it.

        Parameters
        ----------
        position : Position
            Position of the peer.

        Returns
        -------
        StoredItem or None
            None if the peer has it.
        """
        item = self._item
        if item is None:
            return None
        is_newer = item.revision > position.routing
        return item if is_newer or self.version > position.version else None
