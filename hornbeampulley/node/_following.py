"""Keeps the view of the store up to date: own readers, or peers that read."""

import random
from collections.abc import Callable

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.node._catch_up import CatchUp
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._mesh import Mesh
from hornbeampulley.node._peer_sync import PeerSync
from hornbeampulley.node._positions import PeerPositions
from hornbeampulley.node._reader_election import ReaderElection
from hornbeampulley.node._reading import (
    CHOSEN_READER_WAIT_MS,
    WAIT_MS,
    make_readers,
)
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import Store


class StoreFollower:
    """Reads the store where this host has to, and fetches from peers.

    Parameters
    ----------
    store : Store
        Client of the store.
    store_view : StoreView
        Receives what is read.
    membership : Membership
        Live nodes.
    mesh : Mesh
        Links to the other nodes.
    request_items : callable
        Called with a link to request newer items on it; a position may follow.
    clock : Clock
        Monotonic clock.
    generator : random.Random
        Spreads the calls of the hosts.

    Attributes
    ----------
    readers : tuple of PrefixReader
        One reader for each prefix.
    positions : PeerPositions
        Which peers are ahead.
    peer_sync : PeerSync
        Asks a peer for what the store no longer tells.
    """

    def __init__(
        self,
        store: Store,
        store_view: StoreView,
        membership: Membership,
        mesh: Mesh,
        request_items: Callable[..., None],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.positions = PeerPositions(store_view, clock)
        self.positions.on_ahead = self.fetch_newer
        self._freshness = store_view.freshness
        self.readers = make_readers(
            store, store_view, store_view.prefixes, generator, clock
        )
        for reader in self.readers:
            reader.on_answer = self._confirm_view
        self._election = ReaderElection(
            membership, self._freshness, clock, generator
        )
        self._catch_up = CatchUp(
            membership, mesh, self.positions, request_items, clock
        )
        self.peer_sync = PeerSync(
            membership, mesh, store_view, request_items, clock, generator
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the readers; they read once this host has to.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs their tasks.
        """
        for reader in self.readers:
            reader.set_active(is_active=False)
            nursery.start_soon(reader.run)

    def sweep(self) -> None:
        """Decide whether to read, and fetch what peers have read."""
        is_reader = self._election.is_reader()
        self._catch_up.is_reader = is_reader
        reads_everywhere = self._election.reads_everywhere
        for reader in self.readers:
            reader.wait_ms = (
                WAIT_MS if reads_everywhere else CHOSEN_READER_WAIT_MS
            )
            reader.set_active(is_active=is_reader)
        self.fetch_newer()

    def fetch_newer(self) -> None:
        """Request items from a peer that is ahead in reading the store."""
        self.peer_sync.run()
        if self._catch_up.run() and self._catch_up.is_reader:
            for reader in self.readers:
                reader.retry_now()

    def _confirm_view(self) -> None:
        """Record that the view is up to date, if both readers know that."""
        if all(one.is_reached for one in self.readers):
            self._freshness.confirm(
                min(one.confirmed_ms for one in self.readers)
            )
