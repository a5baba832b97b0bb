"""Interface of a store whose items can be listed and watched."""

import dataclasses
from typing import Protocol

from hornbeampulley.errors import HornbeamError
from hornbeampulley.routing import RoutingTable, TargetRecord


class StoreUnavailableError(HornbeamError):
    """The store did not answer, or answered with an error."""


class HistoryLostError(HornbeamError):
    """The store no longer has the requested changes; list all items again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """One item of the store, or its removal.

    Attributes
    ----------
    key : str
        Key of the item.
    content : bytes
        Content of the item; empty if it was removed.
    revision : int
        Revision of its last change.
    is_deleted : bool
        Whether it was removed.
    held_ms : float
        For a removal received from a peer: time in ms for which the peer
        still holds it back, as the item may come back.
    """

    key: str
    content: bytes
    revision: int
    is_deleted: bool = False
    held_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredChanges:
    """Items returned by a list or watch call.

    Attributes
    ----------
    items : tuple of StoredItem
        Items ordered by key if listed, by revision if watched.
    revision : int
        Revision of the store from which to continue watching.
    """

    items: tuple[StoredItem, ...]
    revision: int


class Store(Protocol):
    """Read-only client of a store."""

    async def list_items(self, prefix: str) -> StoredChanges:
        """List all items whose keys start with a prefix."""

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int,
    ) -> StoredChanges:
        """Wait for changes after a revision; return none on timeout."""


class Decoder(Protocol):
    """Decodes the items of a store."""

    routing_prefix: str
    targets_prefix: str

    def read_routing(self, item: StoredItem) -> RoutingTable | None:
        """Read a routing table; None if the item is not a valid one."""

    def read_target(self, item: StoredItem) -> TargetRecord | None:
        """Read a target's record; None if the item is not a valid one."""

    def read_target_name(self, key: str) -> str:
        """Return the name of the target that a key belongs to."""
