"""Helpers that start fleets of real processes and send them requests."""

import contextlib
import json

import trio

from standins import example
from standins._runs import compose_answer
from standins.launcher import (
    CALLER_PORT,
    PLATFORM_PORT,
    TARGET_PORT,
    LocalFleet,
)

TIMEOUT_S = 60
POLL_INTERVAL_S = 0.05
PROMPT = 'the nib scratches on the upstroke ' * 20


class Caller:
    """Client of one entry that makes request ids from a leased prefix."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.url = f'http://{address}:{CALLER_PORT}'
        self.ids = {}
        self.counter = 0
        self.workspace = example.WORKSPACE
        self.headers = {}

    async def lease_ids(self, workspace=example.WORKSPACE):
        url = f'{self.url}/v1/entries?workspace={workspace}'
        self.ids = (await self.fleet.request('GET', url)).read_json()['ids']

    def form_id(self):
        self.counter += 1
        incarnation, number = self.ids['incarnation'], self.ids['number']
        return f'{incarnation}.{number}.{self.counter}'

    async def send(self, service, document, request_id=None, url=None):
        request_id = request_id or self.form_id()
        headers = {
            'Hornbeam-Workspace': self.workspace,
            'Hornbeam-Service': service,
            **self.headers,
        }
        path = f'{url or self.url}/v1/requests/{request_id}'
        body = json.dumps(document).encode()
        return await self.fleet.request('POST', path, body, headers)


async def poll_until(check):
    """Wait until an async function returns a true value."""
    with trio.fail_after(TIMEOUT_S):
        while not await check():  # noqa: ASYNC110
            await trio.sleep(POLL_INTERVAL_S)


def read_text(reply):
    lines = [json.loads(line) for line in reply.body.splitlines()]
    assert lines[-1].get('done') is True, lines[-1]
    return ''.join(line['text'] for line in lines if 'token' in line)


async def read_counters(fleet, address):
    url = f'http://{address}:{TARGET_PORT}/counters'
    return (await fleet.request('GET', url)).read_json()


async def count_runs(fleet):
    """Count the runs of each request on both engines, without resumptions."""
    runs = {}
    for number in (1, 2):
        counters = await read_counters(fleet, f'{fleet.network}.2.{number}')
        for name, starts in counters['runs'].items():
            starts -= counters['resumed'].get(name, 0)
            # A stream that moves to another engine has a suffix to its id.
            request_id = name.partition('-')[0]
            runs[request_id] = runs.get(request_id, 0) + starts
    return runs


@contextlib.asynccontextmanager
async def start_fleet(
    folder,
    hosts=2,
    slots=4,
    engine_options=(),
    service_options=(),
    can_silence=False,
):
    fleet = LocalFleet(folder, can_silence=can_silence)
    try:
        with trio.fail_after(TIMEOUT_S):
            fleet.start_platform()
            platform = f'http://{fleet.platform_address}:{PLATFORM_PORT}/hosts'
            await fleet.wait_listening(platform)
            engines = {
                f'engine-{number}': fleet.start_target(
                    'engine',
                    number,
                    *engine_options,
                )
                for number in (1, 2)
            }
            services = {
                'service-11': fleet.start_target(
                    'service',
                    11,
                    *service_options,
                ),
            }
            addresses = [
                fleet.start_host(number + 1, f'zone-{"abcd"[number]}')
                for number in range(hosts)
            ]
            await example.publish_example(fleet, engines, services, slots)
            for address in addresses:
                await fleet.wait_entries(address, example.WORKSPACE, hosts)
            yield fleet, addresses, services['service-11']
    finally:
        fleet.stop()


async def send_many(caller, count, replies, first=0):
    async def send(number):
        if number % 3:
            document = {'prompt': f'{number} {PROMPT}', 'max_tokens': 30}
            replies[number] = await caller.send('consult', document)
        else:
            replies[number] = await caller.send('book', {'slot': number})

    async with trio.open_nursery() as nursery:
        for number in range(first, first + count):
            nursery.start_soon(send, number)


def check_replies(replies, count):
    assert len(replies) == count
    for number, reply in replies.items():
        assert reply.status == 200, reply.body
        if number % 3:
            prompt = f'{number} {PROMPT}'
            assert read_text(reply) == compose_answer(prompt, 30)
        else:
            body = json.dumps({'slot': number})
            assert reply.read_json()['body'] == body


async def check_booked_once(fleet, service, count):
    counters = await read_counters(fleet, service)
    assert set(counters['calls_by_body'].values()) == {1}
    assert len(counters['calls_by_body']) == count


async def wait_admitted(fleet, count):
    log = fleet.folder / 'host-1-entry.log'

    async def check():
        return log.read_text().count('event=request_admitted') >= count

    await poll_until(check)
