"""View of routing table and targets at a node.

An item or a routing table is never replaced by an older one.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._freshness import Freshness
from hornbeampulley.node._held_removals import HeldRemovals
from hornbeampulley.node._knowledge import GONE, Position, TargetNotice
from hornbeampulley.node.stored import Decoder, StoredItem
from hornbeampulley.routing import (
    RoutingTable,
    TargetRecord,
    TargetTable,
)

TOMBSTONE_MS: Final = 60_000.0
MASS_LOSS_SHARE: Final = 0.34
MASS_LOSS_COUNT: Final = 2
PEER: Final = 'peer'
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptItem:
    item: StoredItem
    taken_ms: float


class StoreView:
    """Applies items of the store, read from the store itself or from peers.

    Parameters
    ----------
    decoder : Decoder
        Reads the content of the items.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    table : RoutingTable or None
        Routing table in force; None before one was read.
    targets : TargetTable
        Registered targets.
    table_ms : float
        Time when the routing table came into force, in ms.
    changes : int
        Number of changes of routing table and targets so far.
    freshness : Freshness
        How long ago the view is known to have been up to date.
    on_change : callable
        Called after items were applied.
    """

    def __init__(self, decoder: Decoder, clock: Clock) -> None:
        self.table: RoutingTable | None = None
        self.table_ms = 0.0
        self.targets = TargetTable()
        self.changes = 0
        self.freshness = Freshness(clock)
        self.on_change: Callable[[], None] = _do_nothing
        self._decoder = decoder
        self._clock = clock
        self._items: dict[str, _KeptItem] = {}
        self._routing_revision = 0
        self._targets_revision = 0
        self._held_removals = HeldRemovals(clock)

    @property
    def prefixes(self) -> tuple[str, str]:
        """Key prefixes of the routing table and of the targets."""
        return self._decoder.routing_prefix, self._decoder.targets_prefix

    @property
    def position(self) -> Position:
        """Latest revisions applied."""
        return Position(self._routing_revision, self._targets_revision)

    def advance_position(self, position: Position) -> None:
        """Advance to a position, all items up to which were applied.

        Parameters
        ----------
        position : Position
            Position of a peer that has sent all its newer items.
        """
        self._routing_revision = max(self._routing_revision, position.routing)
        self._targets_revision = max(self._targets_revision, position.targets)

    def record_outage(self, away_ms: float) -> None:
        """Hold removals back for a while, as expired items may come back.

        Parameters
        ----------
        away_ms : float
            When the store is known to have been away last.
        """
        self._held_removals.record_outage(away_ms)

    def apply_items(self, items: Iterable[StoredItem], source: str) -> None:
        """Apply items of the store; items that are not newer are ignored.

        Parameters
        ----------
        items : iterable of StoredItem
            Changes, in the order of their revisions.
        source : str
            Source of the items, for the log.
        """
        known = [item for item in items if self._is_known_key(item.key)]
        newer = [item for item in known if self._is_new(item)]
        for item in known:
            if item not in newer:
                self._log_dropped(item, source)
        self._detect_mass_loss(newer)
        held_ms = self._held_removals.grace_ms
        for item in newer:
            self._apply_item(item, source, held_ms)
            self._advance_past(item)
        self.on_change()

    def apply_relayed_items(self, items: Iterable[StoredItem]) -> None:
        """Apply items that a peer has read.

        A removal is held back for as long as the peer holds it back. The
        position does not advance, since items may still be missing.

        Parameters
        ----------
        items : iterable of StoredItem
            Changes, in any order.
        """
        for item in items:
            if self._is_known_key(item.key) and self._is_new(item):
                self._apply_item(item, PEER, item.held_ms)
        self.on_change()

    def replace_targets(
        self,
        items: Iterable[StoredItem],
        revision: int,
        source: str,
    ) -> None:
        """Apply a full list of the targets; those not listed are removed.

        Parameters
        ----------
        items : iterable of StoredItem
            All items of targets in the store.
        revision : int
            Revision of the list; newer items are kept.
        source : str
            Source of the list, for the log.
        """
        listed = tuple(items)
        present = {item.key for item in listed}
        removed = [
            StoredItem(key, b'', revision, is_deleted=True)
            for key, kept in self._items.items()
            if key.startswith(self._decoder.targets_prefix)
            and key not in present
            and not kept.item.is_deleted
            and kept.item.revision <= revision
        ]
        self.apply_items((*listed, *removed), source)

    def get_notice(self, record: TargetRecord) -> TargetNotice:
        """Return what is known now about a target that was looked up before.

        Parameters
        ----------
        record : TargetRecord
            Record of the run of the target.

        Returns
        -------
        TargetNotice
            State of that run, and since when it is known.
        """
        self.apply_overdue_removals()
        known = self.targets.records.get(record.name)
        is_same_run = known is not None and known.born_ms == record.born_ms
        state = known.state.value if is_same_run else GONE
        kept = self._items.get(f'{self._decoder.targets_prefix}{record.name}')
        taken_ms = kept.taken_ms if kept else 0
        return TargetNotice(
            state,
            self._clock.now() - taken_ms,
            self.freshness.age_ms,
        )

    def list_newer(self, position: Position) -> Iterator[StoredItem]:
        """List the items that a peer has not applied.

        Parameters
        ----------
        position : Position
            Position of the peer.

        Yields
        ------
        StoredItem
            Newer items, including the removals of the last minute with the
            time for which this node still holds them back.
        """
        for kept in self._items.values():
            is_routing = kept.item.key == self._decoder.routing_prefix
            known = position.routing if is_routing else position.targets
            if kept.item.revision > known:
                yield self._held_removals.add_time_left(kept.item)

    def apply_overdue_removals(self) -> None:
        """Apply the removals whose time of being held back is over."""
        for item in self._held_removals.pop_due():
            self._remove(item, 'outage_over')

    def sweep(self) -> None:
        """Delete the records of old removals."""
        now_ms = self._clock.now()
        expired = [
            key
            for key, kept in self._items.items()
            if kept.item.is_deleted and now_ms - kept.taken_ms > TOMBSTONE_MS
        ]
        for key in expired:
            self._items.pop(key)

    def _is_known_key(self, key: str) -> bool:
        """Tell other keys apart that begin like that of the routing table."""
        decoder = self._decoder
        is_routing = key == decoder.routing_prefix
        return is_routing or key.startswith(decoder.targets_prefix)

    def _is_new(self, item: StoredItem) -> bool:
        kept = self._items.get(item.key)
        return kept is None or item.revision > kept.item.revision

    def _log_dropped(self, item: StoredItem, source: str) -> None:
        kept = self._items[item.key].item
        if kept == item:
            return
        log_event(
            _log,
            'item_dropped',
            key=item.key,
            revision=item.revision,
            known=kept.revision,
            source=source,
        )

    def _detect_mass_loss(self, items: list[StoredItem]) -> None:
        """Treat the loss of many records at once as an outage of the store."""
        lost = sum(item.is_deleted for item in items)
        known = len(self.targets.records)
        if lost >= MASS_LOSS_COUNT and lost >= known * MASS_LOSS_SHARE:
            log_event(_log, 'outage_suspected', lost=lost, known=known)
            self.record_outage(self._clock.now())

    def _apply_item(
        self,
        item: StoredItem,
        source: str,
        held_ms: float,
    ) -> None:
        self._items[item.key] = _KeptItem(item, self._clock.now())
        if item.key == self._decoder.routing_prefix:
            self._apply_table(item, source)
            return
        if item.is_deleted:
            self._apply_removal(item, source, held_ms)
            return
        record = self._decoder.read_target(item)
        if record is None:
            self._remove(item, source)
            return
        self._held_removals.drop(item.key)
        self._apply_record(record, item, source)

    def _advance_past(self, item: StoredItem) -> None:
        if item.key == self._decoder.routing_prefix:
            self._routing_revision = max(self._routing_revision, item.revision)
        else:
            self._targets_revision = max(self._targets_revision, item.revision)

    def _apply_table(self, item: StoredItem, source: str) -> None:
        table = self._decoder.read_routing(item)
        if table is None:
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.table_ms = self._clock.now()
        self.changes += 1
        log_event(
            _log,
            'routing_taken',
            version=table.version,
            revision=item.revision,
            source=source,
        )

    def _apply_record(
        self,
        record: TargetRecord,
        item: StoredItem,
        source: str,
    ) -> None:
        if not self.targets.put(record):
            return
        self.changes += 1
        known = self.targets.records[record.name]
        log_event(
            _log,
            'target_taken',
            target=record.name,
            pool=record.pool,
            address=record.endpoint,
            state=known.state.value,
            revision=item.revision,
            source=source,
        )

    def _apply_removal(
        self,
        item: StoredItem,
        source: str,
        held_ms: float,
    ) -> None:
        if held_ms <= 0:
            self._held_removals.drop(item.key)
            self._remove(item, source)
            return
        self._held_removals.hold(item, held_ms)
        log_event(
            _log,
            'target_missing',
            key=item.key,
            source=source,
            revision=item.revision,
            held_ms=round(held_ms),
        )

    def _remove(self, item: StoredItem, source: str) -> None:
        name = self._decoder.read_target_name(item.key)
        if not self.targets.remove(name):
            return
        self.changes += 1
        log_event(
            _log,
            'target_removed',
            target=name,
            revision=item.revision,
            source=source,
        )


def _do_nothing() -> None:
    """Default of `StoreView.on_change`."""
