"""Evacuated availability zones, whose targets get no requests."""

import dataclasses
import logging
import math
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._membership import NodeAddress
from hornbeampulley.node.stored import Decoder, Revision, StoredItem
from hornbeampulley.routing import RunStamp, TargetRecord

# Time after which targets and hosts of a zone are known, if it has any.
ZONE_CHECK_MS: Final = 2000.0
EVACUATED: Final = 'evacuated'
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Evacuation:
    """Latest item of a zone; a removal is kept, as a copy may lack it."""

    zone: str
    item: StoredItem
    taken_ms: float


class Evacuations:
    """Keeps which zones are evacuated, out of all histories of the store.

    The key of an item is sufficient; its content does not matter. Only a removal
    ends an evacuation: that a later history of the store lacks the item does not,
    since the copy may have been made before it was written. An item that was
    removed and is back in a later history under its old number is out of the
    copy, and does not begin the evacuation again.

    Parameters
    ----------
    decoder : Decoder
        Reads the keys and the content of the items.
    clock : Clock
        Monotonic clock.
    is_enabled : bool
        Whether the deployment uses evacuations.

    Attributes
    ----------
    is_enabled : bool
        Whether the deployment uses evacuations.
    zones : frozenset of str
        The evacuated availability zones.
    """

    def __init__(
        self, decoder: Decoder, clock: Clock, *, is_enabled: bool
    ) -> None:
        self.is_enabled = is_enabled
        self.zones: frozenset[str] = frozenset()
        self._decoder = decoder
        self._clock = clock
        self._kept: dict[str, _Evacuation] = {}
        self._unchecked: set[str] = set()
        # Histories of the store of which it was logged that they lack an item.
        self._lacking: dict[str, int] = {}

    def is_key(self, key: str) -> bool:
        """Tell whether a key is that of an evacuation.

        Parameters
        ----------
        key : str
            Any key of the store.

        Returns
        -------
        bool
            Always False if evacuations are not enabled.
        """
        return self.is_enabled and key.startswith(
            self._decoder.evacuations_prefix
        )

    def apply(self, item: StoredItem, source: str) -> bool:
        """Apply an item, unless what is known of its zone is more recent.

        Parameters
        ----------
        item : StoredItem
            Item of a zone, or its removal.
        source : str
            Source of the item, for the log.

        Returns
        -------
        bool
            Whether the set of evacuated zones has changed.
        """
        kept = self._kept.get(item.key)
        if kept is not None and not _is_news(item, kept.item):
            return False
        zone = self._decoder.read_evacuated_zone(item)
        if not zone:
            return False
        if item.is_deleted and kept is not None:
            item = _add_removed(item, kept.item)
        self._kept[item.key] = _Evacuation(zone, item, self._clock.now())
        return self._update(zone, item, source)

    def list_missing(
        self, present: Collection[str], revision: Revision
    ) -> list[StoredItem]:
        """List removals of the items that a full list no longer has.

        Parameters
        ----------
        present : collection of str
            Keys in the list.
        revision : Revision
            Revision of the list; newer items are kept, and so are those of an
            earlier history.

        Returns
        -------
        list of StoredItem
            Their removals.
        """
        missing = [
            kept
            for key, kept in self._kept.items()
            if key not in present
            and not kept.item.is_deleted
            and kept.item.revision <= revision
        ]
        removed: list[StoredItem] = []
        for kept in missing:
            key = kept.item.key
            if kept.item.revision.epoch == revision.epoch:
                removed.append(StoredItem(key, b'', revision, is_deleted=True))
            else:
                self._warn_of_lack(kept, revision)
        return removed

    def list_newer(self, revision: Revision) -> Iterator[StoredItem]:
        """List the items that a peer at a revision may not know.

        Parameters
        ----------
        revision : Revision
            Latest revision of the operators' items that it has applied.

        Yields
        ------
        StoredItem
            Newer items and removals, and those of earlier histories, which a
            peer that has read only a later one does not know.
        """
        for kept in self._kept.values():
            own = kept.item.revision
            if own > revision or own.epoch < revision.epoch:
                yield kept.item

    def list_targets(self, records: Iterable[TargetRecord]) -> frozenset[str]:
        """List the targets that get no requests.

        Parameters
        ----------
        records : iterable of TargetRecord
            Registered targets.

        Returns
        -------
        frozenset of str
            Names of those in evacuated zones.
        """
        return frozenset(
            record.name
            for record in records
            if record.availability_zone in self.zones
        )

    def find_end(self, zone: str) -> float:
        """Return when the last evacuation of a zone ended.

        Parameters
        ----------
        zone : str
            Name of an availability zone.

        Returns
        -------
        float
            Time in ms when this host learned of it; minus infinity if none has
            ended.
        """
        return max(
            (
                kept.taken_ms
                for kept in self._kept.values()
                if kept.zone == zone and kept.item.is_deleted
            ),
            default=-math.inf,
        )

    def warn_of_unknown_zones(
        self, nodes: Iterable[NodeAddress], records: Iterable[TargetRecord]
    ) -> None:
        """Log evacuations of zones in which there is nothing, once each.

        Parameters
        ----------
        nodes : iterable of NodeAddress
            Live nodes.
        records : iterable of TargetRecord
            Registered targets.
        """
        due_ms = self._clock.now() - ZONE_CHECK_MS
        due = [
            kept
            for kept in self._kept.values()
            if kept.zone in self._unchecked and kept.taken_ms <= due_ms
        ]
        if not due:
            return
        known = {one.availability_zone for one in (*nodes, *records)}
        for kept in due:
            self._unchecked.discard(kept.zone)
            if kept.zone not in known:
                _warn_of_unknown_zone(kept)

    def _update(self, zone: str, item: StoredItem, source: str) -> bool:
        is_evacuated = not item.is_deleted
        if is_evacuated == (zone in self.zones):
            return False
        if is_evacuated:
            self.zones |= {zone}
            self._unchecked.add(zone)
        else:
            self.zones -= {zone}
            self._unchecked.discard(zone)
        log_event(
            _log,
            'evacuation_began' if is_evacuated else 'evacuation_ended',
            zone=zone,
            revision=item.revision,
            source=source,
        )
        return True

    def _warn_of_lack(self, kept: _Evacuation, revision: Revision) -> None:
        key = kept.item.key
        if self._lacking.get(key) == revision.epoch:
            return
        self._lacking[key] = revision.epoch
        log_event(
            _log,
            'evacuation_unconfirmed',
            severity=logging.WARNING,
            zone=kept.zone,
            revision=kept.item.revision,
            store=revision,
            remedy=f'the store came back without {key}, and the zone stays '
            'evacuated; write the item again, or write and remove it to end '
            'the evacuation',
        )


