"""Tests of operator queries against real processes on loopback."""

import contextlib
import functools
import json
import socket
import sys

import pytest
import trio

from hornbeampulley import porcelain, wire
from hornbeampulley.membership import Role
from hornbeampulley.settings import read_settings
from standins import example
from standins._runs import compose_answer
from standins.launcher import PLATFORM_PORT, LocalFleet
from tests.fleets import (
    PROMPT,
    TIMEOUT_S,
    Caller,
    read_text,
    start_fleet,
)

POLL_INTERVAL_S = 0.05
TAG = {'prompt': PROMPT, 'max_tokens': 4}
DATAGRAM_BYTES = 2048


def run_scenario(scenario, folder):
    async def main():
        async with start_fleet(folder) as (fleet, addresses, _service):
            with trio.fail_after(TIMEOUT_S):
                await scenario(fleet, addresses)

    trio.run(main)


def load_settings(fleet, number=1):
    return read_settings(fleet.folder / f'host-{number}-entry.ini')


async def call(function, *arguments):
    """Call a blocking function of the porcelain in a thread."""
    return await trio.to_thread.run_sync(function, *arguments)


async def poll_until_answer(check, function, *arguments):
    """Repeat a blocking query until its answer passes a check."""
    while True:
        answer = await call(function, *arguments)
        if check(answer):
            return answer
        await trio.sleep(POLL_INTERVAL_S)


def list_owners(status):
    return [
        process.incarnation
        for process in status.processes
        for pool in process.pools
        if pool.pool == 'model-pool'
    ]


def test_status_and_explain_report_the_state_of_a_fleet(tmp_path):
    async def scenario(fleet, addresses):
        settings = load_settings(fleet)
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        while True:
            request_id = caller.form_id()
            await caller.send('tag', TAG, request_id)
            status = await call(porcelain.read_status, settings, True)
            explained = await call(
                porcelain.explain_request,
                settings,
                request_id,
            )
            if len(list_owners(status)) == 1 and explained.schedulers:
                break
        check_status(status, addresses)
        assert explained.home.incarnation == caller.ids['incarnation']
        assert (explained.home.state, explained.home.ran) == ('done', 'yes')
        decided = ' '.join(explained.schedulers[0].decisions)
        assert 'engine-' in decided
        unused = await call(
            porcelain.explain_request,
            settings,
            caller.form_id(),
        )
        assert not unused.is_known
        foreign = await call(
            porcelain.explain_request,
            settings,
            '0123456789abcdef.1.1',
        )
        assert foreign.home is None

    run_scenario(scenario, tmp_path)


def check_status(status, addresses):
    assert status.is_good
    places = [(process.address, process.role) for process in status.processes]
    roles = ('agent', 'entry', 'scheduler')
    assert places == [(host, role) for host in addresses for role in roles]
    for process in status.processes:
        scopes = {ticket.scope: ticket.number for ticket in process.tickets}
        assert scopes['tiers'] == scopes['targets/model-pool'] == 1
    (pool,) = (
        pool
        for process in status.processes
        for pool in process.pools
        if pool.pool == 'model-pool'
    )
    assert [target.name for target in pool.targets] == ['engine-1', 'engine-2']


def test_drain_completes_open_requests_and_stops_each_daemon(tmp_path):
    async def scenario(fleet, addresses):
        settings = load_settings(fleet)
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = []
        drain_started = trio.Event()

        async def consult():
            document = {'prompt': PROMPT, 'max_tokens': 200}
            while not drain_started.is_set():
                replies.append(await caller.send('consult', document))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(consult)
            await poll_until_answer(
                is_entry_busy, porcelain.read_status, settings
            )
            drain_started.set()
            await drain(fleet, settings, Role.ENTRY)
        for reply in replies:
            assert read_text(reply) == compose_answer(PROMPT, 200)
        await drain(fleet, settings, Role.SCHEDULER)
        await drain(fleet, settings, Role.AGENT)
        with pytest.raises(porcelain.UnreachableError):
            await drain(fleet, settings, Role.AGENT)

    run_scenario(scenario, tmp_path)


