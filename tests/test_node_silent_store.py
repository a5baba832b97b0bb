"""Tests of reading from a store that goes silent, in virtual time."""

import base64
import json
import random
from urllib.parse import parse_qs, urlsplit

import pytest
import trio

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import ResponseHead
from hornbeampulley.node._reading import make_readers
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.platform._store import StoreClient
from tests.nodes import make_config
from tests.stores import Pool

# The users' bounds: after a disturbance of the store hosts count as in touch
# again, and then a change has to be in force.
STABLE_S = 3.0
APPLY_S = 2.0
SILENCE_S = 5.0
# Moments at which the store is back, relative to the calls of a host.
RETURNS_S = [6 + one / 4 for one in range(60)]
ENTRY = {
    'service': 'p',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
}


class SilentStore:
    """A store that answers nobody for a while; it writes its own changes."""

    def __init__(self, returns_s):
        self.returns_s = returns_s
        self.items = {}
        self.revision = 1
        self.calls = 0
        self.changed = trio.Event()

    @property
    def is_silent(self):
        since_s = trio.current_time() - (self.returns_s - SILENCE_S)
        return 0 <= since_s < SILENCE_S

    def put(self, key, document):
        self.revision += 1
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(json.dumps(document).encode()).decode(),
            'revision': self.revision,
        }
        self.changed.set()
        self.changed = trio.Event()

    def delete(self, key):
        self.revision += 1
        self.items[key] = {
            'key': key,
            'revision': self.revision,
            'deleted': True,
        }
        self.changed.set()
        self.changed = trio.Event()

    def list_after(self, prefix, revision):
        return [
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item['revision'] > revision
        ]


class Channel:
    """A connection to the store; once a response is lost it stays mute."""

    def __init__(self, store):
        self._store = store
        self._query = {}
        self._path = ''

    async def send(self, request):
        url = urlsplit(request.target.decode())
        self._path = url.path
        self._query = {
            name: texts[0] for name, texts in parse_qs(url.query).items()
        }
        self._store.calls += 1

    async def read_head(self):
        await self._stay_mute_if_silent()
        if self._path == '/-/kv-watch':
            await self._wait()
        await self._stay_mute_if_silent()
        return ResponseHead(200, ())

    async def read_full_body(self, _max_bytes):
        store = self._store
        after = int(self._query.get('after', 0))
        items = store.list_after(self._query['prefix'], after)
        field = 'events' if self._path == '/-/kv-watch' else 'items'
        answer = {
            field: items,
            'store_revision': store.revision,
            'has_more': False,
        }
        return json.dumps(answer).encode()

    def close(self):
        """Nothing to close."""

    async def _wait(self):
        store = self._store
        prefix, after = self._query['prefix'], int(self._query['after'])
        with trio.move_on_after(int(self._query['wait_ms']) / 1000):
            while not store.list_after(prefix, after):
                await store.changed.wait()

    async def _stay_mute_if_silent(self):
        await trio.sleep(0.004)
        if self._store.is_silent:
            await trio.sleep_forever()


def run(mock_run, returns_s, scenario):
    """Read a store that was silent until some moment."""

    async def main():
        store = SilentStore(returns_s)
        store.put('op/config', make_config(1))
        store.put('servers/a', ENTRY)
        clock = Clock(trio.current_time)
        client = StoreClient(Endpoint('10.0.0.9', 1), clock)
        client._pool = Pool(store, Channel)
        view = StoreView(PlatformDecoder(), clock)
        readers = make_readers(
            client,
            view,
            ('op/config', 'servers/'),
            random.Random(3),
            clock,
        )
        async with trio.open_nursery() as nursery:
            for reader in readers:
                nursery.start_soon(reader.run)
            await scenario(store, view)
            nursery.cancel_scope.cancel()

    mock_run(main)


async def change_and_wait(store, key, document):
    await trio.sleep_until(store.returns_s + STABLE_S)
    store.put(key, document)
    await trio.sleep(APPLY_S)


# DRAIN: a target's word that it leaves reached no host, since all waited for
# an answer that had been lost long before.
@pytest.mark.parametrize('returns_s', RETURNS_S)
def test_a_target_that_leaves_is_known_soon_after_a_silence(
    mock_run, returns_s
):
    async def scenario(store, view):
        await change_and_wait(store, 'servers/a', ENTRY | {'state': 'draining'})
        assert view.targets.list_draining() == {'a'}

    run(mock_run, returns_s, scenario)


# CONFIG: the same for a new version of the configuration.
@pytest.mark.parametrize('returns_s', RETURNS_S)
def test_a_version_is_in_force_soon_after_a_silence(mock_run, returns_s):
    async def scenario(store, view):
        await change_and_wait(store, 'op/config', make_config(2))
        assert view.table.version == 2

    run(mock_run, returns_s, scenario)


# DRAIN: the same for a target whose entry is removed without a word; a removal
# that is read late was held back as long as one that is read in time.
@pytest.mark.parametrize('returns_s', RETURNS_S)
def test_a_removal_is_in_force_soon_after_a_silence(mock_run, returns_s):
    async def scenario(store, view):
        await trio.sleep_until(store.returns_s + STABLE_S)
        store.delete('servers/a')
        await trio.sleep(APPLY_S)
        view.apply_overdue_removals()
        assert not view.targets.records

    run(mock_run, returns_s, scenario)


def test_a_quiet_store_gets_few_calls(mock_run):
    async def scenario(store, view):
        await trio.sleep_until(store.returns_s + STABLE_S)
        before = store.calls
        await trio.sleep(30)
        # Of both prefixes, each at most every second and a half.
        assert store.calls - before <= 40

    run(mock_run, 0, scenario)
