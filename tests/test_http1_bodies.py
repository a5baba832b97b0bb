"""Tests of the memory for bodies of requests, in virtual time."""

import gc

import pytest
import trio
import trio.testing

from hornbeampulley.http1 import (
    BufferBudget,
    CallerConnection,
    MessageLimits,
    Request,
    RequestParser,
    ServerOptions,
)
from hornbeampulley.http1._bodies import MAX_WAIT_MS
from hornbeampulley.http1._buffers import SMALL_BYTES, RequestBuffer

LARGE = 2 * SMALL_BYTES
# Room for one large body and some small ones.
ROOM = LARGE + 1000
BUDGET = 2 * ROOM
POST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n'
CHUNKED = b'POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + bytes(SMALL_BYTES) + b'\r\n'


class MemorySocket:
    """The part of a socket stream that a connection uses, in memory."""

    def __init__(self, stream):
        self.socket = self
        self.stream = stream

    async def receive_some(self, max_bytes):
        return await self.stream.receive_some(max_bytes)

    async def send_all(self, message):
        await self.stream.send_all(message)

    async def send_eof(self):
        await self.stream.send_eof()

    def close(self):
        self.stream.send_stream.close()
        self.stream.receive_stream.close()


class Server:
    """A server whose connections are in memory; keeps what it handles."""

    def __init__(self, nursery, limits):
        self.budget = BufferBudget(BUDGET)
        self.seen = []
        self.peak = 0
        self.is_answering = trio.Event()
        self.is_answering.set()
        self._nursery = nursery
        self._options = ServerOptions(
            self._handle, lambda: limits, read_budget=lambda: self.budget
        )
        self.turns = self._options.turns

    def connect(self):
        client, server = trio.testing.memory_stream_pair()
        connection = CallerConnection(MemorySocket(server), self._options)
        self._nursery.start_soon(connection.run)
        return client

    def fill(self):
        """Hold all room for bodies."""
        buffer = RequestBuffer(self.budget)
        buffer.resize(ROOM)
        return buffer

    async def _handle(self, request, reply):
        self.seen.append((len(request.body), request.is_unread))
        self.peak = max(self.peak, self.budget.request_bytes)
        await self.is_answering.wait()
        status = 503 if request.is_unread else 200
        await reply.send(status, ())


def run(scenario, limits=None):
    async def main():
        async with trio.open_nursery() as nursery:
            server = Server(nursery, limits or MessageLimits())
            with trio.fail_after(100):
                await scenario(server)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_all(client):
    received = b''
    while part := await client.receive_some():
        received += part
    return received


# Memory: bodies were read without a bound; what does not fit is not run, and
# its rest, which looks like a request, is not taken for one.
@pytest.mark.parametrize('sent_first', [0, 100, SMALL_BYTES])
def test_a_body_that_does_not_fit_is_refused_and_its_rest_dropped(sent_first):
    async def scenario(server):
        server.fill()
        client = server.connect()
        begun = trio.current_time()
        await client.send_all(POST % (LARGE, b'') + bytes(sent_first))
        assert b' 503 ' in await client.receive_some()
        assert (trio.current_time() - begun) * 1000 == pytest.approx(
            MAX_WAIT_MS
        )
        hidden = b'GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'
        await client.send_all(hidden * 100)
        assert await read_all(client) == b''
        assert server.seen == [(0, True)]
        assert server.budget.request_bytes == ROOM

    run(scenario)


# 408: a request that waited for memory was taken for one that did not arrive.
def test_a_body_that_waits_for_memory_is_not_late():
    async def scenario(server):
        held = server.fill()
        client = server.connect()
        await client.send_all(b'P')
        await trio.sleep(0.09)
        await client.send_all((POST % (LARGE, b''))[1:])
        await trio.sleep(0.3)
        assert server.seen == []
        held.resize(0)
        await client.send_all(bytes(LARGE))
        assert b' 200 ' in await client.receive_some()
        assert server.seen == [(LARGE, False)]
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.held_bytes == 0

    run(scenario, MessageLimits(header_timeout_ms=100))


