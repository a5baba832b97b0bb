"""Tests of the soak's caller of streams and of its killable engine."""

import socket

import pytest
import trio
import trio.testing

from standins.killable import Plan, answer
from tests.nodes import CALLER_PORT, Fleet
from tests.proxies import RESETS
from tests.stream_callers import read_stream
from tests.stream_checks import ReceivedStream

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
EVENTS = 4
ENGINE = Plan(EVENTS, 0, is_chunked=True, born_ms=1, name=b'e1', mark=b'@v2')


def make_chunk(number):
    """Make the chunk of an event."""
    event = b'id: %d\ndata: t%d\n\n' % (number, number)
    return b'%x\r\n%s\r\n' % (len(event), event)


def read_from(serve, **options):
    """Return what a caller reads from a server."""
    answers = []

    async def main():
        async with trio.open_nursery() as nursery:
            address = Fleet(nursery).address(1)
            listeners = await trio.open_tcp_listeners(CALLER_PORT, host=address)
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            answers.append(await read_stream(address, b'r1', **options))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return answers[0]


def test_a_caller_keeps_what_came_before_a_reset():
    async def serve(stream):
        await stream.send_all(HEAD + make_chunk(1))
        await trio.sleep(0.1)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)

    assert read_from(serve) == (200, make_chunk(1))


def test_a_caller_closes_its_stream_after_some_events():
    async def serve(stream):
        await stream.send_all(HEAD)
        for number in (1, 2, 3):
            await stream.send_all(make_chunk(number))
            await trio.sleep(0.1)
        await trio.sleep_forever()

    whole = make_chunk(1) + make_chunk(2)
    assert read_from(serve, most_events=2) == (200, whole)


def test_a_caller_without_an_answer_has_no_status():
    async def serve(stream):
        await stream.receive_some()

    assert read_from(serve) == (0, b'')


def ask_engine(plan, *lines):
    """Return the answer of a killable engine to a request."""
    received = []

    async def main():
        client, server = trio.testing.memory_stream_pair()
        request = b'\r\n'.join([b'POST /stream/a HTTP/1.1', *lines, b'', b''])
        await client.send_all(request)
        await client.send_eof()
        await answer(plan, server)
        await server.send_eof()
        received.extend([part async for part in client])

    trio.run(main)
    return b''.join(received)


@pytest.mark.parametrize('last', [0, 1, EVENTS])
def test_a_killable_engine_goes_on_with_its_version(last):
    line = b'Last-Event-Id: %d' % last
    body = ask_engine(ENGINE, line).partition(b'\r\n\r\n')[2]
    received = ReceivedStream(EVENTS, last)
    received.add(body)
    assert not received.faults
    assert received.is_whole
    assert received.marks == ({b'@v2'} if last < EVENTS else set())


def test_a_killable_engine_rejects_what_is_meant_for_another():
    assert b' 421 ' in ask_engine(ENGINE, b'Expect-Instance: e2')
    assert b' 200 ' in ask_engine(ENGINE, b'Expect-Instance: e1')


# The client may be killed before its whole request is sent.
def test_a_killable_engine_ends_at_half_a_request():
    assert not ask_engine(ENGINE, b'Content-Length: 5')
