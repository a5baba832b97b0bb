"""Tests of nodes whose targets are processes, while either is hit by signals."""

import signal

import pytest
import trio

from hornbeampulley.http1 import Request, encode_request
from tests.node_processes import run_processes
from tests.nodes import CALLER_PORT, KEY, unchunk, wait_until
from tests.target_processes import TargetProcess

EVENTS = 40
PAUSE_MS = 50
WHOLE = b''.join(
    b'id: %d\ndata: t%d@v1\n\n' % (number, number)
    for number in range(1, EVENTS + 1)
)
LAST_CHUNK = b'0\r\n\r\n'


class Reader:
    """A caller that reads its answer as it comes."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.received = b''
        self.is_over = False

    async def call(self, path, request_id=b'r1', node=0, **headers):
        """Send a request and read until the answer or the connection ends."""
        pairs = {
            'host': 'h.example',
            'attempt-id': request_id.decode(),
            'api-key': KEY.decode(),
            'deadline-ms': '4500',
            **{name.replace('_', '-'): headers[name] for name in headers},
        }
        names = tuple((one.encode(), pairs[one].encode()) for one in pairs)
        request = Request(b'POST', path.encode(), names, b'x')
        address = self.nodes.address(node)
        stream = await trio.open_tcp_stream(address, CALLER_PORT)
        async with stream:
            await stream.send_all(encode_request(request))
            while not self.is_whole:
                part = await stream.receive_some()
                if not part:
                    break
                self.received += part
        self.is_over = True

    async def wait_event(self, number):
        """Wait until the caller has an event."""
        event = b'id: %d\n' % number
        await wait_until(lambda: event in self.received, 0.005)

    @property
    def body(self):
        return self.received.partition(b'\r\n\r\n')[2]

    @property
    def status(self):
        return int(self.received.split(b' ', 2)[1])

    @property
    def is_whole(self):
        """Whether the answer looks complete."""
        head, found, body = self.received.lower().partition(b'\r\n\r\n')
        if not found:
            return False
        if b'transfer-encoding: chunked' in head:
            return body.endswith(LAST_CHUNK)
        length = head.partition(b'content-length: ')[2].split(b'\r\n')[0]
        return len(body) >= int(length)


async def replace_targets(nodes, *targets):
    """Let only these targets serve their service."""
    for target in targets:
        await target.start()
    for number in (1, 2):
        nodes.fleet.store.delete(f'servers/{targets[0].service}-{number}')
    # Removals are held for a while.
    await trio.sleep(4)


def run_targets(
    scenario, folder, *framings, service='engines', pause_ms=PAUSE_MS
):
    """Run a scenario with targets that are processes."""

    async def play(nodes):
        targets = [
            TargetProcess(nodes, number, EVENTS, pause_ms, framing, service)
            for number, framing in enumerate(framings)
        ]
        try:
            await scenario(nodes, targets)
        finally:
            for target in targets:
                target.end()

    run_processes(play, folder)


# ORDER: a stream that ends with its connection looked complete to its caller when
# the target's process was killed between two events.
@pytest.mark.parametrize('framing', ['chunks', 'close'])
def test_a_stream_of_a_killed_target_does_not_look_complete(tmp_path, framing):
    async def scenario(nodes, targets):
        await replace_targets(nodes, *targets)
        reader = Reader(nodes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.call, '/stream/a')
            await reader.wait_event(7)
            await targets[0].kill()
        assert not reader.is_whole

    run_targets(scenario, tmp_path, framing)


# ORDER: the same with another target, where the stream goes on.
@pytest.mark.parametrize('framing', ['chunks', 'close'])
def test_a_stream_of_a_killed_target_goes_on_at_another(tmp_path, framing):
    async def scenario(nodes, targets):
        await replace_targets(nodes, targets[0])
        reader = Reader(nodes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.call, '/stream/a')
            await reader.wait_event(7)
            await targets[1].start()
            await trio.sleep(0.5)
            await targets[0].kill()
        assert reader.is_whole
        assert unchunk(reader.body) == WHOLE

    run_targets(scenario, tmp_path, framing, framing)


# MIXED: a plain answer that ends with its connection was passed on as whole when
# its target was killed between two parts of it.
def test_a_plain_answer_of_a_killed_target_is_not_passed_on(tmp_path):
    async def scenario(nodes, targets):
        await replace_targets(nodes, targets[0])
        reader = Reader(nodes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.call, '/once/a')
            await trio.sleep(0.5)
            await targets[0].kill()
        assert reader.status == 502
        assert b'first half' not in reader.body

    run_targets(scenario, tmp_path, 'close', service='ledger', pause_ms=2000)


def test_a_plain_answer_of_a_target_that_runs_is_passed_on(tmp_path):
    async def scenario(nodes, targets):
        await replace_targets(nodes, targets[0])
        reader = Reader(nodes)
        await reader.call('/once/a')
        assert (reader.status, reader.body) == (200, b'first half, second half')

    run_targets(scenario, tmp_path, 'close', service='ledger')


# ORDER: a host that was stopped for a while found the time limit between two events
# passed and sent each stream to another target, though events waited to be read.
def test_streams_do_not_change_their_target_when_their_host_is_paused(tmp_path):
    async def scenario(nodes, targets):
        await replace_targets(nodes, *targets)
        readers = [Reader(nodes) for _ in range(4)]
        async with trio.open_nursery() as nursery:
            for number, reader in enumerate(readers):
                name = b'r%d' % number
                nursery.start_soon(reader.call, '/stream/a', name)
            for reader in readers:
                await reader.wait_event(7)
            nodes.signal(0, signal.SIGSTOP)
            await trio.sleep(1.5)
            nodes.signal(0, signal.SIGCONT)
        assert [unchunk(one.body) for one in readers] == [WHOLE] * 4
        log = (tmp_path / 'node-0.log').read_text()
        for number in range(4):
            sent = f'event=request_dispatched request=r{number} '
            assert log.count(sent) == 1

    run_targets(scenario, tmp_path, 'chunks', 'chunks')
