"""Interface of a store whose items can be listed and watched."""

import dataclasses
from typing import Protocol

from hornbeampulley.errors import HornbeamError
from hornbeampulley.routing import RoutingTable, RunStamp, TargetRecord


class StoreUnavailableError(HornbeamError):
    """The store did not answer, or answered with an error."""


class HistoryLostError(HornbeamError):
    """The store no longer has the requested changes; list all items again."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Revision of the store, which counts within one of its histories.

    A store that comes back from an older copy begins a new history, in which
    it gives out numbers again.

    Attributes
    ----------
    epoch : int
        Number of the history; a later history has a higher one.
    number : int
        Number of the change within it.
    """

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return both numbers, for logs."""
        return f'{self.epoch}/{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """One item of the store, or its removal.

    Attributes
    ----------
    key : str
        Key of the item.
    content : bytes
        Content of the item; empty if it was removed.
    revision : Revision
        Revision of its last change.
    is_deleted : bool
        Whether it was removed.
    held_ms : float
        For a removal received from a peer: time in ms for which the peer
        still holds it back, as the item may come back.
    removed_stamp : RunStamp or None
        For a removal received from a peer: stamp of the record that was
        removed; None if it is not known. For the removal of an evacuation:
        history and number of the item that was removed.
    """

    key: str
    content: bytes
    revision: Revision
    is_deleted: bool = False
    held_ms: float = 0
    removed_stamp: RunStamp | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredChanges:
    """Items returned by a list or watch call.

    Attributes
    ----------
    items : tuple of StoredItem
        Items ordered by key if listed, by revision if watched.
    revision : Revision
        Revision of the store from which to continue watching.
    """

    items: tuple[StoredItem, ...]
    revision: Revision


class Store(Protocol):
    """Read-only client of a store."""

    async def list_items(self, prefix: str) -> StoredChanges:
        """List all items whose keys start with a prefix."""

    async def watch(
        self,
        prefix: str,
        revision: Revision,
        wait_ms: int,
    ) -> StoredChanges:
        """Wait for changes after a revision; return none on timeout."""


class Decoder(Protocol):
    """Decodes the items of a store."""

    routing_prefix: str
    targets_prefix: str
    # All items of the operators: the routing table and the evacuations.
    operators_prefix: str
    evacuations_prefix: str

    def read_routing(self, item: StoredItem) -> RoutingTable | None:
        """Read a routing table; None if the item is not a valid one."""

    def read_evacuated_zone(self, item: StoredItem) -> str:
        """Return the zone that an item evacuates; empty if it names none."""

    def read_target(self, item: StoredItem) -> TargetRecord | None:
        """Read a target's record; None if the item is not a valid one."""

    def read_target_name(self, key: str) -> str:
        """Return the name of the target that a key belongs to."""
