"""Test fixture: nodes, metadata store and backends in one event loop."""

import contextlib
import functools
import itertools
import os
import socket

import trio

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import Request, encode_request
from hornbeampulley.node import Adapter, Identity, Node, NodeSettings
from hornbeampulley.node._freshness import MAX_AGE_MS
from hornbeampulley.node._settings import (
    BoundSettings,
    ListenSettings,
    ResourceSettings,
    SeedSettings,
    StoreSettings,
)
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.platform._headers import PlatformDialect
from hornbeampulley.platform._store import StoreClient
from hornbeampulley.settings import HostSettings, LogSettings
from standins.backend import Backend
from standins.metadata import KEY_OF_CONFIG, MetadataStore

STORE_PORT = 8225
BACKEND_PORT = 8306
CALLER_PORT = 8221
KEY = b'secret'
EVENTS = [b'id: %d\ndata: t%d\n\n' % (number, number) for number in (1, 2, 3)]
NETWORKS = 200
FIRST_NETWORK = 20
LOCK_PORT = 8200
_network_numbers = itertools.count()
_locks = []


def make_route(name, kind, **changes):
    """Make a route of the operators' configuration document."""
    return {
        'name': name,
        'host': 'h.example',
        'prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': 'engines' if kind == 'streaming' else 'ledger',
        'max_attempts': 1,
        **changes,
    }


def make_config(version=1, **changes):
    """Make the operators' configuration document."""
    return {
        'version': version,
        'routes': [
            make_route('stream', 'streaming', resumable=True, max_attempts=2),
            make_route('once', 'non_idempotent'),
            make_route('look', 'idempotent', max_attempts=2),
        ],
        'services': [
            {
                'name': 'engines',
                'health_path': '/healthz',
                'max_conns': 100,
                'engine': {'slots': 4, 'kv_capacity': 1000, 'stride': 1},
            },
            {'name': 'ledger', 'health_path': '/healthz', 'max_conns': 100},
        ],
        'limits': {},
        'tenants': [{'name': 'w', 'api_keys': [KEY.decode()]}],
        **changes,
    }


@functools.cache
def _take_network():
    """Take a loopback network that no other test process uses."""
    for place in range(NETWORKS):
        network = FIRST_NETWORK + (os.getpid() + place) % NETWORKS
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f'127.{network}.255.1', LOCK_PORT))
        except OSError:
            lock.close()
        else:
            # Open until the process ends.
            _locks.append(lock)
            return network
    raise RuntimeError('all loopback networks are used; end other test runs')


class Fleet:
    """Store, backends and nodes of a test, with their loopback addresses."""

    def __init__(self, nursery):
        number = next(_network_numbers) % 250
        self.prefix = f'127.{_take_network()}.{number}.'
        self.nursery = nursery
        self.store = MetadataStore()
        self.backends = {}
        self.nodes = []

    def address(self, number):
        return f'{self.prefix}{number}'

    def start_store(self):
        self.nursery.start_soon(
            self.store.serve,
            self.address(1),
            STORE_PORT,
        )
        self.store.put(KEY_OF_CONFIG, make_config())

    def add_backend(self, name, service):
        backend = Backend(name, service)
        address = self.address(100 + len(self.backends))
        self.backends[name] = backend
        self.nursery.start_soon(backend.serve, address, BACKEND_PORT)
        entry = backend.describe(address, BACKEND_PORT)
        self.store.put(f'servers/{name}', entry)
        return backend

    def add_node(self, **bounds):
        number = 10 + len(self.nodes)
        address = self.address(number)

        def at(port):
            return Endpoint(address, port)

        settings = NodeSettings(
            HostSettings(f'host-{number}', address, 'a'),
            ListenSettings(at(CALLER_PORT), at(8224), at(8220), at(8229)),
            StoreSettings(Endpoint(self.address(1), STORE_PORT)),
            SeedSettings((Endpoint(self.address(10), 8229),)),
            BoundSettings(**bounds),
            ResourceSettings(),
            LogSettings(),
        )
        identity = Identity(f'{number:016x}', 1000 + number)
        adapter = Adapter(PlatformDialect(), PlatformDecoder(), StoreClient)
        node = Node(settings, identity, adapter, self.nursery)
        node.start()
        self.nodes.append(node)
        return node

    async def wait_ready(self):
        """Wait until all nodes know all nodes, routes and targets."""
        with trio.fail_after(20):
            await wait_until(
                lambda: all(self._is_ready(node) for node in self.nodes),
            )

    async def call(self, path, number=0, body=b'', request_id=b'r1', **headers):
        """Send one request to a node and return status, head and body."""
        address = self.nodes[number].settings.listen.callers.address
        return await self.call_at(address, path, body, request_id, **headers)

    async def call_at(
        self,
        address,
        path,
        body=b'',
        request_id=b'r1',
        **headers,
    ):
        """Send one request to an address."""
        request = make_request(path, body, request_id, headers)
        stream = await trio.open_tcp_stream(address, CALLER_PORT)
        async with stream:
            await stream.send_all(encode_request(request))
            return await read_answer(stream)

    def _is_ready(self, node):
        return (
            node.is_ready
            and node.store_view.freshness.age_ms < MAX_AGE_MS
            and len(node.membership.live) == len(self.nodes)
            and len(node.store_view.targets.records) == len(self.backends)
        )


