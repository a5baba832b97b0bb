"""Tests of the graceful shutdown of a node, on loopback."""

import trio

from hornbeampulley.node._drain import drain_node
from tests.nodes import call_and_record, run_nodes, wait_until


def test_open_requests_end_whole_and_callers_are_sent_elsewhere():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.pause_ms = 600
        answers = []
        fleet.nursery.start_soon(call_and_record, fleet, '/once/a', answers)
        node = fleet.nodes[0]
        await wait_until(lambda: node.lease_client.open_count)
        with trio.fail_after(6):
            await drain_node(node)
        assert answers[0][0] == 200
        assert b'connection: close' in answers[0][1]
        other = fleet.nodes[1].membership
        await wait_until(
            lambda: (
                any(one.is_draining for one in other.live)
                or len(other.live) == 1
            ),
        )

    run_nodes(scenario, count=2, grace_ms=4000)


def test_late_requests_are_refused_with_retry_after():
    async def scenario(fleet):
        node = fleet.nodes[0]
        fleet.nursery.start_soon(drain_node, node)
        await wait_until(lambda: node.home.refuses_new)
        status, head, _ = await fleet.call('/once/a')
        assert status == 503
        assert b'retry-after: 0.05' in head
        assert not node.is_ready

    run_nodes(scenario, count=2, grace_ms=2000)
