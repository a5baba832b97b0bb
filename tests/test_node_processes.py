"""Tests of nodes as processes that are killed, paused and cut off."""

import signal

import pytest
import trio

from tests.node_processes import (
    NODES,
    list_booking_violations,
    run_processes,
)
from tests.nodes import BACKEND_PORT, EVENTS, unchunk, wait_until
from tests.proxies import Mode

CALLERS = 6
CALLS = 25


def check_bookings(nodes, statuses):
    """Check that the executions of each booking agree with its status."""
    assert len(statuses) == CALLERS * CALLS
    assert 200 in statuses.values()
    assert not list_booking_violations(nodes, statuses)


def start_callers(nursery, nodes):
    """Start callers; return the statuses by request id, filled as they come."""
    statuses = {}
    for caller in range(CALLERS):
        nursery.start_soon(send_bookings, nodes, statuses, caller)
    return statuses


async def send_bookings(nodes, statuses, caller):
    """Send bookings to the nodes in turn, each with an id of its own."""
    for number in range(CALLS):
        request_id = b'%016x' % (caller * CALLS + number)
        node = (caller + number) % NODES
        status, _ = await nodes.call(node, '/once/a', request_id)
        statuses[request_id] = status


def test_no_booking_runs_twice_while_nodes_are_killed_and_paused(tmp_path):
    async def scenario(nodes):
        async with trio.open_nursery() as nursery:
            statuses = start_callers(nursery, nodes)
            for number in range(NODES):
                await wait_until(lambda: len(statuses) > 20 * number)  # noqa: B023
                nodes.signal((number + 1) % NODES, signal.SIGSTOP)
                await nodes.replace(number)
                nodes.signal((number + 1) % NODES, signal.SIGCONT)
        check_bookings(nodes, statuses)
        for number in range(NODES):
            await nodes.wait_served(number)

    run_processes(scenario, tmp_path)


def test_all_are_told_to_end_in_turn_while_requests_come(tmp_path):
    async def scenario(nodes):
        async with trio.open_nursery() as nursery:
            statuses = start_callers(nursery, nodes)
            for number in range(NODES):
                nodes.signal(number, signal.SIGTERM)
                await nodes.running[number].wait()
                assert nodes.running[number].returncode == 0
                await nodes.start(number)
                await nodes.wait_served(number)
        check_bookings(nodes, statuses)

    run_processes(scenario, tmp_path)


def test_a_node_cut_off_from_the_store_applies_a_change(tmp_path):
    async def scenario(nodes):
        nodes.store_proxies[0].set_mode(Mode.SILENT)
        nodes.store_proxies[1].set_mode(Mode.REFUSED)
        nodes.store_proxies[1].reset()
        path = nodes.change_config()
        for number in range(NODES):
            await nodes.wait_served(number, path, limit_s=5)

    run_processes(scenario, tmp_path)


# CONFIG: after the store had lost its answers to all hosts none of them heard of a
# change for up to 9.5 s.
def test_nodes_soon_hear_of_a_change_after_all_answers_were_lost(tmp_path):
    async def scenario(nodes):
        await trio.sleep(1)
        for proxy in nodes.store_proxies:
            proxy.mute()
        path = nodes.change_config()
        for number in range(NODES):
            await nodes.wait_served(number, path, limit_s=5)

    run_processes(scenario, tmp_path)


def test_a_backend_that_falls_silent_costs_no_second_booking(tmp_path):
    async def scenario(nodes):
        async with trio.open_nursery() as nursery:
            statuses = start_callers(nursery, nodes)
            await wait_until(lambda: len(statuses) > 10)
            # The last two proxies are those of the ledger service.
            silent, resetting = nodes.backend_proxies[2:]
            silent.set_mode(Mode.NO_ANSWERS)
            await trio.sleep(0.5)
            resetting.reset()
            silent.set_mode(Mode.PASS)
        check_bookings(nodes, statuses)

    run_processes(scenario, tmp_path)


