"""Measures the processor time of a node as a real process.

Run as ``python -m bench.node_cost``; a store and targets run in this process,
one node in another, with its logs and leases as in use.
"""

import os
import pathlib
import sys
import tempfile
from typing import Any, Final

import trio

from bench.daemons import read_cpu_ms, read_memory_mb
from hornbeampulley.clock import to_seconds
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import Request, encode_request
from hornbeampulley.platform.node import SETTINGS_VARIABLE
from standins.backend import Backend
from standins.metadata import KEY_OF_CONFIG, MetadataStore

NODE: Final = '127.19.0.10'
STORE: Final = Endpoint('127.19.0.1', 8225)
CALLERS: Final = Endpoint(NODE, 8221)
BACKEND_PORT: Final = 8306
KEY: Final = 'secret'
WARM_UP_CALLS: Final = 200
SHORT_CALLS: Final = 3000
STREAMS: Final = 100
EVENTS: Final = 200
# Engines send an event of several tokens about this often.
EVENT_PAUSE_MS: Final = 20.0
CONCURRENCY: Final = 8
IDLE_MS: Final = 5000.0
READY_MS: Final = 20_000.0
RETRY_MS: Final = 100.0
MAX_READ_BYTES: Final = 65_536
SETTINGS: Final = f"""
[host]
name = measured
address = {NODE}
availability_zone = a

[listen]
callers = {CALLERS}
readiness = {NODE}:8224
directory = {NODE}:8220
peers = {NODE}:8229

[store]
address = {STORE}

[peers]
seeds = {NODE}:8229

[logs]
level = info
"""


def form_route(name: str, kind: str, service: str) -> dict[str, Any]:
    """Form a route of the operators' document."""
    return {
        'name': name,
        'host': 'h.example',
        'prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 15_000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
    }


def form_document() -> dict[str, Any]:
    """Form the operators' document."""
    engine = {'slots': 2 * CONCURRENCY, 'kv_capacity': 10**6, 'stride': 1}
    pools = [
        {'name': 'engines', 'max_conns': 100, 'engine': engine},
        {'name': 'ledger', 'max_conns': 100},
    ]
    return {
        'version': 1,
        'routes': [
            form_route('stream', 'streaming', 'engines'),
            form_route('look', 'idempotent', 'ledger'),
        ],
        'services': [{**pool, 'health_path': '/healthz'} for pool in pools],
        'limits': {},
        'tenants': [{'name': 'w', 'api_keys': [KEY]}],
    }


class Surroundings:
    """The store and the targets of the measured node."""

    def __init__(self, nursery: trio.Nursery) -> None:
        store = MetadataStore()
        store.put(KEY_OF_CONFIG, form_document())
        nursery.start_soon(store.serve, STORE.address, STORE.port)
        for number, service in enumerate(('engines', 'ledger')):
            backend = Backend(f'{service}-1', service)
            backend.behaviour.events = EVENTS
            backend.behaviour.pause_ms = EVENT_PAUSE_MS
            address = f'127.19.0.{100 + number}'
            nursery.start_soon(backend.serve, address, BACKEND_PORT)
            entry = backend.describe(address, BACKEND_PORT)
            store.put(f'servers/{backend.name}', {**entry, 'slots': 64})


async def send_calls(path: str, count: int) -> None:
    """Send requests one after another on one connection."""
    stream = await trio.open_tcp_stream(CALLERS.address, CALLERS.port)
    async with stream:
        for number in range(count):
            await stream.send_all(_form_request(path, number))
            await _read_answer(stream)


async def send_all(path: str, count: int) -> None:
    """Send requests on several connections at a time."""
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENCY):
            nursery.start_soon(send_calls, path, count // CONCURRENCY)


async def measure(node: int) -> None:
    """Print processor time a request, an event and a second.

    Parameters
    ----------
    node : int
        Id of the node's process.
    """
    await wait_ready()
    await send_all('/look/a', WARM_UP_CALLS)
    begun_ms = read_cpu_ms(node)
    await trio.sleep(to_seconds(IDLE_MS))
    idle_ms = read_cpu_ms(node) - begun_ms
    print(f'idle: {idle_ms / to_seconds(IDLE_MS):.1f} ms a second')
    begun_ms = read_cpu_ms(node)
    await send_all('/look/a', SHORT_CALLS)
    request_ms = (read_cpu_ms(node) - begun_ms) / SHORT_CALLS
    print(f'short request: {request_ms:.2f} ms')
    begun_ms = read_cpu_ms(node)
    await send_all('/stream/a', STREAMS)
    streams = STREAMS // CONCURRENCY * CONCURRENCY
    streams_ms = read_cpu_ms(node) - begun_ms - streams * request_ms
    print(f'event: {streams_ms / streams / EVENTS:.3f} ms')
    print(f'memory: {read_memory_mb(node):.1f} MB')


def _form_request(path: str, number: int) -> bytes:
    headers = (
        (b'host', b'h.example'),
        (b'attempt-id', b'%016x' % number),
        (b'api-key', KEY.encode()),
        (b'deadline-ms', b'15000'),
    )
    return encode_request(Request(b'GET', path.encode(), headers, b''))


async def _read_answer(stream: trio.SocketStream) -> None:
    received = b''
    while not _is_whole(received):
        part = await stream.receive_some(MAX_READ_BYTES)
        if not part:
            raise ConnectionError('the node closed; look at its log')
        received += part
    if not received.startswith(b'HTTP/1.1 200'):
        raise ConnectionError(f'the node answered {received[:80]!r}')


def _is_whole(received: bytes) -> bool:
    head, _, body = received.lower().partition(b'\r\n\r\n')
    if b'transfer-encoding: chunked' in head:
        return body.endswith(b'0\r\n\r\n')
    _, is_sized, rest = head.partition(b'content-length: ')
    return bool(is_sized) and len(body) >= int(rest.split(b'\r\n')[0])


async def wait_ready() -> None:
    """Wait until the node answers."""
    with trio.fail_after(to_seconds(READY_MS)):
        while True:
            try:
                await send_calls('/look/a', 1)
            except OSError:
                await trio.sleep(to_seconds(RETRY_MS))
            else:
                return


async def run(folder: pathlib.Path) -> None:
    """Start all and measure.

    Parameters
    ----------
    folder : pathlib.Path
        Takes the settings and the log of the node.
    """
    path = folder / 'node.ini'
    path.write_text(SETTINGS)
    async with trio.open_nursery() as nursery:
        Surroundings(nursery)
        with (folder / 'node.log').open('wb') as log:
            node = await trio.lowlevel.open_process(
                [sys.executable, '-m', 'hornbeampulley.platform.node'],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
            )
        try:
            await measure(node.pid)
        finally:
            node.kill()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Measure in a folder that is removed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, pathlib.Path(folder))


if __name__ == '__main__':
    main()
