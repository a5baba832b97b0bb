"""Tests that a node reads no more bodies than it has memory for."""

import contextlib

import pytest
import trio.testing

from hornbeampulley.http1 import (
    BufferBudget,
    ServerOptions,
    find_header,
    serve_http,
)
from hornbeampulley.http1._buffers import SMALL_BYTES
from standins.backend import SEAL
from tests.nodes import BACKEND_PORT, run_nodes, wait_until

BUDGET_BYTES = 8 * SMALL_BYTES
LARGE = bytes(3 * SMALL_BYTES)


# Memory: a host whose memory was full read on and sent the request.
def test_a_body_without_room_is_refused_as_not_run():
    async def scenario(fleet):
        node = fleet.nodes[0]
        node.client_limits.buffers = BufferBudget(BUDGET_BYTES)
        held = node.client_limits.buffers.open()
        held.resize(BUDGET_BYTES)
        status, head, _ = await fleet.call('/once/a', 0, LARGE, b'large')
        assert status == 503
        assert b'retry-after: 0.500' in head.lower()
        assert b'attempt-id: large' in head.lower()
        small = await fleet.call('/once/a', 0, b'x', b'small')
        assert small[0] == 200
        held.close()
        again = await fleet.call('/once/a', 0, LARGE, b'again')
        assert again[0] == 200
        assert LARGE in again[2]
        runs = [set(one.runs) for one in fleet.backends.values()]
        assert set().union(*runs) == {b'small', b'again'}
        await trio.testing.wait_all_tasks_blocked()
        metrics = node.counters.format(0, 0)
        assert b'{outcome="memory_full",status="503"} 1.0' in metrics
        assert b'hornbeam_held_bytes{kind="request"} 0.0' in metrics
        assert b'hornbeam_held_bytes{kind="answer"} 0.0' in metrics

    run_nodes(scenario)


# Memory: the directory and the readiness probe read bodies of 4 MiB as well.
@pytest.mark.parametrize('port', [8220, 8224])
def test_endpoints_beside_that_of_callers_read_no_bodies(port):
    async def scenario(fleet):
        request = b'POST /-/readyz HTTP/1.1\r\nHost: h\r\nContent-Length: %d'
        address = fleet.nodes[0].settings.host.address
        stream = await trio.open_tcp_stream(address, port)
        async with stream:
            await stream.send_all(request % len(LARGE) + b'\r\n\r\n')
            assert b' 413 ' in await stream.receive_some()
        stream = await trio.open_tcp_stream(address, port)
        async with stream:
            await stream.send_all(request % 0 + b'\r\n\r\n')
            assert b' 200 ' in await stream.receive_some()

    run_nodes(scenario)


# Memory: of the ports beside that of callers only the directory counted.
@pytest.mark.parametrize('port', [8220, 8221, 8224])
def test_connections_to_all_endpoints_count(port):
    async def scenario(fleet):
        node = fleet.nodes[0]
        clients = node.client_limits.buffers.clients
        address = node.settings.host.address
        before = clients.held_bytes
        stream = await trio.open_tcp_stream(address, port)
        async with stream:
            await stream.send_all(b'GET / HTTP/1.1\r\nx: ' + b'y' * 10_000)
            await wait_until(lambda: clients.held_bytes > before + 10_000)
            clients.reclaim(1)
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some():
                    continue
        assert clients.evicted == 1

    run_nodes(scenario)


class LargeTarget:
    """Answers each request with a large body."""

    def __init__(self):
        self.is_answering = trio.Event()

    async def serve(self, address):
        options = ServerOptions(self._answer)
        await serve_http(address, BACKEND_PORT, options)

    async def _answer(self, request, reply):
        self.is_answering.set()
        request_id = find_header(request.headers, b'attempt-id')
        headers = ((b'attempt-id', request_id), (SEAL, b'sealed'))
        await reply.send(200, headers, LARGE)


# 502: a sound answer failed because others held all room; it waits now.
def test_a_large_answer_without_room_waits():
    async def scenario(fleet):
        node = fleet.nodes[0]
        node.client_limits.buffers = BufferBudget(BUDGET_BYTES)
        held = node.client_limits.buffers.open()
        held.resize(BUDGET_BYTES)
        target = LargeTarget()
        address = fleet.address(200)
        fleet.nursery.start_soon(target.serve, address)
        for number in (1, 2):
            name = f'ledger-{number}'
            entry = fleet.backends[name].describe(address, BACKEND_PORT)
            changes = {'sequence': 2, 'born': 2}
            fleet.store.put(f'servers/{name}', {**entry, **changes})
        await trio.sleep(0.3)
        answers, attempts = [], []
        send = node.home.sender.send

        async def measure(call, *others):
            begun_ms = node.clock.now()
            attempt = await send(call, *others)
            took_ms = node.clock.now() - begun_ms
            attempts.append((attempt.duration_ms, took_ms, call.buffer))
            return attempt

        node.home.sender.send = measure

        async def ask():
            answers.append(await fleet.call('/once/a', request_id=b'large'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await target.is_answering.wait()
            await trio.sleep(0.3)
            assert not answers
            assert (await fleet.call('/none/a'))[0] == 404
            held.close()
        assert answers[0][0] == 200
        assert answers[0][2] == LARGE
        duration_ms, took_ms, buffer = attempts[0]
        # The target is not taken for a slow one.
        assert buffer.waited_ms > 0
        assert duration_ms <= took_ms - buffer.waited_ms
        await trio.testing.wait_all_tasks_blocked()
        assert node.client_limits.buffers.held_bytes == 0

    run_nodes(scenario)
