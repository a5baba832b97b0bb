"""Tests of the proxy that causes connection failures."""

import pytest
import trio

from tests.proxies import Mode, Proxy

PORT = 8306
SERVER = '127.18.0.1'
FRONT = '127.18.0.2'


async def echo(stream):
    while part := await stream.receive_some(100):
        await stream.send_all(part)


def run_proxy(scenario):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(listen)
                proxy = Proxy(SERVER, PORT)
                nursery.start_soon(proxy.serve, FRONT)
                await trio.sleep(0.1)
                stream = await trio.open_tcp_stream(FRONT, PORT)
                await scenario(proxy, stream)
                nursery.cancel_scope.cancel()

    async def listen(task_status=trio.TASK_STATUS_IGNORED):
        await trio.serve_tcp(echo, PORT, host=SERVER, task_status=task_status)

    trio.run(main)


async def ask(stream, timeout_s=5):
    await stream.send_all(b'x')
    with trio.move_on_after(timeout_s):
        return await stream.receive_some(100)
    return None


def test_bytes_pass():
    async def scenario(_proxy, stream):
        assert await ask(stream) == b'x'

    run_proxy(scenario)


@pytest.mark.parametrize('mode', [Mode.SILENT, Mode.NO_ANSWERS])
def test_bytes_held_back_are_forwarded_later(mode):
    async def scenario(proxy, stream):
        proxy.set_mode(mode)
        assert await ask(stream, 0.3) is None
        proxy.set_mode(Mode.PASS)
        assert await stream.receive_some(100) == b'x'

    run_proxy(scenario)


def test_a_muted_connection_loses_what_is_sent():
    async def scenario(proxy, stream):
        assert await ask(stream) == b'x'
        proxy.mute()
        assert await ask(stream, 0.3) is None
        async with await trio.open_tcp_stream(FRONT, PORT) as other:
            assert await ask(other) == b'x'

    run_proxy(scenario)


def test_a_reset_breaks_all_connections():
    async def scenario(proxy, stream):
        assert await ask(stream) == b'x'
        proxy.reset()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(100)

    run_proxy(scenario)


def test_new_connections_can_be_refused():
    async def scenario(proxy, _stream):
        proxy.set_mode(Mode.REFUSED)
        refused = await trio.open_tcp_stream(FRONT, PORT)
        try:
            assert await ask(refused) == b''
        except trio.BrokenResourceError:
            return

    run_proxy(scenario)
