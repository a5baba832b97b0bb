"""Tests of the store client against the stand-in for the store."""

import pytest
import trio

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node.stored import HistoryLostError, StoreUnavailableError
from hornbeampulley.platform._store import StoreClient
from standins.metadata import MetadataStore
from tests.nodes import STORE_PORT, Fleet
from tests.stored import at


def run(scenario):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery)
                store = MetadataStore()
                place = Endpoint(fleet.address(1), STORE_PORT)
                nursery.start_soon(store.serve, place.address, place.port)
                await trio.sleep(0.05)
                client = StoreClient(place, Clock(trio.current_time))
                await scenario(store, client)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_all_pages_are_read():
    async def scenario(store, client):
        for number in range(5):
            store.put(f'servers/{number}', {'number': number})
        store.put('other', {})
        changes = await client.list_items('servers/')
        assert len(changes.items) == 5
        assert changes.revision == at(store.revision, 1)

    run(scenario)


def test_a_watch_returns_changes_and_removals():
    async def scenario(store, client):
        store.put('servers/a', {})
        since = at(store.revision, 1)
        store.put('servers/b', {})
        store.delete('servers/a')
        changes = await client.watch('servers/', since, 1000)
        assert [item.is_deleted for item in changes.items] == [False, True]
        assert changes.items[0].content == b'{}'

    run(scenario)


def test_a_watch_without_changes_ends():
    async def scenario(store, client):
        changes = await client.watch('servers/', at(store.revision, 1), 100)
        assert changes.items == ()

    run(scenario)


def test_lost_history_is_reported():
    async def scenario(store, client):
        store.forgotten = 5
        with pytest.raises(HistoryLostError):
            await client.watch('servers/', at(1, 1), 100)

    run(scenario)


def test_a_refusal_is_reported():
    async def scenario(store, client):
        store.is_down = True
        with pytest.raises(StoreUnavailableError):
            await client.list_items('servers/')

    run(scenario)


def test_an_unreachable_store_is_reported():
    async def scenario(store, client):
        client._endpoint = Endpoint('127.0.0.1', 1)
        with pytest.raises(StoreUnavailableError):
            await client.list_items('servers/')

    run(scenario)


# Operators' point: hosts stopped following the list for one odd entry.
@pytest.mark.parametrize('value', ['%%%', 5, None, 'not base64'])
def test_an_item_that_can_not_be_read_does_not_hold_up_the_others(value):
    async def scenario(store, client):
        since = at(store.revision, 1)
        for name in ('a', 'b', 'c', 'd'):
            store.put(f'servers/{name}', {})
        store._items['servers/b']['value'] = value
        listed = await client.list_items('servers/')
        changed = await client.watch('servers/', since, 1000)
        for changes in (listed, changed):
            names = [item.key for item in changes.items]
            assert names == ['servers/a', 'servers/c', 'servers/d']
            assert changes.revision == at(store.revision, 1)

    run(scenario)