def is_entry_busy(status):
    loads = [
        process.load
        for process in status.processes
        if process.role == Role.ENTRY.value
    ]
    return loads == [1]


async def drain(fleet, settings, role):
    drained = await call(
        porcelain.drain_process,
        settings,
        role,
        TIMEOUT_S * 1000.0,
    )
    assert drained.is_gone
    assert await fleet.wait_exit(f'host-1-{role.value}') == 0


def test_malformed_query_gets_an_error_and_stops_no_daemon(tmp_path):
    async def scenario(fleet, addresses):
        ports = load_settings(fleet).ports
        querier = wire.Querier('host-1', addresses[0])
        for port in (ports.entry_peer, ports.scheduler_peer, ports.agent_peer):
            for command in ('', 'absent', 'drain'):
                text = await querier.ask(addresses[0], port, command, 'x' * 99)
                with pytest.raises(wire.QueryError):
                    wire.read_process_report(text)
            await send_garbage(addresses[0], port)
            text = await querier.ask(addresses[0], port, 'status')
            assert wire.read_process_report(text).address == addresses[0]

    run_scenario(scenario, tmp_path)


async def send_garbage(address, port):
    """Send an invalid frame and wait for the connection to be closed."""
    stream = await wire.open_stream(address, port, address)
    async with stream:
        await stream.send_all(b'\xff' * 64)
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                continue


def test_the_command_line_writes_the_status_as_json(tmp_path):
    async def scenario(fleet, addresses):
        command = [
            sys.executable,
            '-m',
            'hornbeampulley.programs.operator',
            'status',
            '--json',
            '--settings',
            str(fleet.folder / 'host-1-agent.ini'),
        ]
        finished = await trio.run_process(command, capture_stdout=True)
        status = json.loads(finished.stdout)
        assert status['unreached'] == []
        assert {process['role'] for process in status['processes']} == {
            'agent',
            'entry',
            'scheduler',
        }

    run_scenario(scenario, tmp_path)


def test_daemons_send_their_metrics(tmp_path):
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(('127.0.0.1', 0))
    fleet = LocalFleet(tmp_path)
    try:
        trio.run(run_fleet_with_metrics, fleet, server)
    finally:
        fleet.stop()
        server.close()


async def run_fleet_with_metrics(fleet, server):
    with trio.fail_after(TIMEOUT_S):
        fleet.start_platform()
        platform = f'http://{fleet.platform_address}:{PLATFORM_PORT}/hosts'
        await fleet.wait_listening(platform)
        engines = {'engine-1': fleet.start_target('engine', 1)}
        address = fleet.add_host(1, 'zone-a')
        for path in fleet.folder.glob('*.ini'):
            port = server.getsockname()[1]
            with path.open('a') as file:
                file.write('[metrics]\nstatsd_address = 127.0.0.1\n')
                file.write(f'statsd_port = {port}\n')
        for daemon in ('agent', 'scheduler', 'entry'):
            fleet.start_daemon(1, daemon)
        await example.publish_example(fleet, engines, {})
        await fleet.wait_entries(address, example.WORKSPACE, 1)
        caller = Caller(fleet, address)
        await caller.lease_ids()
        reply = await caller.send('tag', TAG)
        assert read_text(reply) == compose_answer(PROMPT, 4)
        await receive_expected_metrics(server)


async def receive_expected_metrics(server):
    wanted = {
        'hornbeam.entry.goodput.batch',
        'hornbeam.entry.queue_wait.batch',
        'hornbeam.scheduler.takeovers.model-pool',
        'hornbeam.agent.ticket_number.tiers',
        'hornbeam.agent.ticket_age.targets_model-pool',
    }
    receive = functools.partial(server.recv, DATAGRAM_BYTES)
    while wanted:
        datagram = await trio.to_thread.run_sync(
            receive,
            abandon_on_cancel=True,
        )
        wanted.discard(datagram.decode().split(':')[0])
