"""Tests that a node reads no more bodies than it has memory for."""

import trio.testing

from hornbeampulley.http1 import BufferBudget
from hornbeampulley.http1._buffers import SMALL_BYTES
from tests.nodes import run_nodes

BUDGET_BYTES = 8 * SMALL_BYTES
LARGE = bytes(3 * SMALL_BYTES)


# Memory: a host whose memory was full read on and sent the request.
def test_a_body_without_room_is_refused_as_not_run():
    async def scenario(fleet):
        node = fleet.nodes[0]
        node.buffers = BufferBudget(BUDGET_BYTES)
        held = node.buffers.open()
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
