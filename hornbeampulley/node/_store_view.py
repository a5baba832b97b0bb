"""View of routing table and targets at a node.

An item or a routing table is never replaced by an older one.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._evacuations import EVACUATED, Evacuations
from hornbeampulley.node._freshness import Freshness
from hornbeampulley.node._knowledge import GONE, Position, TargetNotice
from hornbeampulley.node._routing_view import RoutingView
from hornbeampulley.node._target_items import TOMBSTONE_MS
from hornbeampulley.node._target_view import TargetView
from hornbeampulley.node.stored import Decoder, Revision, StoredItem
from hornbeampulley.routing import RoutingTable, TargetRecord

PEER: Final = 'peer'
_log = logging.getLogger(__name__)


class StoreView:
    """Applies items of the store, read from the store itself or from peers.

    Parameters
    ----------
    decoder : Decoder
        Reads the content of the items.
    clock : Clock
        Monotonic clock.
    has_evacuations : bool
        Whether operators may evacuate availability zones.

    Attributes
    ----------
    targets : TargetTable
        Registered targets.
    evacuations : Evacuations
        Availability zones whose targets get no requests.
    freshness : Freshness
        How long ago the view is known to have been up to date.
    on_change : callable
        Called after items were applied.
    epoch : int or None
        Latest history of the store that is known; None at first.
    left_position : Position
        Position when the latest history became known.
    is_complete : bool
        False while peers may know what the store no longer tells.
    software_history : SoftwareHistory
        Software versions of the targets.
    """

    def __init__(
        self, decoder: Decoder, clock: Clock, *, has_evacuations: bool = False
    ) -> None:
        self._target_view = TargetView(decoder, clock)
        self.targets = self._target_view.table
        self.software_history = self._target_view.software_history
        self.evacuations = Evacuations(
            decoder, clock, is_enabled=has_evacuations
        )
        self.freshness = Freshness(clock)
        self.on_change: Callable[[], None] = _do_nothing
        self.epoch: int | None = None
        self.left_position = Position()
        self.is_complete = True
        self._decoder = decoder
        self._clock = clock
        self._routing = RoutingView(decoder, clock)
        self._routing_revision = Revision()
        self._targets_revision = Revision()
        self._operators_changes = 0

    @property
    def changes(self) -> int:
        """Number of changes of table, targets and evacuations so far."""
        return self._operators_changes + self._target_view.changes

    @property
    def table(self) -> RoutingTable | None:
        """Routing table in force; None before one was read."""
        return self._routing.table

    @property
    def table_ms(self) -> float:
        """Time when the routing table came into force, in ms."""
        return self._routing.taken_ms

    @property
    def prefixes(self) -> tuple[str, str]:
        """Key prefixes of the operators' items and of the targets."""
        decoder = self._decoder
        if self.evacuations.is_enabled:
            return decoder.operators_prefix, decoder.targets_prefix
        return decoder.routing_prefix, decoder.targets_prefix

    @property
    def position(self) -> Position:
        """How much of the store was applied."""
        return Position(
            self._routing_revision,
            self._targets_revision,
            self._routing.version,
        )

    def advance_position(self, position: Position) -> None:
        """Advance to a position, all items up to which were applied.

        Parameters
        ----------
        position : Position
            Position of a peer that has sent all its newer items.
        """
        newest = max(position.routing, position.targets)
        if newest > Revision():
            self._enter_epoch(newest.epoch)
        if self.freshness.age_ms > TOMBSTONE_MS:
            # Peers have forgotten what was removed before.
            self.software_history.restart()
        self._advance(position.routing, position.targets)
        self.software_history.begin()

    @property
    def holds_removals(self) -> bool:
        """Whether any removal is held back."""
        return self._target_view.held_removals.is_used

    def record_outage(self, away_ms: float) -> None:
        """Hold removals back for a while, as expired items may come back.

        Parameters
        ----------
        away_ms : float
            When the store is known to have been away last.
        """
        self._target_view.held_removals.record_outage(away_ms)

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
        if known:
            self._enter_epoch(known[-1].revision.epoch)
        targets: list[StoredItem] = []
        for item in known:
            if self._is_operators(item):
                self._apply_operators(item, source)
                self._advance(item.revision, Revision())
            else:
                targets.append(item)
        self._target_view.apply_read(targets, source)
        for target in targets:
            self._advance(Revision(), target.revision)
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
            if not self._is_known_key(item.key):
                continue
            if self._is_operators(item):
                self._apply_operators(item, PEER)
            else:
                self._target_view.apply_relayed(
                    item, PEER, self._targets_revision
                )
        self.on_change()

    def replace_operators_items(
        self,
        items: Iterable[StoredItem],
        revision: Revision,
        source: str,
    ) -> None:
        """Apply a full list of the routing table and the evacuations.

        Parameters
        ----------
        items : iterable of StoredItem
            All items of the operators in the store.
        revision : Revision
            Revision of the list; newer items are kept. Changes after it are
            watched next, and would advance the position too early.
        source : str
            Source of the list, for the log.
        """
        listed = tuple(items)
        if self.evacuations.is_enabled:
            self._enter_epoch(revision.epoch)
            present = {item.key for item in listed}
            removed = self.evacuations.list_missing(present, revision)
            listed = (
                *(item for item in listed if item.revision <= revision),
                *removed,
            )
        self.apply_items(listed, source)

    def replace_targets(
        self,
        items: Iterable[StoredItem],
        revision: Revision,
        source: str,
    ) -> None:
        """Apply a full list of the targets; those not listed are removed.

        Parameters
        ----------
        items : iterable of StoredItem
            All items of targets in the store.
        revision : Revision
            Revision of the list; newer items are kept.
        source : str
            Source of the list, for the log.
        """
        self._enter_epoch(revision.epoch)
        listed = tuple(items)
        present = {item.key for item in listed}
        removed = self._target_view.list_missing(present, revision)
        # What came and left before is not in the list.
        self.software_history.restart()
        self.apply_items((*listed, *removed), source)
        # An empty list too tells that the history is known.
        self._advance(Revision(), Revision(revision.epoch))

    def find_target(self, name: str) -> TargetRecord | None:
        """Return what is known of a target.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        TargetRecord or None
            None if it is not registered.
        """
        return self.targets.records.get(name)

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
        if is_same_run and known.availability_zone in self.evacuations.zones:
            state = EVACUATED
        return TargetNotice(
            state,
            self._target_view.get_age(record.name),
            self.freshness.age_ms,
        )

    def find_cold_end(self, record: TargetRecord, cold_ms: float) -> float:
        """Return until when a target is known to be cold.

        Parameters
        ----------
        record : TargetRecord
            Record of the target.
        cold_ms : float
            Time in ms for which a target of its pool is cold after a start;
            after an evacuation of its zone it is taken for one that started.

        Returns
        -------
        float
            Time in ms.
        """
        taken_ms = self._clock.now() - self._target_view.get_age(record.name)
        ended_ms = self.evacuations.find_end(record.availability_zone)
        return max(taken_ms + record.cold_ms, ended_ms + cold_ms)

    def list_closed(self) -> frozenset[str]:
        """List the targets that get no new requests.

        Returns
        -------
        frozenset of str
            Names of the draining targets, and of those in evacuated zones.
        """
        evacuated = self.evacuations.list_targets(self.targets.records.values())
        return self.targets.list_draining() | evacuated

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
        # A host that starts must know the evacuations before the targets.
        yield from self.evacuations.list_newer(position.routing)
        table_item = self._routing.find_newer(position)
        if table_item is not None:
            yield table_item
        yield from self._target_view.list_newer(position.targets)

    def apply_overdue_removals(self) -> None:
        """Apply the removals whose time of being held back is over."""
        self._target_view.apply_overdue_removals()

    def sweep(self) -> None:
        """Delete the records of old removals."""
        self._target_view.sweep()

    def _is_known_key(self, key: str) -> bool:
        """Tell other keys apart that begin like that of the routing table."""
        is_target = key.startswith(self._decoder.targets_prefix)
        return is_target or self._is_operators_key(key)

    def _is_operators(self, item: StoredItem) -> bool:
        return self._is_operators_key(item.key)

    def _is_operators_key(self, key: str) -> bool:
        is_routing = key == self._decoder.routing_prefix
        return is_routing or self.evacuations.is_key(key)

    def _advance(self, routing: Revision, targets: Revision) -> None:
        self._routing_revision = max(self._routing_revision, routing)
        self._targets_revision = max(self._targets_revision, targets)

    def _enter_epoch(self, epoch: int) -> None:
        """Hold removals back if the store has come back from a copy.

        What the copy lacks is written again, if it still holds.
        """
        known = self.epoch
        if known is not None and epoch <= known:
            return
        self.epoch = epoch
        self.left_position = self.position
        if known is not None:
            log_event(_log, 'store_restored', epoch=epoch, known=known)
            self.software_history.restart()
            self.record_outage(self._clock.now())

    def _apply_operators(self, item: StoredItem, source: str) -> None:
        view = self._routing
        if self.evacuations.is_key(item.key):
            view = self.evacuations
        if view.apply(item, source):
            self._operators_changes += 1


def _do_nothing() -> None:
    """Default of `StoreView.on_change`."""
