"""Tests of the HTTP/1.1 server over loopback."""

import trio

from hornbeampulley.http1 import (
    CallerConnection,
    MessageLimits,
    ServerOptions,
)

GET = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'


class RawClient:
    """Client side of a connection; sends and reads raw bytes."""

    def __init__(self, stream, options):
        self.stream = stream
        self.options = options

    async def read_until(self, ending):
        received = b''
        while not received.endswith(ending):
            part = await self.stream.receive_some()
            if not part:
                break
            received += part
        return received


def run(handle, scenario, limits=None):
    async def main():
        options = ServerOptions(handle, lambda: limits or MessageLimits())
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]

        async def accept(stream):
            await CallerConnection(stream, options).run()

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, accept, listeners)
                stream = await trio.open_tcp_stream('127.0.0.1', port)
                await scenario(RawClient(stream, options))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def echo(request, reply):
    await reply.send(200, (), request.target + request.body)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(client):
        await client.stream.send_all(GET.replace(b'/x', b'/1') + GET)
        received = await client.read_until(b'/x')
        assert received.index(b'/1') < received.index(b'/x')

    run(echo, scenario)


def test_garbage_gets_an_error_with_a_remedy():
    async def scenario(client):
        await client.stream.send_all(b'\x00\x01nonsense\r\n\r\n')
        received = await client.read_until(b'never')
        assert received.startswith(b'HTTP/1.1 400 ')
        assert b'correct the message' in received

    run(echo, scenario)


def test_an_incomplete_head_times_out():
    async def scenario(client):
        await client.stream.send_all(GET[:-3])
        received = await client.read_until(b'never')
        assert received.startswith(b'HTTP/1.1 408 ')

    run(echo, scenario, MessageLimits(header_timeout_ms=50))


def test_sending_a_head_byte_by_byte_does_not_extend_its_timeout():
    async def scenario(client):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(drip, client.stream)
            received = await client.read_until(b'never')
            nursery.cancel_scope.cancel()
        assert received.startswith(b'HTTP/1.1 408 ')

    async def drip(stream):
        await stream.send_all(GET[:5])
        while True:
            await trio.sleep(0.03)
            await stream.send_all(b'a')

    limits = MessageLimits(max_header_bytes=1 << 20, header_timeout_ms=300)
    run(echo, scenario, limits)


def test_a_request_is_cancelled_when_its_caller_disconnects():
    ended = trio.Event()

    async def wait(request, reply):
        try:
            await trio.sleep_forever()
        finally:
            ended.set()

    async def scenario(client):
        await client.stream.send_all(GET)
        await trio.sleep(0.05)
        await client.stream.aclose()
        await ended.wait()

    run(wait, scenario)


def test_an_answer_that_is_not_finished_does_not_look_whole():
    async def break_off(request, reply):
        await reply.start(200, ())
        await reply.write(b'part')

    async def scenario(client):
        await client.stream.send_all(GET)
        received = await client.read_until(b'never')
        assert received.endswith(b'4\r\npart\r\n')

    run(break_off, scenario)


def test_a_server_that_shuts_down_sends_connection_close():
    async def scenario(client):
        client.options.is_ending = True
        await client.stream.send_all(GET)
        received = await client.read_until(b'never')
        assert b'connection: close\r\n' in received

    run(echo, scenario)


def test_expect_100_continue_is_answered():
    async def scenario(client):
        head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        await client.stream.send_all(head + b'Expect: 100-continue\r\n\r\n')
        assert b'100 Continue' in await client.read_until(b'\r\n\r\n')
        await client.stream.send_all(b'abc')
        assert (await client.read_until(b'abc')).endswith(b'/abc')

    run(echo, scenario)


# DENIED: a connection went on with the limits that were in force when it was accepted,
# so that proper requests got 413 after a larger limit had come into force.
def test_a_kept_connection_follows_changed_limits():
    limits = [MessageLimits(max_body_bytes=5)]
    post = b'POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s'

    async def scenario(client):
        client.options.read_limits = lambda: limits[-1]
        await client.stream.send_all(post % (1, 5, b'a' * 5))
        assert b' 200 ' in await client.read_until(b'/1aaaaa')
        limits.append(MessageLimits(max_body_bytes=20))
        await client.stream.send_all(post % (2, 20, b'b' * 20))
        assert b' 200 ' in await client.read_until(b'/2' + b'b' * 20)
        limits.append(MessageLimits(max_body_bytes=5))
        await client.stream.send_all(post % (3, 20, b'c' * 20))
        assert b' 413 ' in await client.read_until(b'never')

    run(echo, scenario, limits[0])


# A request that has begun is measured by the limits of its beginning.
def test_limits_do_not_change_within_a_request():
    limits = [MessageLimits()]

    async def scenario(client):
        client.options.read_limits = lambda: limits[-1]
        await client.stream.send_all(
            b'POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc'
        )
        await trio.sleep(0.1)
        limits.append(MessageLimits(max_body_bytes=1, max_header_bytes=1))
        await client.stream.send_all(b'def')
        assert b' 200 ' in await client.read_until(b'/1abcdef')

    run(echo, scenario)
