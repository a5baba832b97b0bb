"""Items of a store that can be listed and watched."""

import dataclasses
from typing import Protocol

from hornbeampulley.errors import HornbeamError
from hornbeampulley.routing import RoutingTable, TargetRecord


class StoreUnavailableError(HornbeamError):
    """The store did not answer, or refused to."""


class HistoryLostError(HornbeamError):
    """The store no longer has the changes asked for; list all items anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """One item, or word of its removal.

    Attributes
    ----------
    key : str
        Its name.
    content : bytes
        What it holds; empty if it was removed.
    revision : int
        Its last change.
    is_deleted : bool
        Whether it was removed.
    held_ms : float
        If a peer told of the removal: how long the peer still waits for the
        item to come back.
    """

    key: str
    content: bytes
    revision: int
    is_deleted: bool = False
    held_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredChanges:
    """Items that a store returned.

    Attributes
    ----------
    items : tuple of StoredItem
        In order of their keys if listed, of their revisions if watched.
    revision : int
        Revision of the store from which to watch on.
    """

    items: tuple[StoredItem, ...]
    revision: int


class Store(Protocol):
    """A store that can only be read."""

    async def list_items(self, prefix: str) -> StoredChanges:
        """List all items whose keys start with a prefix."""

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int,
    ) -> StoredChanges:
        """Wait for changes after a revision; may return none."""


class Decoder(Protocol):
    """Reads what the items of a store say."""

    routing_prefix: str
    targets_prefix: str

    def read_routing(self, item: StoredItem) -> RoutingTable | None:
        """Read a routing table; None if the item holds none."""

    def read_target(self, item: StoredItem) -> TargetRecord | None:
        """Read a target's record; None if the item holds none."""

    def read_target_name(self, key: str) -> str:
        """Return the name of the target that a key belongs to."""
