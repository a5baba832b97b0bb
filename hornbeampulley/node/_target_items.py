"""Latest item of each target, out of all histories of the store."""

import dataclasses
import logging
from collections.abc import Collection, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node.stored import Revision, StoredItem
from hornbeampulley.routing import RunStamp

TOMBSTONE_MS: Final = 60_000.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class KeptItem:
    """An item, and what is known of the target that wrote it.

    Attributes
    ----------
    item : StoredItem
        The item.
    taken_ms : float
        When it was received, in ms.
    stamp : RunStamp or None
        Stamp of its record, or of the record that it has removed; None if it
        is not known.
    """

    item: StoredItem
    taken_ms: float
    stamp: RunStamp | None


class TargetItems:
    """Keeps for each key the item that says most lately what a target is.

    Within one history of the store the revision decides. A later history
    begins with old items out of a copy; so an item of it replaces what is known
    from an earlier history only if the target has written it afterwards.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[str, KeptItem] = {}

    def find(self, key: str) -> KeptItem | None:
        """Return what is kept under a key.

        Parameters
        ----------
        key : str
            Key of an item.

        Returns
        -------
        KeptItem or None
            None if nothing is known of it.
        """
        return self._kept.get(key)

    def is_news(self, item: StoredItem, stamp: RunStamp | None) -> bool:
        """Tell whether an item says more lately what a target is.

        Parameters
        ----------
        item : StoredItem
            Received item.
        stamp : RunStamp or None
            Stamp of its record; None for removals and where it is not known.

        Returns
        -------
        bool
            False if what is kept holds.
        """
        kept = self._kept.get(item.key)
        if kept is None:
            return True
        own, other = kept.item.revision, item.revision
        if own.epoch == other.epoch:
            return other > own
        if other.epoch > own.epoch:
            return _overrules(item, stamp, kept)
        return not _overrules(
            kept.item, kept.stamp, KeptItem(item, 0, stamp or kept.stamp)
        )

    def keep(self, item: StoredItem, stamp: RunStamp | None) -> None:
        """Keep an item in place of an earlier one.

        Parameters
        ----------
        item : StoredItem
            The item.
        stamp : RunStamp or None
            Stamp of its record; None for removals and where it is not known.
        """
        if item.is_deleted:
            stamp = item.removed_stamp or self._find_stamp(item.key)
            item = dataclasses.replace(item, removed_stamp=stamp)
        self._kept[item.key] = KeptItem(item, self._clock.now(), stamp)

    def list_missing(
        self, present: Collection[str], revision: Revision
    ) -> list[StoredItem]:
        """List removals of the items that a full list no longer has.

        Parameters
        ----------
        present : collection of str
            Keys in the list.
        revision : Revision
            Revision of the list; newer items are kept.

        Returns
        -------
        list of StoredItem
            Their removals.
        """
        return [
            StoredItem(key, b'', revision, is_deleted=True)
            for key, kept in self._kept.items()
            if key not in present
            and not kept.item.is_deleted
            and kept.item.revision <= revision
        ]

    def list_newer(self, revision: Revision) -> Iterator[StoredItem]:
        """List the items after a revision.

        Parameters
        ----------
        revision : Revision
            Latest revision that is known already.

        Yields
        ------
        StoredItem
            Newer items and the removals of the last minute.
        """
        for kept in self._kept.values():
            if kept.item.revision > revision:
                yield kept.item

    def sweep(self) -> None:
        """Drop old removals."""
        oldest_ms = self._clock.now() - TOMBSTONE_MS
        expired = [
            key
            for key, kept in self._kept.items()
            if kept.item.is_deleted and kept.taken_ms < oldest_ms
        ]
        for key in expired:
            self._kept.pop(key)

    def _find_stamp(self, key: str) -> RunStamp | None:
        kept = self._kept.get(key)
        return kept.stamp if kept else None


def _overrules(
    later: StoredItem, stamp: RunStamp | None, earlier: KeptItem
) -> bool:
    """Tell whether an item of a later history holds against an earlier one."""
    if later.is_deleted or stamp is None or earlier.stamp is None:
        return True
    if stamp == earlier.stamp:
        is_same = later.content == earlier.item.content
        return not (is_same or earlier.item.is_deleted)
    return stamp > earlier.stamp


def log_dropped(item: StoredItem, known: StoredItem, source: str) -> None:
    """Log that an item was ignored, as a later one is known.

    Parameters
    ----------
    item : StoredItem
        Received item.
    known : StoredItem
        The later one.
    source : str
        Source of the received item.
    """
    if item.revision == known.revision or item.content == known.content:
        return
    log_event(
        _log,
        'item_dropped',
        key=item.key,
        revision=item.revision,
        known=known.revision,
        source=source,
    )
