"""Tests with real processes on loopback; no verdict depends on timing."""

import signal

import httpcore
import pytest
import trio

from standins._runs import compose_answer
from standins.launcher import CALLER_PORT
from tests.fleets import (
    PROMPT,
    Caller,
    check_booked_once,
    check_replies,
    read_counters,
    read_text,
    send_many,
)


def test_each_kind_of_request_is_served_from_end_to_end(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        consult = {'prompt': PROMPT, 'max_tokens': 20}
        reply = await caller.send('consult', consult)
        assert read_text(reply) == compose_answer(PROMPT, 20)
        booked = await caller.send('book', {'slot': 3})
        assert booked.headers['hornbeam-ran'] == 'yes'
        status = await caller.send('status', {'order': 'x'})
        assert status.read_json()['order'] == 'x'
        counters = await read_counters(fleet, service)
        assert list(counters['calls_by_id'].values()) == [1]

    run_fleet(scenario)


def test_a_repeat_at_any_entry_gets_the_same_answer_and_runs_once(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        request_id = caller.form_id()
        other = f'http://{addresses[1]}:{CALLER_PORT}'
        first = await caller.send('book', {'slot': 1}, request_id)
        again = await caller.send('book', {'slot': 1}, request_id)
        elsewhere = await caller.send('book', {'slot': 1}, request_id, other)
        assert first.body == again.body == elsewhere.body
        counters = await read_counters(fleet, service)
        assert counters['calls_by_id'] == {request_id: 1}

    run_fleet(scenario)


async def wait_admitted(fleet, count):
    log = fleet.folder / 'host-1-entry.log'
    for _ in range(1000):
        if log.read_text().count('event=request_admitted') >= count:
            return
        await trio.sleep(0.02)
    pytest.fail(f'{count} requests were not admitted')


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_requests_survive_the_loss_of_their_scheduler(run_fleet, number):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, caller, 30, replies)
            await trio.sleep(0.3)
            fleet.send_signal('host-1-scheduler', number)
            await trio.sleep(0.3)
            await send_many(caller, 30, replies, first=30)
        fleet.send_signal('host-2-scheduler', number)
        fleet.send_signal('host-1-scheduler', signal.SIGCONT)
        await send_many(caller, 30, replies, first=60)
        check_replies(replies, 90)
        await check_booked_once(fleet, service, 30)

    run_fleet(scenario)


def test_a_home_goes_on_alone_without_any_scheduler(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        for number in (1, 2):
            fleet.send_signal(f'host-{number}-scheduler', signal.SIGKILL)
        replies = {}
        await send_many(caller, 12, replies)
        check_replies(replies, 12)
        await check_booked_once(fleet, service, 4)

    run_fleet(scenario)


def test_sigterm_cuts_off_no_request(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, caller, 30, replies)
            await wait_admitted(fleet, 30)
            for daemon in ('scheduler', 'entry', 'agent'):
                fleet.send_signal(f'host-1-{daemon}', signal.SIGTERM)
        check_replies(replies, 30)
        await check_booked_once(fleet, service, 10)
        for daemon in ('scheduler', 'entry', 'agent'):
            assert await fleet.wait_exit(f'host-1-{daemon}') == 0

    run_fleet(scenario)


def test_requests_left_on_a_killed_entry_get_a_true_fate(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        other = f'http://{addresses[1]}:{CALLER_PORT}'
        lost = []

        async def send(number):
            request_id = caller.form_id()
            document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 60}
            try:
                await caller.send('consult', document, request_id)
            except (httpcore.NetworkError, httpcore.RemoteProtocolError):
                lost.append((request_id, document))

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(send, number)
            await wait_admitted(fleet, 30)
            fleet.send_signal('host-1-entry', signal.SIGKILL)
        fates = {}
        for request_id, document in lost:
            reply = await caller.send('consult', document, request_id, other)
            fates[request_id] = reply.read_json()['ran']
        runs = {}
        for number in (1, 2):
            address = f'{fleet.network}.2.{number}'
            runs |= (await read_counters(fleet, address))['runs']
        never_ran = {name for name, ran in fates.items() if ran == 'no'}
        assert not never_ran & set(runs)
        assert never_ran
        assert set(fates.values()) == {'no', 'unknown'}

    run_fleet(scenario, slots=1)
