"""Tests of how old a host takes its view of the store for, in virtual time."""

import json
import random
import types

import pytest
import trio

from hornbeampulley.clock import Clock
from hornbeampulley.http1 import Request
from hornbeampulley.node._calls import Call, CallError
from hornbeampulley.node._filters import find_route, find_workspace
from hornbeampulley.node._following import StoreFollower
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.dialect import RequestMetadata
from hornbeampulley.node.stored import StoredChanges, StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from standins.metadata import KEY_OF_CONFIG
from tests.nodes import KEY, make_config, make_route
from tests.stored import at, server
from tests.test_node_membership import make

ANSWER_S = 0.004
CALM_S = 60
PAUSE_S = 8
KEY_TEXT = KEY.decode()


class ChangingStore:
    """A store whose answers lie unread while its reader is paused."""

    def __init__(self):
        self.events = []
        self.calls = 0
        self.resumed = trio.Event()
        self.resumed.set()
        self._changed = trio.Event()

    def put(self, key, content):
        revision = at(len(self.events) + 1)
        self.events.append(StoredItem(key, content, revision))
        self._changed.set()
        self._changed = trio.Event()

    def put_config(self, version, *paths, key=KEY_TEXT):
        document = make_config(version)
        document['routes'] += [
            make_route(path, 'idempotent', max_attempts=2) for path in paths
        ]
        for one in document['tenants']:
            one['api_keys'].append(key)
        self.put(KEY_OF_CONFIG, json.dumps(document).encode())

    async def list_items(self, prefix):
        return await self._answer(prefix, 0)

    async def watch(self, prefix, revision, wait_ms):
        with trio.move_on_after(wait_ms / 1000):
            while not self._find(prefix, revision.number):
                await self._changed.wait()
        return await self._answer(prefix, revision.number)

    def _find(self, prefix, number):
        return tuple(
            item for item in self.events[number:] if item.key.startswith(prefix)
        )

    async def _answer(self, prefix, number):
        self.calls += 1
        answer = StoredChanges(self._find(prefix, number), at(len(self.events)))
        await trio.sleep(ANSWER_S)
        await self.resumed.wait()
        return answer


async def get_status(view, path=b'/none/a', key=KEY):
    """Return the status of a refusal; 200 if there is none."""
    home = types.SimpleNamespace(store_view=view)
    metadata = RequestMetadata(b'r1', 'h.example', key)
    call = Call(Request(b'GET', path), metadata, None, 0)
    call.table = view.table
    try:
        await find_route(home, call)
        await find_workspace(home, call)
    except CallError as error:
        return error.status
    return 200


def run(mock_run, scenario):
    """Let one host read a store."""

    async def main():
        store = ChangingStore()
        store.put_config(1)
        store.put('servers/a', server('a', 1).content)
        clock = Clock(trio.current_time)
        view = StoreView(PlatformDecoder(), clock)
        follower = StoreFollower(
            store, view, make(1, clock), None, None, clock, random.Random(2)
        )
        async with trio.open_nursery() as nursery:
            for reader in follower.readers:
                nursery.start_soon(reader.run)
            await trio.sleep(1)
            await scenario(store, view)
            nursery.cancel_scope.cancel()

    mock_run(main)


# DENIED, CONFIG: a host that was paused read an answer of before, took its view
# for fresh and denied a route and a key that had been added meanwhile.
@pytest.mark.parametrize(
    ('path', 'key'), [(b'/new/a', KEY), (b'/look/a', b'new-key')]
)
@pytest.mark.parametrize('before_s', [0.1, 1, 2, 3, 4])
def test_a_host_that_was_paused_does_not_take_an_old_answer_for_a_new_one(
    mock_run, path, key, before_s
):
    async def scenario(store, view):
        await trio.sleep(before_s)
        store.resumed = trio.Event()
        await trio.sleep(PAUSE_S / 2)
        store.put_config(2, 'new', key='new-key')
        await trio.sleep(PAUSE_S / 2)
        store.resumed.set()
        await trio.sleep(ANSWER_S / 4)
        assert await get_status(view, path, key) == 503
        await trio.sleep(1)
        assert await get_status(view, path, key) == 200
        assert await get_status(view) == 404

    run(mock_run, scenario)


# The view of a calm host would look old while the store holds a watch, if each
# answer counted from its question: it would refuse what it can deny.
@pytest.mark.parametrize('change_s', [0.05, 0.3, 1.1, 2.3, 7, CALM_S])
@pytest.mark.parametrize('kind', ['config', 'targets', 'both'])
def test_a_calm_host_always_denies_a_route_that_does_not_exist(
    mock_run, change_s, kind
):
    async def write(store):
        generator = random.Random(kind)
        for version in range(2, 2000):
            await trio.sleep(generator.uniform(0.5, 1.5) * change_s)
            if kind != 'targets':
                store.put_config(version)
            if kind != 'config':
                store.put('servers/a', server('a', version).content)

    async def scenario(store, view):
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write, store)
            for _ in range(CALM_S * 50):
                await trio.sleep(0.02)
                statuses.append(await get_status(view))
            nursery.cancel_scope.cancel()
        assert statuses.count(503) == 0
        assert statuses.count(404) == CALM_S * 50

    run(mock_run, scenario)


def test_a_change_costs_at_most_two_calls(mock_run):
    async def scenario(store, view):
        before = store.calls
        for version in range(2, 12):
            await trio.sleep(5)
            store.put_config(version)
        # Each of both prefixes every two seconds or so without any change.
        assert store.calls - before <= 2 * 50 / 2 + 2 * 10

    run(mock_run, scenario)
