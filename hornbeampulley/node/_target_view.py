"""The registered targets as known from the items of the store."""

import logging
from collections.abc import Iterable, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._held_removals import REMOVAL_HOLD_MS, HeldRemovals
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._target_items import TargetItems, log_dropped
from hornbeampulley.node.stored import Decoder, Revision, StoredItem
from hornbeampulley.routing import RunStamp, TargetRecord, TargetTable

MASS_LOSS_SHARE: Final = 0.34
MASS_LOSS_COUNT: Final = 2
_log = logging.getLogger(__name__)


class TargetView:
    """Applies items of targets, and holds removals back after an outage.

    Parameters
    ----------
    decoder : Decoder
        Reads the content of the items.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    table : TargetTable
        Registered targets.
    changes : int
        Number of changes so far.
    software_history : SoftwareHistory
        Software versions of the targets.
    held_removals : HeldRemovals
        Removals that do not apply yet.
    """

    def __init__(self, decoder: Decoder, clock: Clock) -> None:
        self.table = TargetTable()
        self.changes = 0
        self.software_history = SoftwareHistory(clock)
        self.held_removals = HeldRemovals(clock)
        self._decoder = decoder
        self._clock = clock
        self._items = TargetItems(clock)

    def apply_read(self, items: list[StoredItem], source: str) -> None:
        """Apply items that were read from the store.

        Parameters
        ----------
        items : list of StoredItem
            Items of targets, in the order of their revisions.
        source : str
            Source of the items, for the log.
        """
        self._detect_mass_loss(items)
        held_ms = self.held_removals.grace_ms
        for item in items:
            self._apply(item, source, held_ms)

    def apply_relayed(
        self, item: StoredItem, source: str, revision: Revision
    ) -> None:
        """Apply an item that a peer has read.

        Parameters
        ----------
        item : StoredItem
            Item of a target; a removal is held back as long as by the peer.
        source : str
            Source of the item, for the log.
        revision : Revision
            Latest revision of the targets that this host has applied.
        """
        is_unknown = self._items.find(item.key) is None
        self._apply(item, source, item.held_ms)
        if is_unknown and not item.is_deleted:
            self._doubt_if_missing(item, revision)

    def list_missing(
        self, present: Iterable[str], revision: Revision
    ) -> list[StoredItem]:
        """List removals of the targets that a full list no longer has.

        Parameters
        ----------
        present : iterable of str
            Keys in the list.
        revision : Revision
            Revision of the list; newer items are kept.

        Returns
        -------
        list of StoredItem
            Their removals.
        """
        return self._items.list_missing(set(present), revision)

    def get_age(self, name: str) -> float:
        """Return the time since the item of a target was received.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        float
            Time in ms; since the start of the clock if nothing is known.
        """
        kept = self._items.find(f'{self._decoder.targets_prefix}{name}')
        taken_ms = kept.taken_ms if kept else 0
        return self._clock.now() - taken_ms

    def list_newer(self, revision: Revision) -> Iterator[StoredItem]:
        """List the items after a revision.

        Parameters
        ----------
        revision : Revision
            Latest revision that is known already.

        Yields
        ------
        StoredItem
            Newer items, including the removals of the last minute with the
            time for which this node still holds them back.
        """
        for item in self._items.list_newer(revision):
            yield self.held_removals.add_time_left(item)

    def apply_overdue_removals(self) -> None:
        """Apply the removals whose time of being held back is over."""
        for item in self.held_removals.pop_due():
            if self._items.is_news(item, None):
                self._items.keep(item, None)
            self._remove(item, 'outage_over')

    def sweep(self) -> None:
        """Delete the records of old removals."""
        self._items.sweep()

    def _doubt_if_missing(self, item: StoredItem, revision: Revision) -> None:
        """Let a target go that a peer knows only from an earlier history.

        The store has come back without it, so it has to write again.
        """
        if item.revision.epoch < revision.epoch:
            removal = StoredItem(item.key, b'', revision, is_deleted=True)
            self.held_removals.hold(removal, REMOVAL_HOLD_MS)

    def _detect_mass_loss(self, items: list[StoredItem]) -> None:
        """Treat the loss of many records at once as an outage of the store."""
        lost = sum(
            item.is_deleted and self._items.is_news(item, None)
            for item in items
        )
        known = len(self.table.records)
        if lost >= MASS_LOSS_COUNT and lost >= known * MASS_LOSS_SHARE:
            log_event(_log, 'outage_suspected', lost=lost, known=known)
            self.held_removals.record_outage(self._clock.now())

    def _apply(
        self,
        item: StoredItem,
        source: str,
        held_ms: float,
    ) -> None:
        kept = self._items.find(item.key)
        if kept is not None and item.revision == kept.item.revision:
            return
        record, stamp = self._read_record(item)
        if not self._items.is_news(item, stamp):
            log_dropped(item, kept.item, source)
            return
        self._items.keep(item, stamp)
        if item.is_deleted and kept is None:
            self.software_history.record_unknown_removal()
        if item.is_deleted:
            self._apply_removal(item, source, held_ms)
        elif record is None:
            self._remove(item, source)
        else:
            self.held_removals.drop(item.key)
            self._apply_record(record, item, source)

    def _read_record(
        self, item: StoredItem
    ) -> tuple[TargetRecord | None, RunStamp | None]:
        if item.is_deleted:
            return None, item.removed_stamp
        record = self._decoder.read_target(item)
        return record, record.stamp if record else None

    def _apply_record(
        self,
        record: TargetRecord,
        item: StoredItem,
        source: str,
    ) -> None:
        if not self.table.put(record):
            return
        self.changes += 1
        known = self.table.records[record.name]
        self.software_history.record(known)
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
            self.held_removals.drop(item.key)
            self._remove(item, source)
            return
        self.held_removals.hold(item, held_ms)
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
        if not self.table.remove(name):
            return
        self.changes += 1
        self.software_history.record_removal(name)
        log_event(
            _log,
            'target_removed',
            target=name,
            revision=item.revision,
            source=source,
        )