async def begin_stream(nodes, **versions):
    """Let a stream break off after an event while engines have versions.

    Returns the engine that began it, and the other one.
    """
    fleet = nodes.fleet
    for name, version in versions.items():
        backend = fleet.backends[name.replace('_', '-')]
        place = list(fleet.backends).index(backend.name)
        entry = backend.describe(fleet.address(50 + place), BACKEND_PORT)
        changed = {**entry, 'version': version, 'sequence': 2}
        fleet.store.put(f'servers/{backend.name}', changed)
    await trio.sleep(0.5)
    engines = [fleet.backends[f'engines-{number}'] for number in (1, 2)]
    for engine in engines:
        engine.behaviour.breaks_after = 1
    await nodes.call(0, '/stream/a', b'first')
    for engine in engines:
        engine.behaviour.breaks_after = -1
    engines.sort(key=lambda engine: -engine.runs[b'first'])
    return engines


async def take_up(nodes, number, request_id):
    return await nodes.call(
        number, '/stream/a', request_id, resumes='first', last_event_id='1'
    )


# ORDER: all hosts were killed while two versions served; streams taken up again
# were joined from both.
def test_no_stream_changes_its_version_when_all_nodes_are_killed(tmp_path):
    async def scenario(nodes):
        _begun, other = await begin_stream(
            nodes, engines_1='v1', engines_2='v2'
        )
        for number in range(NODES):
            nodes.signal(number, signal.SIGKILL)
        for number in range(NODES):
            await nodes.running[number].wait()
            await nodes.start(number)
        for number in range(NODES):
            await nodes.wait_served(number)
            status, _ = await take_up(nodes, number, b'up%d' % number)
            assert status == 503
        assert not other.runs

    run_processes(scenario, tmp_path)


# LOST: the same where one version has served all the time; all streams were lost.
def test_a_stream_of_the_only_version_goes_on_when_all_are_killed(tmp_path):
    async def scenario(nodes):
        await begin_stream(nodes)
        for number in range(NODES):
            nodes.signal(number, signal.SIGKILL)
        for number in range(NODES):
            await nodes.running[number].wait()
            await nodes.start(number)
        await nodes.wait_served(0)
        status, body = await take_up(nodes, 0, b'up')
        assert status == 200
        assert unchunk(body) == b''.join(EVENTS[1:])

    run_processes(scenario, tmp_path)


# LOST: the host that began a stream is killed, then each of the others in turn.
def test_a_stream_goes_on_at_its_version_when_its_home_is_killed(tmp_path):
    async def scenario(nodes):
        begun, other = await begin_stream(nodes, engines_1='v1', engines_2='v2')
        await nodes.replace(0)
        await nodes.wait_served(0)
        for number in (1, 2, 0):
            name = b'up%d' % number
            status, body = await take_up(nodes, number, name)
            assert status == 200
            assert unchunk(body) == b''.join(EVENTS[1:])
            assert begun.runs[name] == 1
        assert not other.runs

    run_processes(scenario, tmp_path)


# LOST: all hosts but one were killed, and the one that was left, or those that came
# back, did not know the streams.
@pytest.mark.parametrize('survivor', range(NODES))
def test_a_stream_goes_on_when_all_hosts_but_one_are_killed(tmp_path, survivor):
    async def scenario(nodes):
        begun, other = await begin_stream(nodes, engines_1='v1', engines_2='v2')
        lost = [number for number in range(NODES) if number != survivor]
        for number in lost:
            nodes.signal(number, signal.SIGKILL)
        for number in lost:
            await nodes.running[number].wait()
        await nodes.wait_served(survivor)
        for number in lost:
            await nodes.start(number)
        for number in (survivor, *lost):
            await nodes.wait_served(number)
            name = b'up%d' % number
            status, body = await take_up(nodes, number, name)
            assert status == 200
            assert unchunk(body) == b''.join(EVENTS[1:])
            assert begun.runs[name] == 1
        assert not other.runs

    run_processes(scenario, tmp_path)