def _is_news(item: StoredItem, kept: StoredItem) -> bool:
    """Tell whether an item replaces the one that is kept of its zone."""
    if item.revision.epoch == kept.revision.epoch:
        return _rank(item) > _rank(kept)
    if item.revision.epoch > kept.revision.epoch:
        return not _is_copy(item, kept)
    return _is_copy(kept, item)


def _rank(item: StoredItem) -> tuple[Revision, bool]:
    """Rank a removal higher if it tells which item it has removed."""
    return item.revision, item.removed_stamp is not None


def _is_copy(later: StoredItem, earlier: StoredItem) -> bool:
    """Tell whether a later history has an item that was removed before."""
    removed = earlier.removed_stamp
    return (
        earlier.is_deleted
        and not later.is_deleted
        and removed is not None
        and removed.sequence == later.revision.number
    )


def _add_removed(removal: StoredItem, kept: StoredItem) -> StoredItem:
    """Add to a removal the revision of the item that it has removed."""
    known = kept.removed_stamp
    if not kept.is_deleted:
        known = RunStamp(kept.revision.epoch, kept.revision.number)
    removed = removal.removed_stamp or known
    return dataclasses.replace(removal, removed_stamp=removed)


def _warn_of_unknown_zone(kept: _Evacuation) -> None:
    log_event(
        _log,
        'evacuation_of_unknown_zone',
        severity=logging.WARNING,
        zone=kept.zone,
        key=kept.item.key,
        remedy='no target and no host is in this zone; check its name, and '
        'remove the item if it is wrong',
    )
