"""Tests in which open connections go silent while new ones work."""

import json

import trio

from standins._runs import compose_answer
from standins.launcher import CALLER_PORT, TARGET_PORT
from tests.fleets import (
    PROMPT,
    Caller,
    check_replies,
    count_runs,
    poll_until,
    read_counters,
    read_text,
    send_many,
)

TOKENS = 100
SILENT = {'mode': 'silent'}


def make_document(number):
    return {'prompt': f'{number} {PROMPT}', 'max_tokens': TOKENS}


async def wait_running(fleet, request_ids):
    async def check():
        return set(request_ids) <= set(await count_runs(fleet))

    await poll_until(check)


class ReconnectingReader:
    """Reads an answer and reconnects for it if the connection goes silent."""

    def __init__(self, caller):
        self.caller = caller
        self.reconnects = 0

    async def read(self, number, request_id, replies, silenced):
        """Send a request; repeat it under the same id once silent."""
        document = make_document(number)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._ask,
                document,
                request_id,
                replies,
                nursery.cancel_scope,
            )
            await silenced.wait()
            self.reconnects += 1
            nursery.cancel_scope.cancel()
        replies[request_id] = await self.caller.send(
            'consult',
            document,
            request_id,
        )

    async def _ask(self, document, request_id, replies, scope):
        replies[request_id] = await self.caller.send(
            'consult',
            document,
            request_id,
        )
        scope.cancel()


def test_silent_engine_connections_cost_no_part_of_an_answer(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}

        async def ask(number, request_id):
            document = make_document(number)
            replies[number] = await caller.send('consult', document, request_id)

        names = [caller.form_id() for _ in range(6)]
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(names):
                nursery.start_soon(ask, number, name)
            await wait_running(fleet, names)
            for engine in (1, 2):
                url = f'http://{fleet.network}.2.{engine}:{TARGET_PORT}/fault'
                await fleet.request('POST', url, json.dumps(SILENT).encode())
        for number in range(len(names)):
            prompt = make_document(number)['prompt']
            expected = compose_answer(prompt, TOKENS)
            assert read_text(replies[number]) == expected
        assert await count_runs(fleet) == dict.fromkeys(names, 1)

    run_fleet(scenario)


def test_silent_entry_connections_cost_no_part_of_an_answer(run_fleet):
    """Silences all links of the home: callers, engines, peers and agent."""

    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        other = f'http://{addresses[1]}:{CALLER_PORT}'
        direct = [caller.form_id() for _ in range(3)]
        forwarded = [caller.form_id() for _ in range(3)]
        replies = {}
        silenced = trio.Event()
        reader = ReconnectingReader(caller)

        async def forward(number, request_id):
            replies[request_id] = await caller.send(
                'consult',
                make_document(number),
                request_id,
                other,
            )

        async with trio.open_nursery() as nursery:
            for number, name in enumerate(direct):
                nursery.start_soon(reader.read, number, name, replies, silenced)
            for number, name in enumerate(forwarded, len(direct)):
                nursery.start_soon(forward, number, name)
            await wait_running(fleet, direct + forwarded)
            fleet.silence('host-1-entry')
            silenced.set()
        assert reader.reconnects == len(direct)
        for number, name in enumerate(direct + forwarded):
            prompt = make_document(number)['prompt']
            expected = compose_answer(prompt, TOKENS)
            assert read_text(replies[name]) == expected
        runs = await count_runs(fleet)
        assert runs == dict.fromkeys(direct + forwarded, 1)

    run_fleet(scenario, can_silence=True)


def test_silent_peer_links_lose_no_request_and_no_ticket(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        replies = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, caller, 20, replies)
            await trio.sleep(0.2)
            for name in ('host-1-agent', 'host-1-scheduler'):
                fleet.silence(name)
                await trio.sleep(0.2)
            fleet.silence('host-2-scheduler')
            await send_many(caller, 20, replies, first=20)
        check_replies(replies, 40)
        counters = await read_counters(fleet, service)
        assert set(counters['calls_by_body'].values()) == {1}
        state = [{'name': 'workshop', 'share': 1}, {'name': 'new-shop'}]
        await fleet.publish_ticket(2, 'workspaces', state)
        for address in addresses:
            await fleet.wait_entries(address, 'new-shop', len(addresses))

    run_fleet(scenario, can_silence=True)
