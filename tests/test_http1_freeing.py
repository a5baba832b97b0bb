"""Tests that a connection to a target is freed when it is closed."""

import gc

import pytest
import trio
import trio.testing

from hornbeampulley.clock import Clock
from hornbeampulley.http1 import Connection, Request, ResponseParser
from hornbeampulley.http1.errors import ResponseBrokenError
from tests.test_http1_bodies import MemorySocket

HEAD = b'HTTP/1.1 200 OK\r\n'
REQUEST = Request(b'GET', b'/', ((b'host', b'h'),))


# Memory: what had been received for a caller that left stayed until the garbage
# collector came.
@pytest.mark.parametrize(
    'answer',
    [
        HEAD + b'x: ' + b'y' * 10_000,
        HEAD + b'content-length: 100000\r\n\r\n' + bytes(50_000),
        HEAD + b'transfer-encoding: chunked\r\n\r\n5\r\n',
        HEAD + b'x: ' + b'y' * 100_000,
        b'HTTP/1.1 999 No\r\n\r\n',
        b'\x00' * 100,
    ],
    ids=['head', 'body', 'chunk', 'long head', 'status', 'malformed'],
)
def test_a_closed_connection_is_freed_at_once(answer, mock_run):
    async def scenario():
        ours, theirs = trio.testing.memory_stream_pair()
        connection = Connection(MemorySocket(ours), Clock(trio.current_time))
        await connection.send(REQUEST)
        await theirs.send_all(answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read, connection)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        connection.close()
        del connection
        return [
            one for one in gc.get_objects() if isinstance(one, ResponseParser)
        ]

    gc.collect()
    gc.disable()
    try:
        assert mock_run(scenario) == []
    finally:
        gc.enable()


async def read(connection):
    """Read a response until it ends or breaks."""
    try:
        await connection.read_head()
        await connection.read_full_body(1 << 20)
    except ResponseBrokenError:
        await trio.lowlevel.checkpoint()
