"""Tests of the store readers, in virtual time."""

import json
import random

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.node._reading import make_readers
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import (
    HistoryLostError,
    StoredChanges,
    StoredItem,
    StoreUnavailableError,
)
from hornbeampulley.platform._documents import PlatformDecoder
from tests.stored import at

ENTRY = {
    'service': 'p',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
}


class ScriptedStore:
    """A store whose answers are set by its attributes."""

    def __init__(self):
        self.names = {'a': 1, 'b': 2, 'c': 3}
        self.revision = 3
        self.error = None
        self.lists = 0
        self.watches = 0
        self.removed = []
        self.hangs = False

    async def list_items(self, prefix):
        self.lists += 1
        if self.error:
            raise self.error
        if prefix != 'servers/':
            return StoredChanges((), at(self.revision))
        items = tuple(
            StoredItem(
                f'servers/{name}', json.dumps(ENTRY).encode(), at(revision)
            )
            for name, revision in self.names.items()
        )
        return StoredChanges(items, at(self.revision))

    async def watch(self, prefix, revision, wait_ms):
        self.watches += 1
        if self.hangs:
            await trio.sleep_forever()
        await trio.sleep(0.1)
        if self.error:
            raise self.error
        if prefix != 'servers/':
            return StoredChanges((), at(self.revision))
        removed, self.removed = self.removed, []
        return StoredChanges(tuple(removed), at(self.revision))


def run(mock_run, scenario):
    async def main():
        store = ScriptedStore()
        clock = Clock(trio.current_time)
        store_view = StoreView(PlatformDecoder(), clock)
        readers = make_readers(
            store,
            store_view,
            ('op/config', 'servers/'),
            random.Random(1),
            clock,
        )
        async with trio.open_nursery() as nursery:
            for reader in readers:
                nursery.start_soon(reader.run)
            await trio.sleep(1)
            await scenario(store, store_view, readers)
            nursery.cancel_scope.cancel()

    mock_run(main)


def list_known(store_view):
    return sorted(store_view.targets.records)


def test_lists_once_and_then_watches(mock_run):
    async def scenario(store, store_view, readers):
        assert list_known(store_view) == ['a', 'b', 'c']
        assert store.lists == 2
        assert store.watches > 2

    run(mock_run, scenario)


def test_lists_again_when_history_is_lost(mock_run):
    async def scenario(store, store_view, readers):
        store.names = {'a': 1, 'b': 2, 'd': 9}
        store.revision = 9
        store.error = HistoryLostError('gone; list anew')
        await trio.sleep(0.15)
        store.error = None
        await trio.sleep(1)
        assert list_known(store_view) == ['a', 'b', 'd']

    run(mock_run, scenario)


def test_targets_are_kept_and_calls_limited_in_an_outage(mock_run):
    async def scenario(store, store_view, readers):
        before = store.watches
        store.error = StoreUnavailableError('down; ask later')
        await trio.sleep(10)
        assert list_known(store_view) == ['a', 'b', 'c']
        assert not readers[0].is_reached
        assert store.watches - before < 40

    run(mock_run, scenario)


def test_what_is_still_missing_after_an_outage_is_removed(mock_run):
    async def scenario(store, store_view, readers):
        store.error = StoreUnavailableError('down; ask later')
        await trio.sleep(2)
        store.error = None
        store.removed = [StoredItem('servers/a', b'', at(8), is_deleted=True)]
        await trio.sleep(1.5)
        assert 'a' in list_known(store_view)
        await trio.sleep(1.5)
        store_view.apply_overdue_removals()
        assert list_known(store_view) == ['b', 'c']

    run(mock_run, scenario)


def test_a_call_that_hangs_can_be_cancelled(mock_run):
    async def scenario(store, store_view, readers):
        store.hangs = True
        await trio.sleep(1)
        store.hangs = False
        store.removed = [StoredItem('servers/a', b'', at(8), is_deleted=True)]
        for reader in readers:
            reader.retry_now()
        await trio.sleep(0.5)
        assert list_known(store_view) == ['b', 'c']

    run(mock_run, scenario)


def lose_connection(store, name):
    """Break one call; the next ones tell of a removal."""
    store.names.pop(name)
    store.revision = 9
    store.removed = [
        StoredItem(f'servers/{name}', b'', at(9), is_deleted=True),
    ]
    store.error = StoreUnavailableError('cut; ask again')


# DRAIN: a removal was held back 1.8 s from the moment at which the loss of one
# connection was noticed, though the store had never been away.
def test_a_removal_is_not_held_back_after_the_loss_of_one_connection(mock_run):
    async def scenario(store, store_view, readers):
        lose_connection(store, 'a')
        await trio.sleep(0.1)
        store.error = None
        await trio.sleep(0.4)
        assert list_known(store_view) == ['b', 'c']

    run(mock_run, scenario)


def test_a_removal_is_held_back_after_an_outage_of_the_store(mock_run):
    async def scenario(store, store_view, readers):
        lose_connection(store, 'a')
        await trio.sleep(1.5)
        store.error = None
        await trio.sleep(1)
        assert list_known(store_view) == ['a', 'b', 'c']
        await trio.sleep(1)
        store_view.apply_overdue_removals()
        assert list_known(store_view) == ['b', 'c']

    run(mock_run, scenario)
