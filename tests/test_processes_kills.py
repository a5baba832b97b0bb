"""Tests that kill, or stop and resume, real processes during bookings."""

import json
import signal

import httpcore
import trio

from standins.launcher import CALLER_PORT
from tests.fleets import (
    Caller,
    check_booked_once,
    poll_until,
    read_counters,
)

BOOKINGS = 60
PAUSE_S = 0.15
FREEZE_S = 2
ATTEMPTS = 40
KILLED = (
    'host-1-scheduler',
    'host-2-agent',
    'host-1-entry',
    'host-2-scheduler',
    'host-1-agent',
    'host-2-entry',
    'host-3-scheduler',
)
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class BookingCaller:
    """Retries a booking until an answer says that it ran or may have run."""

    def __init__(self, fleet, addresses):
        self.addresses = addresses
        self.executed = {}
        self.outcomes = {}
        self._callers = [Caller(fleet, address) for address in addresses]

    async def book(self, number):
        for attempt in range(ATTEMPTS):
            caller = self._callers[(number + attempt) % len(self._callers)]
            try:
                await caller.lease_ids()
            except (*CONNECTION_ERRORS, KeyError):
                await trio.sleep(PAUSE_S)
                continue
            ran = await self._send(caller, caller.form_id(), number)
            if ran != 'no':
                self.outcomes[number] = ran
                return

    async def _send(self, caller, request_id, number):
        """Send under one id, to each entry in turn, until one answers."""
        for attempt in range(ATTEMPTS):
            index = (number + attempt) % len(self.addresses)
            url = f'http://{self.addresses[index]}:{CALLER_PORT}'
            if not attempt:
                url = caller.url
            try:
                reply = await caller.send(
                    'book',
                    {'slot': number},
                    request_id,
                    url,
                )
            except CONNECTION_ERRORS:
                await trio.sleep(PAUSE_S)
                continue
            ran = reply.headers['hornbeam-ran']
            self.executed[request_id] = ran
            return ran
        raise AssertionError(f'{request_id} was never answered')


def test_no_booking_runs_twice_while_processes_are_killed_in_turn(run_fleet):
    async def scenario(fleet, addresses, service):
        booking_caller = BookingCaller(fleet, addresses)

        async def kill_in_turn():
            for name in KILLED:
                await trio.sleep(PAUSE_S)
                await fleet.restart(name)

        async def keep_booking(first):
            for number in range(first, BOOKINGS, 10):
                await booking_caller.book(number)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_in_turn)
            for first in range(10):
                nursery.start_soon(keep_booking, first)
        counters = await read_counters(fleet, service)
        assert set(counters['calls_by_body'].values()) == {1}
        assert set(counters['calls_by_id'].values()) == {1}
        refused = {
            name for name, ran in booking_caller.executed.items() if ran == 'no'
        }
        assert not refused & set(counters['calls_by_id'])
        assert len(booking_caller.outcomes) == BOOKINGS
        booked = {
            json.dumps({'slot': number})
            for number, ran in booking_caller.outcomes.items()
            if ran == 'yes'
        }
        assert booked <= set(counters['calls_by_body'])

    run_fleet(scenario, hosts=3, service_options=('--delay-ms', '200'))


def test_a_frozen_entry_wakes_and_runs_each_booking_once(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}

        async def book(number):
            replies[number] = await caller.send('book', {'slot': number})

        async def is_running():
            return (await read_counters(fleet, service))['calls_by_id']

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(book, number)
            await poll_until(is_running)
            fleet.send_signal('host-1-entry', signal.SIGSTOP)
            await trio.sleep(FREEZE_S)
            fleet.send_signal('host-1-entry', signal.SIGCONT)
        assert {reply.status for reply in replies.values()} == {200}
        await check_booked_once(fleet, service, 20)

    run_fleet(scenario, slots=1, service_options=('--delay-ms', '200'))
