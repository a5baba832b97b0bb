"""Tests of crashing requests and overload with real processes."""

import itertools
import json

import trio

from standins import example
from standins._batch import CRASH_EXIT_CODE
from standins._runs import compose_answer
from tests.fleets import PROMPT, Caller, count_runs, read_text

MARKER = 'CRACKED-FEED'
ENGINES = ('engine-1', 'engine-2')
SEND_COUNT = 12
MAX_CRASHES = 2
HTTP_OK = 200
FLOOD = 250
BURST = 20
BATCH_DEADLINE_MS = '2500'
ALLOWED_RAN = {'yes', 'unknown'}


class EngineRestarter:
    """Restarts engines that a request has crashed, and counts the crashes."""

    def __init__(self, fleet):
        self.crashes = 0
        self._fleet = fleet

    async def run(self):
        while True:
            for name in ENGINES:
                if self._fleet.processes[name].poll() == CRASH_EXIT_CODE:
                    self.crashes += 1
                    await self._fleet.restart(name)
            await trio.sleep(0.1)


def test_a_request_that_crashes_engines_is_refused_after_two(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        restarter = EngineRestarter(fleet)
        other_replies = {}
        refusals = []

        async def send_others():
            for number in itertools.count():
                document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 20}
                reply = await caller.send('consult', document)
                other_replies[number] = reply
                await trio.sleep(0.02)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(restarter.run)
            for _ in range(3):
                nursery.start_soon(send_others)
            poison = {'prompt': f'{MARKER} {PROMPT}', 'max_tokens': 20}
            for _ in range(SEND_COUNT):
                reply = await caller.send('consult', poison)
                refusals.append(reply)
                await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert 1 <= restarter.crashes <= MAX_CRASHES
        documents = list(map(read_problem, refusals))
        assert documents[-1]['title'] == 'quarantined'
        executed = [document['ran'] for document in documents]
        assert 'yes' in executed
        for number, reply in other_replies.items():
            check_other_reply(number, reply)

    run_fleet(scenario, engine_options=('--crash-marker', MARKER))


def read_last(reply):
    return json.loads(reply.body.splitlines()[-1])


def read_problem(reply):
    """Read a problem: the body, or the last line of a streamed answer."""
    document = read_last(reply)
    return document.get('problem', document)


def check_other_reply(number, reply):
    if reply.status == HTTP_OK and 'problem' not in read_last(reply):
        expected = compose_answer(f'{number} {PROMPT}', 20)
        assert read_text(reply) == expected
        return
    document = read_problem(reply)
    assert document['title'] != 'quarantined'
    assert document['ran'] in ALLOWED_RAN


def test_the_top_tier_is_served_in_a_flood_of_the_lowest(run_fleet):
    async def scenario(fleet, addresses, service):
        flooder = Caller(fleet, addresses[0])
        await flooder.lease_ids()
        urgent = Caller(fleet, addresses[1])
        await urgent.lease_ids(example.SMALL_WORKSPACE)
        urgent.workspace = example.SMALL_WORKSPACE
        flooder.headers = {'Hornbeam-Deadline-Ms': BATCH_DEADLINE_MS}
        flooded, served = {}, {}

        async def flood(number):
            document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 30}
            name = flooder.form_id()
            flooded[name] = await flooder.send('tag', document, name)

        async def ask(number):
            document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 20}
            served[number] = await urgent.send('consult', document)

        async with trio.open_nursery() as nursery:
            for number in range(FLOOD):
                nursery.start_soon(flood, number)
            await trio.sleep(0.5)
            for number in range(BURST):
                nursery.start_soon(ask, number)
        assert len(served) == BURST
        for number, reply in served.items():
            assert reply.status == HTTP_OK, reply.body
            expected = compose_answer(f'{number} {PROMPT}', 20)
            assert read_text(reply) == expected
        refused = {
            name: reply.read_json()
            for name, reply in flooded.items()
            if reply.status != HTTP_OK
        }
        assert refused, 'the flood was too small to shed anything'
        ran = [one for one in refused.values() if one['ran'] != 'no']
        assert not ran
        runs = await count_runs(fleet)
        assert not refused.keys() & runs.keys()
        assert set(runs.values()) == {1}

    run_fleet(scenario)
