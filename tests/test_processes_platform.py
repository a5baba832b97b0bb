"""Tests with the platform down, stale or inconsistent."""

import json
import signal

import trio

from hornbeampulley import porcelain
from hornbeampulley.settings import read_settings
from standins import example
from standins.launcher import CONTROL_PORT, DAEMONS
from tests.fleets import (
    PROMPT,
    Caller,
    poll_until,
    read_counters,
    read_text,
    send_many,
)

SCOPE = 'workspaces'
OBSERVE_S = 2


def make_workspaces(*names):
    return [{'name': name, 'share': 1} for name in (example.WORKSPACE, *names)]


async def set_platform(fleet, mode):
    await fleet.control('POST', '/fault', {'mode': mode})


async def read_status(fleet):
    settings = read_settings(fleet.folder / 'host-1-entry.ini')
    return await trio.to_thread.run_sync(porcelain.read_status, settings, True)


async def read_numbers(fleet, hosts):
    """Return the number of the ticket in force at each process."""
    status = await read_status(fleet)
    numbers = [
        ticket.number
        for process in status.processes
        for ticket in process.tickets
        if ticket.scope == SCOPE
    ]
    if len(numbers) < hosts * len(DAEMONS):
        return []
    return numbers


async def wait_number(fleet, hosts, number):
    async def check():
        return set(await read_numbers(fleet, hosts)) == {number}

    await poll_until(check)


async def check_stays(fleet, hosts, number):
    """Check for a while that no process has another number in force."""
    with trio.move_on_after(OBSERVE_S):
        while True:
            assert set(await read_numbers(fleet, hosts)) <= {number}
            await trio.sleep(0.1)


def count_events(fleet, event):
    lines = [line for log in fleet.read_logs() for line in log]
    return sum(f' event={event} ' in line for line in lines)


def test_a_stale_service_and_restarts_never_take_a_ticket_back(run_fleet):
    async def scenario(fleet, addresses, service):
        hosts = len(addresses)
        await set_platform(fleet, 'stale')
        await fleet.publish_ticket(2, SCOPE, make_workspaces('new-shop'))
        await check_stays(fleet, hosts, 1)
        await set_platform(fleet, 'up')
        await wait_number(fleet, hosts, 2)
        # The service serves number 1 again, which is older than the one in
        # force.
        await fleet.publish_ticket(1, SCOPE, make_workspaces())
        await set_platform(fleet, 'stale')
        for daemon in DAEMONS:
            await fleet.restart(f'host-1-{daemon}')
        for address in addresses:
            await fleet.wait_entries(address, 'new-shop', hosts)
        await wait_number(fleet, hosts, 2)
        await check_stays(fleet, hosts, 2)

    run_fleet(scenario, hosts=3)


def test_a_ticket_seen_once_reaches_all_though_the_service_is_down(run_fleet):
    async def scenario(fleet, addresses, service):
        hosts = len(addresses)
        # Only the agent of host 1 can read the service meanwhile.
        for number in range(2, hosts + 1):
            fleet.send_signal(f'host-{number}-agent', signal.SIGSTOP)
        await fleet.publish_ticket(2, SCOPE, make_workspaces('new-shop'))
        await fleet.wait_entries(addresses[0], 'new-shop', 1)
        await set_platform(fleet, 'down')
        for number in range(2, hosts + 1):
            fleet.send_signal(f'host-{number}-agent', signal.SIGCONT)
        await wait_number(fleet, hosts, 2)
        caller = Caller(fleet, addresses[-1])
        await caller.lease_ids()
        consult = {'prompt': PROMPT, 'max_tokens': 4}
        read_text(await caller.send('consult', consult))

    run_fleet(scenario, hosts=3)


def test_an_operator_race_turns_no_ticket_back_and_is_reported(run_fleet):
    async def scenario(fleet, addresses, service):
        hosts = len(addresses)
        await fleet.publish_ticket(3, SCOPE, make_workspaces('third'))
        await wait_number(fleet, hosts, 3)
        await fleet.publish_ticket(3, SCOPE, make_workspaces('rival'))

        async def is_reported():
            status = await read_status(fleet)
            return any(process.conflicts for process in status.processes)

        await poll_until(is_reported)
        await fleet.publish_ticket(2, SCOPE, make_workspaces('second'))
        await check_stays(fleet, hosts, 3)
        half = json.dumps({'ticket': 4, 'scope': SCOPE, 'state': []})[:-4]
        url = f'http://{fleet.platform_address}:{CONTROL_PORT}'
        path = f'/config/tickets/{SCOPE}'
        await fleet.request('PUT', f'{url}{path}', half.encode())

        async def is_rejected():
            return count_events(fleet, 'ticket_rejected')

        await poll_until(is_rejected)
        await check_stays(fleet, hosts, 3)
        for address in addresses:
            await fleet.wait_entries(address, 'third', hosts)
        await fleet.publish_ticket(4, SCOPE, make_workspaces('fourth'))
        await wait_number(fleet, hosts, 4)

    run_fleet(scenario)


async def count_all_runs(fleet, number):
    address = f'{fleet.network}.2.{number}'
    return (await read_counters(fleet, address))['runs']


def test_a_leaving_target_ends_what_runs_and_gets_nothing_new(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}

        async def ask(number):
            document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 200}
            replies[number] = await caller.send('consult', document)

        async def is_running():
            return await count_all_runs(fleet, 2)

        async def knows_leaving():
            logs = [line for log in fleet.read_logs() for line in log]
            informed = {
                line.split(' host=')[1].split()[0]
                for line in logs
                if ' event=ticket_applied ' in line
                and ' scope=hosts number=2' in line
            }
            return len(informed) == len(addresses)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, number)
            await poll_until(is_running)
            await fleet.mark_leaving('engine-2')
            await poll_until(knows_leaving)
            # Leases granted before the change remain valid for a second.
            await trio.sleep(OBSERVE_S)
            before = await count_all_runs(fleet, 2)
            later = {}
            await send_many(caller, 30, later, first=100)
        for reply in (*replies.values(), *later.values()):
            assert reply.status == 200
        for reply in replies.values():
            read_text(reply)
        assert await count_all_runs(fleet, 2) == before
        assert set(before.values()) == {1}

    run_fleet(scenario)