# Memory: the sum of all bodies had no bound.
def test_many_bodies_are_held_one_after_the_other_and_small_ones_go_on():
    async def send(server, statuses, size):
        client = server.connect()
        await client.send_all(POST % (size, b''))
        await client.send_all(bytes(size))
        answer = await client.receive_some()
        statuses.append((size, int(answer.split()[1])))
        await client.aclose()

    async def scenario(server):
        statuses = []
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(send, server, statuses, LARGE)
                nursery.start_soon(send, server, statuses, 10)
        assert set(statuses) == {(LARGE, 200), (10, 200)}
        assert len(statuses) == 120
        await trio.testing.wait_all_tasks_blocked()
        assert server.peak <= ROOM
        assert server.budget.held_bytes == 0

    run(scenario)


# Memory: the part of a caller that leaves was not given back.
@pytest.mark.parametrize('moment', ['waits', 'sends', 'is answered'])
def test_a_caller_that_leaves_gives_its_part_back(moment):
    async def scenario(server):
        server.is_answering = trio.Event()
        held = server.fill()
        client = server.connect()
        await client.send_all(POST % (LARGE, b''))
        await trio.testing.wait_all_tasks_blocked()
        if moment != 'waits':
            held.resize(0)
            await client.send_all(bytes(LARGE if moment != 'sends' else 10))
            await trio.testing.wait_all_tasks_blocked()
            assert server.budget.request_bytes == LARGE
        await client.aclose()
        await trio.sleep(10)
        held.resize(0)
        assert server.budget.held_bytes == 0
        other = server.connect()
        server.is_answering.set()
        await other.send_all(POST % (LARGE, b'') + bytes(LARGE))
        assert b' 200 ' in await other.receive_some()

    run(scenario)


# Memory: a chunked body tells no length, so it counts as the longest allowed.
def test_a_chunked_body_has_room_before_it_is_read():
    async def scenario(server):
        server.is_answering = trio.Event()
        client = server.connect()
        await client.send_all(CHUNKED + CHUNK + b'1\r\nx\r\n')
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.request_bytes == LARGE
        await client.send_all(b'0\r\n\r\n')
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.request_bytes == SMALL_BYTES + 1
        server.is_answering.set()
        assert b' 200 ' in await client.receive_some()

    run(scenario, MessageLimits(max_body_bytes=LARGE))


# A longer body may be allowed than fits: a chunked one is read until then.
def test_a_chunked_body_is_refused_when_it_is_longer_than_fits():
    async def scenario(server):
        client = server.connect()
        await client.send_all(CHUNKED + CHUNK + CHUNK)
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.request_bytes == ROOM
        await client.send_all(CHUNK)
        assert b' 503 ' in await client.receive_some()
        assert server.seen == [(0, True)]
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.request_bytes == 0

    run(scenario)


# A caller that asks first is told to send only what can be held.
def test_100_continue_is_sent_when_there_is_room():
    async def scenario(server):
        held = server.fill()
        client = server.connect()
        await client.send_all(POST % (LARGE, b'Expect: 100-continue\r\n'))
        await trio.sleep(0.2)
        held.resize(0)
        assert b' 100 ' in await client.receive_some()
        held = server.fill()
        other = server.connect()
        await other.send_all(POST % (LARGE, b'Expect: 100-continue\r\n'))
        assert b' 503 ' in await other.receive_some()

    run(scenario)


# GONE: while a pipelined request was refused, the caller's leaving was missed.
def test_a_caller_that_leaves_is_noticed_after_a_refused_body():
    async def scenario(server):
        server.is_answering = trio.Event()
        server.fill()
        client = server.connect()
        await client.send_all(POST % (1, b'') + b'x' + POST % (LARGE, b''))
        await trio.sleep(1)
        assert server.seen == [(1, False)]
        await client.aclose()
        await trio.sleep(1)
        assert server.budget.request_bytes == ROOM
        assert server.seen == [(1, False)]

    run(scenario)


