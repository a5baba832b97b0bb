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


def start_calls(fleet, count, path='/once/a'):
    """Send requests to the first node; return their answers as they come."""
    answers = []

    async def call(number):
        name = b'r%d' % number
        status, head, _ = await fleet.call(path, body=b'x', request_id=name)
        answers.append((name, status, head))

    for number in range(count):
        fleet.nursery.start_soon(call, number)
    return answers


def list_ran(fleet):
    return {name for one in fleet.backends.values() for name in one.runs}


# LOST: at the end of the grace time, requests were cut without an answer, among
# them some that had not been sent to a target.
def test_no_request_is_cut_without_an_answer_at_the_end_of_the_grace():
    async def scenario(fleet):
        for backend in fleet.backends.values():
            backend.behaviour.pause_ms = 60_000
        answers = start_calls(fleet, 30)
        await wait_until(lambda: fleet.nodes[0].lease_client.open_count == 30)
        with trio.fail_after(6):
            await drain_node(fleet.nodes[0])
        ran = list_ran(fleet)
        assert 0 < len(ran) < 30
        assert len(answers) == 30
        for name, status, head in answers:
            assert status == (502 if name in ran else 503)
            assert (b'retry-after' in head) == (name not in ran)

    run_nodes(scenario, grace_ms=2000)


# LOST: a request that waited was sent to a target shortly before the end.
def test_what_can_not_end_within_the_grace_is_not_sent():
    async def scenario(fleet):
        for backend in fleet.backends.values():
            backend.behaviour.pause_ms = 700
        for number in range(4):
            await fleet.call('/once/a', body=b'x', request_id=b's%d' % number)
        answers = start_calls(fleet, 40)
        await wait_until(lambda: fleet.nodes[0].lease_client.open_count == 40)
        with trio.fail_after(6):
            await drain_node(fleet.nodes[0])
        await wait_until(lambda: len(answers) == 40)
        ran = list_ran(fleet)
        statuses = {name: status for name, status, _ in answers}
        assert 503 in statuses.values()
        assert all(
            statuses[name] == (200 if name in ran else 503) for name in statuses
        )

    run_nodes(scenario, grace_ms=3000)
