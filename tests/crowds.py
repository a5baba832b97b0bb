"""Crowds of clients that nobody controls, against one node as a process."""

import os
import pathlib
import socket
import sys

import trio

from hornbeampulley.http1 import ServerOptions, find_header, serve_http
from hornbeampulley.platform.node import SETTINGS_VARIABLE
from standins.backend import SEAL, Backend
from standins.metadata import KEY_OF_CONFIG
from tests.nodes import (
    BACKEND_PORT,
    CALLER_PORT,
    KEY,
    Fleet,
    make_config,
    make_route,
)

GOSSIP_PORT = 7600
METRICS_PORT = 7615
DIRECTORY_PORT = 8220
READINESS_PORT = 8224
PEER_PORT = 8229
BYTES_PER_MB = 1_000_000
SAMPLE_MS = 100
# A crowd has gathered after this time.
GATHER_S = 1.5
# A client that is closed comes back after this time.
RETURN_S = 0.5
# Guard against a node that hangs or that serves only its crowd.
GUARD_S = 10
WORK_S = 25
ANSWER = bytes(1_000_000)
OK = 200
LARGE = 4 << 20
EVENTS = 400
EVENT = b'data: ' + b'x' * 8_000 + b'\n\n'
SETTINGS = """
[host]
name = crowded
address = {address}
availability_zone = a

[listen]
callers = {address}:8221
readiness = {address}:8224
directory = {address}:8220
peers = {address}:8229
gossip_port = 7600
metrics_port = 7615

[store]
address = {store}:8225

[peers]
seeds = {address}:8229

[bounds]
max_files = {max_files}

[resources]
memory_mb = {memory_mb}
"""


async def answer_target(request, reply):
    """Answer as a target whose path tells what it does."""
    request_id = find_header(request.headers, b'attempt-id') or b''
    headers = ((b'attempt-id', request_id), (SEAL, b'sealed'))
    if request.target.startswith(b'/stream/'):
        kind = (b'content-type', b'text/event-stream')
        await reply.start(OK, (*headers, kind))
        for number in range(EVENTS):
            await reply.write(b'id: %d\n%s' % (number, EVENT))
        await reply.finish()
        return
    if request.target.endswith(b'slow'):
        await trio.sleep(WORK_S)
    body = ANSWER if request.target.endswith(b'large') else b'small'
    await reply.send(OK, headers, body)


def make_head(path, *framing, request_id=b'r', end=b'\r\n\r\n'):
    """Make the head of a caller's request."""
    lines = (
        b'POST %s HTTP/1.1' % path,
        b'host: h.example',
        b'attempt-id: %s' % request_id,
        b'api-key: %s' % KEY,
        b'deadline-ms: 15000',
        *framing,
    )
    return b'\r\n'.join(lines) + end