# Memory: what follows a refused body was still read as a part of it.
def test_what_follows_a_refused_body_is_neither_held_nor_handled():
    async def scenario(server):
        server.is_answering = trio.Event()
        server.fill()
        client = server.connect()
        await client.send_all(POST % (1, b'') + b'x' + POST % (LARGE, b''))
        await trio.sleep(1)
        await client.send_all(bytes(LARGE) + POST % (1, b'') + b'x')
        await trio.sleep(1)
        assert server.budget.request_bytes == ROOM + 1
        server.is_answering.set()
        answers = await read_all(client)
        assert answers.count(b'HTTP/1.1 ') == 2
        assert server.seen == [(1, False), (0, True)]

    run(scenario)


# Memory: room was kept while the rest of a closing connection was discarded.
@pytest.mark.parametrize(
    ('sent', 'status'), [(LARGE, b' 200 '), (SMALL_BYTES, b' 408 ')]
)
def test_a_connection_that_closes_holds_no_body(sent, status):
    async def scenario(server):
        client = server.connect()
        await client.send_all(POST % (LARGE, b'Connection: close\r\n'))
        await client.send_all(bytes(sent))
        assert status in await client.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        assert server.budget.held_bytes == 0

    run(scenario)


# Memory: a kept connection held its last request until the next one came.
def test_an_idle_connection_holds_no_body():
    def count():
        gc.collect()
        return sum(isinstance(one, Request) for one in gc.get_objects())

    async def scenario(server):
        before = count()
        client = server.connect()
        await client.send_all(POST % (LARGE, b'') + bytes(LARGE))
        assert b' 200 ' in await client.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        assert count() == before
        assert server.budget.held_bytes == 0

    run(scenario)


# Memory: the head of each connection that was cut off was kept until the garbage
# collector came, thousands of them during a crowd.
@pytest.mark.parametrize(
    'start',
    [
        b'GET / HTTP/1.1\r\nHost: ' + b'h' * 14_000,
        POST % (LARGE, b'') + bytes(1000),
        CHUNKED + CHUNK,
        b'GET / HTTP/1.1\r\nHost: ' + b'h' * 20_000,
        POST % (1 << 30, b'') + bytes(1000),
        CHUNKED + CHUNK * 65,
        CHUNKED + b'0\r\nx: ' + b'y' * 20_000,
        b'\x00' * 100,
    ],
    ids=[
        'head',
        'body',
        'chunks',
        'long head',
        'far over',
        'far over in chunks',
        'long trailer',
        'malformed',
    ],
)
@pytest.mark.parametrize('is_evicted', [False, True])
def test_a_connection_that_has_ended_is_freed_at_once(
    start, is_evicted, mock_run
):
    async def scenario():
        async with trio.open_nursery() as nursery:
            server = Server(nursery, MessageLimits())
            client = server.connect()
            await client.send_all(start)
            await trio.testing.wait_all_tasks_blocked()
            if is_evicted:
                server.budget.clients.reclaim(1)
                await trio.testing.wait_all_tasks_blocked()
            await client.aclose()
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        return [
            one for one in gc.get_objects() if isinstance(one, RequestParser)
        ]

    gc.collect()
    gc.disable()
    try:
        assert mock_run(scenario) == []
    finally:
        gc.enable()


# The log told of a failed connection: its parser was fed after it had been closed.
def test_bytes_that_arrive_as_a_connection_is_evicted_are_dropped():
    async def scenario(server):
        client = server.connect()
        await client.send_all(b'GET / HTTP/1.1\r\nHost: ')
        await trio.testing.wait_all_tasks_blocked()
        await client.send_all(b'h')
        server.budget.clients.reclaim(1)
        assert not await client.receive_some()
        assert server.budget.clients.held_bytes == 0

    run(scenario)