def make_request(path, body, request_id, headers):
    """Make a caller's request, with further headers by name."""
    pairs = {
        'host': 'h.example',
        'attempt-id': request_id.decode(),
        'api-key': KEY.decode(),
        'deadline-ms': '4000',
        **{name.replace('_', '-'): headers[name] for name in headers},
    }
    method = b'POST' if body or path.startswith('/once') else b'GET'
    return Request(
        method,
        path.encode(),
        tuple((name.encode(), pairs[name].encode()) for name in pairs),
        body,
    )


async def call_and_record(fleet, path, answers):
    """Send one request and append its answer to a list."""
    answers.append(await fleet.call(path, body=b'x'))


async def wait_until(is_done, pause_s=0.02):
    """Poll until a condition is met."""
    for _ in range(1000):
        if is_done():
            return
        await trio.sleep(pause_s)
    raise AssertionError('the condition was not met in time')


async def read_answer(stream):
    """Read a response to its end or to the end of the connection."""
    received = b''
    while not is_answer_whole(received):
        part = await stream.receive_some()
        if not part:
            break
        received += part
    head, _, body = received.partition(b'\r\n\r\n')
    status = int(head.split()[1]) if head else 0
    return status, head.lower(), body


def is_answer_whole(received):
    """Return whether a response has come to its end."""
    head, found, body = received.partition(b'\r\n\r\n')
    if not found:
        return False
    lower = head.lower()
    if b'transfer-encoding: chunked' in lower:
        return body.endswith(b'0\r\n\r\n')
    length = int(lower.partition(b'content-length: ')[2].split(b'\r\n')[0])
    return len(body) >= length


@contextlib.asynccontextmanager
async def start_nodes(count=1, **bounds):
    """Start a store, two backends of each service, and nodes."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        fleet.start_store()
        for service in ('engines', 'ledger'):
            fleet.add_backend(f'{service}-1', service)
            fleet.add_backend(f'{service}-2', service)
        for _ in range(count):
            fleet.add_node(**bounds)
        await fleet.wait_ready()
        yield fleet
        nursery.cancel_scope.cancel()


def run_nodes(scenario, count=1, **bounds):
    """Run a scenario against started nodes."""

    async def main():
        with trio.fail_after(60):
            async with start_nodes(count, **bounds) as fleet:
                await scenario(fleet)

    trio.run(main)


def count_runs(fleet):
    """Return the number of requests that all backends have executed."""
    return sum(sum(one.runs.values()) for one in fleet.backends.values())


def unchunk(body):
    """Decode a body in chunked transfer coding."""
    whole = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        whole += rest[:length]
        body = rest[length + 2 :]
    return whole


def start_crashing(fleet, part):
    """Let the engines crash on a part of prompts and return them."""
    engines = [fleet.backends[f'engines-{number}'] for number in (1, 2)]
    for engine in engines:
        engine.behaviour.deadly_part = part
    return engines
