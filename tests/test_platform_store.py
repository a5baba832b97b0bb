"""Tests of the store client against the stand-in for the store."""

import pytest
import trio

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._reading import CHOSEN_READER_WAIT_MS
from hornbeampulley.node.stored import HistoryLostError, StoreUnavailableError
from hornbeampulley.platform._store import StoreClient
from standins.metadata import MetadataStore
from tests.nodes import STORE_PORT, Fleet

# The shortest time without disruption after which a host counts as in touch, on
# all deployments that the users describe.
STABLE_WINDOW_MS = 3000


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
        assert changes.revision == store.revision

    run(scenario)


def test_a_watch_returns_changes_and_removals():
    async def scenario(store, client):
        store.put('servers/a', {})
        since = store.revision
        store.put('servers/b', {})
        store.delete('servers/a')
        changes = await client.watch('servers/', since, 1000)
        assert [item.is_deleted for item in changes.items] == [False, True]
        assert changes.items[0].content == b'{}'

    run(scenario)


def test_a_watch_without_changes_ends():
    async def scenario(store, client):
        changes = await client.watch('servers/', store.revision, 100)
        assert changes.items == ()

    run(scenario)


def test_lost_history_is_reported():
    async def scenario(store, client):
        store.forgotten = 5
        with pytest.raises(HistoryLostError):
            await client.watch('servers/', 1, 100)

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


class SilentConnection:
    """A connection on which nothing comes back."""

    async def send(self, request):
        await trio.lowlevel.checkpoint()

    async def read_head(self):
        await trio.sleep_forever()

    def close(self):
        """Do nothing."""


class SilentPool:
    """Hands out connections on which nothing comes back."""

    async def acquire(self, name, endpoint):
        return SilentConnection()


# CONFIG: where few hosts read, the answers to all of them were lost, and none
# asked again before its call had timed out.
@pytest.mark.parametrize('kind', ['list', 'watch'])
def test_a_chosen_reader_asks_again_while_it_counts_as_out_of_touch(
    mock_run, kind
):
    async def main():
        clock = Clock(trio.current_time)
        started_ms = clock.now()
        client = StoreClient(Endpoint('10.0.0.1', 1), clock)
        client._pool = SilentPool()
        calls = {
            'list': lambda: client.list_items('servers/'),
            'watch': lambda: client.watch('servers/', 1, CHOSEN_READER_WAIT_MS),
        }
        with pytest.raises(StoreUnavailableError):
            await calls[kind]()
        return clock.now() - started_ms

    assert mock_run(main) < STABLE_WINDOW_MS
