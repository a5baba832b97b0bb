"""Tests with real processes on loopback; no assertion depends on timing."""

import contextlib
import json
import signal

import httpcore
import pytest
import trio

from hornbeampulley.client import Client, ClientSettings
from hornbeampulley.errors import OutcomeUnknownError
from hornbeampulley.programs._process import EXIT_CUT_OFF
from hornbeampulley.timeline import merge_logs
from standins import example
from standins._runs import compose_answer
from standins.launcher import CALLER_PORT
from tests.fleets import (
    PROMPT,
    Caller,
    check_booked_once,
    check_replies,
    poll_until,
    read_counters,
    read_text,
    send_many,
    wait_admitted,
)

BROKEN = (httpcore.RemoteProtocolError, httpcore.NetworkError)


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
            except BROKEN:
                lost.append((request_id, document))

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(send, number)
            await wait_admitted(fleet, 30)
            fleet.send_signal('host-1-entry', signal.SIGKILL)
        executed = {}
        for request_id, document in lost:
            reply = await caller.send('consult', document, request_id, other)
            executed[request_id] = reply.read_json()['ran']
        runs = {}
        for number in (1, 2):
            address = f'{fleet.network}.2.{number}'
            runs |= (await read_counters(fleet, address))['runs']
        never_ran = {name for name, ran in executed.items() if ran == 'no'}
        assert not never_ran & set(runs)
        assert never_ran
        assert set(executed.values()) == {'no', 'unknown'}

    run_fleet(scenario, slots=1)


def test_the_caller_library_ends_every_request_through_a_killed_entry(
    run_fleet,
):
    async def scenario(fleet, addresses, service):
        answers, unknown = {}, {}

        async def send(client, number):
            kind = ('book', 'consult', 'tag')[number % 3]
            document = {
                'book': {'slot': number},
                'consult': {'prompt': f'{number} {PROMPT}', 'max_tokens': 30},
                'tag': {'prompt': f'nib {number}', 'max_tokens': 4},
            }[kind]
            body = json.dumps(document).encode()
            try:
                answer = await client.send(kind, body)
            except OutcomeUnknownError as error:
                unknown[number] = error.request_id
            else:
                answers[number] = (kind, document, answer)

        seeds = [f'http://{address}:{CALLER_PORT}' for address in addresses]
        settings = ClientSettings(silence_ms=1000)
        async with Client(seeds, example.WORKSPACE, settings) as client:
            async with trio.open_nursery() as nursery:
                for number in range(36):
                    nursery.start_soon(send, client, number)
                await trio.sleep(0.4)
                fleet.send_signal('host-1-entry', signal.SIGKILL)
        assert sorted([*answers, *unknown]) == list(range(36))
        for kind, document, answer in answers.values():
            check_answer(kind, document, answer)
        dispatched = await list_dispatched(fleet, service)
        assert {
            each.request_id for _, _, each in answers.values()
        } <= dispatched
        assert set(unknown.values()) <= dispatched | list_leased(fleet)
        counters = await read_counters(fleet, service)
        assert set(counters['calls_by_body'].values()) <= {1}

    run_fleet(scenario, slots=1)


def check_answer(kind, document, answer):
    assert answer.status == 200
    if kind == 'book':
        assert answer.read_json()['body'] == json.dumps(document)
        return
    lines = answer.read_lines()
    text = ''.join(line['text'] for line in lines if 'token' in line)
    assert text == compose_answer(document['prompt'], document['max_tokens'])


def list_leased(fleet):
    events = merge_logs(fleet.read_logs()).events
    return {event.request for event in events if event.name == 'lease_sent'}


async def list_dispatched(fleet, service):
    counters = await read_counters(fleet, service)
    dispatched = set(counters['calls_by_id'])
    for number in (1, 2):
        address = f'{fleet.network}.2.{number}'
        runs = (await read_counters(fleet, address))['runs']
        dispatched |= {name.partition('-')[0] for name in runs}
    return dispatched


def test_floods_and_garbage_end_no_entry(run_fleet):
    async def scenario(fleet, addresses, _service):
        flood = b''.join(
            b'x-%d: %b\r\n' % (number, b'y' * 1000) for number in range(200)
        )
        texts = (
            b'GET /v1/entries HTTP/1.1\r\nhost: x\r\n%b\r\n' % flood,
            b'GET /%b HTTP/1.1\r\n\r\n' % (b'z' * 100_000),
            b'POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n',
            bytes(range(256)) * 100,
        )
        for text in texts:
            assert await exchange_bytes(addresses[0], text) in {b'', b'4'}
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        status = await caller.send('status', {'order': 'x'})
        assert status.status == 200

    run_fleet(scenario)


async def exchange_bytes(address, text):
    """Return the first digit of the status; empty if the server closes."""
    stream = await trio.open_tcp_stream(address, CALLER_PORT)
    received = b''
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(text)
        await stream.send_eof()
    with contextlib.suppress(trio.BrokenResourceError):
        received = await stream.receive_some()
    await stream.aclose()
    return received.partition(b' ')[2][:1]


def test_a_second_sigterm_ends_at_once(run_fleet):
    async def scenario(fleet, addresses, _service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        log = fleet.folder / 'host-1-entry.log'

        async def drains():
            return 'event=drain_started' in log.read_text()

        async def send():
            document = {'prompt': PROMPT, 'max_tokens': 100_000}
            with pytest.raises(BROKEN):
                await caller.send('consult', document)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_admitted(fleet, 1)
            fleet.send_signal('host-1-entry', signal.SIGTERM)
            await poll_until(drains)
            fleet.send_signal('host-1-entry', signal.SIGTERM)
            assert await fleet.wait_exit('host-1-entry') == EXIT_CUT_OFF

    run_fleet(scenario)
