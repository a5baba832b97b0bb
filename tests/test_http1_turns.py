"""Tests that small chunks take no more than their share of the processor."""

import pytest
import trio
import trio.testing

from hornbeampulley.http1 import MessageLimits, RequestParser
from tests.test_http1_bodies import CHUNKED, Server

CONNECTIONS = 20
CHUNK = b'1\r\nx\r\n'
PART_CHUNKS = 683
REST_CHUNKS = 2000
FIRST = CHUNK * PART_CHUNKS
REST = CHUNK * REST_CHUNKS


class TurnWatch(trio.abc.Instrument):
    """Counts the chunks that are parsed in each turn of the event loop."""

    def __init__(self):
        self.total = 0
        self.most = 0
        self._last = 0

    def count(self):
        self.total += 1

    def before_io_wait(self, timeout):
        self.most = max(self.most, self.total - self._last)
        self._last = self.total


# Hang: a short request waited for the chunks of all others at each step.
def test_one_part_of_small_chunks_is_parsed_in_a_turn(mock_run, monkeypatch):
    watch = TurnWatch()
    parse = RequestParser.on_body

    def parse_and_count(parser, body):
        watch.count()
        parse(parser, body)

    monkeypatch.setattr(RequestParser, 'on_body', parse_and_count)

    async def scenario():
        async with trio.open_nursery() as nursery:
            server = Server(nursery, MessageLimits())
            clients = [server.connect() for _ in range(CONNECTIONS)]
            for client in clients:
                await client.send_all(CHUNKED + FIRST)
            await trio.testing.wait_all_tasks_blocked()
            assert watch.total == CONNECTIONS * PART_CHUNKS
            trio.lowlevel.add_instrument(watch)
            watch.before_io_wait(0)
            watch.most = 0
            for client in clients:
                nursery.start_soon(client.send_all, REST)
            await trio.testing.wait_all_tasks_blocked()
            trio.lowlevel.remove_instrument(watch)
            assert watch.total == CONNECTIONS * (PART_CHUNKS + REST_CHUNKS)
            # Chunks that begin in one part may end in the next one.
            assert watch.most <= PART_CHUNKS + 1
            for client in clients:
                await client.send_all(b'0\r\n\r\n')
                assert b' 200 ' in await client.receive_some()
            nursery.cancel_scope.cancel()

    mock_run(scenario)


def test_a_body_in_large_chunks_waits_for_no_turn(mock_run):
    async def scenario():
        async with trio.open_nursery() as nursery:
            server = Server(nursery, MessageLimits())
            client = server.connect()
            chunk = b'1000\r\n' + bytes(4096) + b'\r\n'
            await client.send_all(CHUNKED + chunk * 8 + b'0\r\n\r\n')
            assert b' 200 ' in await client.receive_some()
            assert server.turns.waits == 0
            nursery.cancel_scope.cancel()

    mock_run(scenario)


@pytest.mark.parametrize(
    'message',
    [
        b'POST /p HTTP/1.1\r\nHost: h\r\nX: ' + b'y' * 100,
        b'POST /p HTTP/1.1\r\nContent-Length: 1000\r\n\r\n' + b'y' * 100,
    ],
    ids=['head', 'body'],
)
def test_packets_of_one_byte_wait_for_their_turn(message, mock_run):
    async def scenario():
        async with trio.open_nursery() as nursery:
            server = Server(nursery, MessageLimits())
            client = server.connect()
            for place in range(len(message)):
                await client.send_all(message[place : place + 1])
                await trio.testing.wait_all_tasks_blocked()
            assert server.turns.waits > 50
            nursery.cancel_scope.cancel()

    mock_run(scenario)