class CrowdedNode:
    """A node as a process, with the peaks of its memory and descriptors.

    Attributes
    ----------
    peak_files : int
        Most descriptors that were open at a sample.
    peak_queued : int
        Most bytes that the kernel has held for the node's connections.
    """

    def __init__(self, fleet, process):
        self.address = fleet.address(10)
        self.process = process
        self.peak_files = 0
        self.peak_queued = 0
        self._ids = 0

    @property
    def peak_mb(self):
        """Peak of the process and of what the kernel holds for it."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        peak = status.partition('VmHWM:')[2].split()[0]
        return (int(peak) * 1024 + self.peak_queued) / BYTES_PER_MB

    async def sample(self):
        """Sample descriptors and kernel buffers until cancelled."""
        while True:
            files = len(os.listdir(f'/proc/{self.process.pid}/fd'))
            self.peak_files = max(self.peak_files, files)
            self.peak_queued = max(self.peak_queued, self._read_queued())
            await trio.sleep(SAMPLE_MS / 1000)

    async def join(
        self, parts, port=CALLER_PORT, is_reading=True, pause_s=0, hold_s=0
    ):
        """Open a connection, send and stay; come back when it is closed."""
        while True:
            with trio.move_on_after(hold_s or float('inf')):
                await self._stay(parts, port, is_reading, pause_s)
            await trio.sleep(RETURN_S)

    async def send_datagrams(self, datagram, port, count):
        """Send datagrams to a port, as fast as they leave."""
        with trio.socket.socket(type=socket.SOCK_DGRAM) as sock:
            for _ in range(count):
                await sock.sendto(datagram, (self.address, port))

    async def _stay(self, parts, port, is_reading, pause_s):
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if not is_reading:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await sock.connect((self.address, port))
            stream = trio.SocketStream(sock)
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(pause_s)
            while is_reading and await stream.receive_some(65_536):
                continue
            if not is_reading:
                await trio.sleep_forever()
        except (OSError, trio.BrokenResourceError):
            # To be closed is allowed.
            await trio.lowlevel.checkpoint()
        finally:
            sock.close()

    async def get(self, port, path):
        """Return the status of a request without a body."""
        request = b'GET %s HTTP/1.1\r\nhost: h\r\n\r\n' % path
        return await self._exchange(port, request)

    async def call(self, size):
        """Return the last status of an ordinary request that is repeated."""
        status = 0
        with trio.move_on_after(GUARD_S):
            while status != OK:
                self._ids += 1
                head = make_head(
                    b'/look/a',
                    b'content-length: %d' % size,
                    request_id=b'%016x' % self._ids,
                )
                status = await self._exchange(CALLER_PORT, head + bytes(size))
                await trio.sleep(0.05)
        return status

    async def _exchange(self, port, request):
        try:
            stream = await trio.open_tcp_stream(self.address, port)
            async with stream:
                with trio.CancelScope() as scope:
                    scope.deadline = trio.current_time() + 5
                    await stream.send_all(request)
                    answer = await stream.receive_some()
                    return int(answer.split()[1]) if answer else 0
        except (OSError, trio.BrokenResourceError):
            await trio.lowlevel.checkpoint()
        return 0

    def _read_queued(self):
        """Return the bytes that the kernel holds for the node, both ways."""
        numbers = reversed(self.address.split('.'))
        own = ''.join(f'{int(number):02X}' for number in numbers)
        queued = 0
        text = pathlib.Path('/proc/net/tcp').read_text()
        for line in text.splitlines()[1:]:
            fields = line.split()
            # In a listening socket the fields count connections.
            if fields[1].startswith(own) and fields[3] != '0A':
                sent, received = fields[4].split(':')
                queued += int(sent, 16) + int(received, 16)
        return queued


def run_crowd(folder, memory_mb, max_files, gather):
    """Run a crowd against a node; return the node and what it has answered.

    The answers are the statuses of the readiness probe and of bodies of 0, 12
    and 72 KB while the crowd stays, and of 0 and 4 MiB afterwards.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            _start_surroundings(fleet, nursery)
            path = folder / 'node.ini'
            path.write_text(
                SETTINGS.format(
                    address=fleet.address(10),
                    store=fleet.address(1),
                    max_files=max_files,
                    memory_mb=memory_mb,
                )
            )
            with (folder / 'node.log').open('wb') as log:
                process = await trio.lowlevel.open_process(
                    [sys.executable, '-m', 'hornbeampulley.platform.node'],
                    env={**os.environ, SETTINGS_VARIABLE: str(path)},
                    stdout=log,
                )
            node = CrowdedNode(fleet, process)
            try:
                answers = await _meet(node, gather)
                return node, node.peak_mb, answers, process.poll()
            finally:
                process.kill()
                nursery.cancel_scope.cancel()

    return trio.run(main)


def _start_surroundings(fleet, nursery):
    target = fleet.address(100)
    fleet.start_store()
    fleet.store.put(
        KEY_OF_CONFIG,
        make_config(
            routes=[
                make_route('stream', 'streaming', timeout_ms=15_000),
                make_route('look', 'idempotent', timeout_ms=15_000),
            ]
        ),
    )
    options = ServerOptions(answer_target, max_connections=4000)
    nursery.start_soon(serve_http, target, BACKEND_PORT, options)
    for service in ('engines', 'ledger'):
        backend = Backend(f'{service}-1', service)
        entry = backend.describe(target, BACKEND_PORT)
        fleet.store.put(f'servers/{service}-1', {**entry, 'slots': 1000})


async def _meet(node, gather):
    answers = {'before': await node.call(0)}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.sample)
        async with trio.open_nursery() as crowd:
            gather(node, crowd)
            await trio.sleep(GATHER_S)
            answers['ready'] = await node.get(READINESS_PORT, b'/-/readyz')
            for size in (0, 12_000, 72_000):
                answers[f'meanwhile {size}'] = await node.call(size)
            crowd.cancel_scope.cancel()
        for size in (0, LARGE):
            answers[size] = await node.call(size)
        nursery.cancel_scope.cancel()
    return answers
