"""Removals of targets that are held back after an outage of the store."""

import dataclasses
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node.stored import StoredItem

# Items that expired during an outage of the store are written again within
# about two seconds of its end, and a target that has left must get no new
# request after two seconds; so removals are held back for a little less.
REMOVAL_HOLD_MS: Final = 1800.0
# The same from the sending of the last call that failed, when the store was still
# away: hosts count as in touch three seconds after its return, and two seconds
# later the removal has to be in force.
LATEST_HOLD_MS: Final = 4600.0


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldRemoval:
    item: StoredItem
    until_ms: float


class HeldRemovals:
    """Keeps removals that do not apply yet, as the target may come back.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, _HeldRemoval] = {}
        self._grace_until_ms = 0.0

    @property
    def grace_ms(self) -> float:
        """Time in ms for which a removal read now is held; 0 if it is not."""
        return max(self._grace_until_ms - self._clock.now(), 0)

    @property
    def is_used(self) -> bool:
        """Whether any removal is held back."""
        return bool(self._held)

    def record_outage(self, away_ms: float) -> None:
        """Hold removals back until `REMOVAL_HOLD_MS` from now at the latest.

        Parameters
        ----------
        away_ms : float
            When the store is known to have been away last.
        """
        self._grace_until_ms = min(
            self._clock.now() + REMOVAL_HOLD_MS,
            away_ms + LATEST_HOLD_MS,
        )

    def hold(self, item: StoredItem, held_ms: float) -> None:
        """Hold a removal back.

        Parameters
        ----------
        item : StoredItem
            The removal.
        held_ms : float
            For how long, in ms.
        """
        until_ms = self._clock.now() + held_ms
        self._held[item.key] = _HeldRemoval(item, until_ms)

    def drop(self, key: str) -> None:
        """Forget a removal, as it was replaced or applied.

        Parameters
        ----------
        key : str
            Key of the item.
        """
        self._held.pop(key, None)

    def pop_due(self) -> list[StoredItem]:
        """Take out the removals whose time is over.

        Returns
        -------
        list of StoredItem
            Removals to apply now.
        """
        now_ms = self._clock.now()
        due = [
            held.item for held in self._held.values() if now_ms >= held.until_ms
        ]
        for item in due:
            self._held.pop(item.key)
        return due

    def add_time_left(self, item: StoredItem) -> StoredItem:
        """Add to an item for a peer how long it is still held back.

        Parameters
        ----------
        item : StoredItem
            Any item.

        Returns
        -------
        StoredItem
            The item itself if it is not held back.
        """
        held = self._held.get(item.key)
        if held is None:
            return item
        left_ms = max(held.until_ms - self._clock.now(), 0)
        return dataclasses.replace(item, held_ms=left_ms)
