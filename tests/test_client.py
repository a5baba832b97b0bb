"""Tests of ``hornbeampulley.client`` against scripted entries."""

import collections
import json

import pytest
import trio

from hornbeampulley.client import Client, ClientSettings
from hornbeampulley.errors import (
    NoEntryError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from tests.networks import MemoryNetwork

A, B = 'http://a', 'http://b'
LINES = [{'token': number, 'text': f'{number} '} for number in range(5)]
BODY = b''.join(
    json.dumps(line).encode() + b'\n' for line in (*LINES, {'done': True})
)
NDJSON = {'content_type': 'application/x-ndjson'}


class Entry:
    """A scripted entry; each request runs the next step of the script."""

    def __init__(self, name, listed, steps=(), keep_ms=30_000):
        self.incarnation = name * 16
        self.listed = listed
        self.steps = collections.deque(steps)
        self.keep_ms = keep_ms
        self.lookups = 0
        self.ids = []
        self.requests = []

    async def __call__(self, connection):
        if connection.path.startswith('/v1/entries'):
            await self._look_up(connection)
            return True
        self.ids.append(connection.request_id)
        self.requests.append((connection.method, connection.headers))
        step = self.steps.popleft() if self.steps else answer
        return await step(connection)

    async def _look_up(self, connection):
        self.lookups += 1
        ids = {
            'incarnation': self.incarnation,
            'number': self.lookups,
            'lifetime_ms': 60_000,
            'count': 100,
        }
        entries = [{'url': url} for url in self.listed]
        document = {'entries': entries, 'keep_ms': self.keep_ms, 'ids': ids}
        await connection.send_json(document)


async def answer(connection):
    await connection.start(hornbeam_target='engine-1', **NDJSON)
    await connection.write(BODY)
    await connection.end()


async def break_before(_connection):
    return False


async def go_silent(connection):
    await connection.stay_silent()


def break_after(count, *, ends=False):
    async def step(connection):
        await connection.start(**NDJSON)
        await connection.write(BODY[:count])
        if ends:
            await connection.end()
        return ends

    return step


def refuse(status, title, ran, **members):
    async def step(connection):
        await connection.send_problem(status, title, ran, **members)

    return step


shed = refuse(503, 'shed', 'no', retry_after_ms=3000)
lost = refuse(504, 'outcome unknown', 'unknown')


@pytest.fixture
def run_client(mock_run):
    """Return a function that runs a scenario with entries a and b."""

    def run(scenario, a=None, b=None, **settings):
        async def main():
            async with trio.open_nursery() as nursery:
                network = MemoryNetwork(nursery)
                for name, entry in (('a', a), ('b', b)):
                    if entry is not None:
                        network.scripts[name] = entry
                client = Client(
                    [A, B], 'shop', ClientSettings(**settings), network
                )
                async with client:
                    await scenario(client, network)
                nursery.cancel_scope.cancel()

        mock_run(main)

    return run


async def send(client, **options):
    return await client.send('consult', b'{}', **options)


def test_answers_are_complete_and_the_lookup_is_cached(run_client):
    first = Entry('a', [A, B])

    async def scenario(client, network):
        replies = [await send(client) for _ in range(3)]
        assert [reply.body for reply in replies] == [BODY] * 3
        assert replies[0].target == 'engine-1'
        assert replies[0].attempts == 1
        assert len(set(first.ids)) == 3
        assert first.lookups == 1
        assert network.opened == 1

    run_client(scenario, first)


@pytest.mark.parametrize('step', [break_before, go_silent])
def test_a_lost_connection_is_retried_with_the_same_id(run_client, step):
    first, second = Entry('a', [A, B], [step]), Entry('b', [A, B])

    async def scenario(client, _network):
        assert (await send(client)).body == BODY
        assert len({*first.ids, *second.ids}) == 1
        assert len([*first.ids, *second.ids]) == 2

    run_client(scenario, first, second)


@pytest.mark.parametrize('cut', range(1, len(BODY), 7))
def test_a_broken_stream_resumes_without_lost_or_repeated_bytes(
    run_client, cut
):
    steps = [
        break_after(cut),
        break_after(cut // 2),
        break_after(cut, ends=True),
    ]
    first = Entry('a', [A], steps)

    async def scenario(client, _network):
        async with client.stream('consult', b'{}') as stream:
            chunks = [chunk async for chunk in stream.read_chunks()]
        assert b''.join(chunks) == BODY
        assert len(set(first.ids)) == 1

    run_client(scenario, first)


def test_lines_are_parsed_as_json(run_client):
    first = Entry('a', [A], [break_after(40)])

    async def scenario(client, _network):
        async with client.stream('consult', b'{}') as stream:
            lines = [line async for line in stream.read_lines()]
        assert lines == [*LINES, {'done': True}]

    run_client(scenario, first)


def test_a_new_id_is_used_after_a_refusal_that_was_not_run(run_client):
    first = Entry('a', [A], [shed, shed])

    async def scenario(client, _network):
        start_s = trio.current_time()
        assert (await send(client)).body == BODY
        assert trio.current_time() - start_s >= 6
        assert len(set(first.ids)) == 3

    run_client(scenario, first)


def test_refusals_are_retried_up_to_the_limit_on_ids(run_client):
    first = Entry('a', [A], [shed] * 9)

    async def scenario(client, _network):
        with pytest.raises(RequestRefusedError) as raised:
            await send(client)
        assert raised.value.title == 'shed'
        assert not raised.value.has_run
        assert len(first.ids) == 4

    run_client(scenario, first, max_ids=4)


def test_retries_do_not_exceed_the_deadline(run_client):
    first = Entry('a', [A], [shed])

    async def scenario(client, _network):
        with pytest.raises(RequestRefusedError):
            await send(client, deadline_ms=2000)
        assert first.requests[0][1]['hornbeam-deadline-ms'] == '2000'
        first.steps.append(go_silent)
        start_s = trio.current_time()
        with pytest.raises(OutcomeUnknownError, match='deadline'):
            await send(client, deadline_ms=2000)
        assert trio.current_time() - start_s == pytest.approx(2)

    run_client(scenario, first)


def test_an_unknown_outcome_is_not_retried_with_a_new_id(run_client):
    first = Entry('a', [A, B], [break_before])
    second = Entry('b', [A, B], [lost] * 9)

    async def scenario(client, network):
        async def stop(_connection):
            del network.scripts['a']
            return False

        first.steps = collections.deque([stop])
        with pytest.raises(OutcomeUnknownError) as raised:
            await send(client)
        assert {*first.ids, *second.ids} == {raised.value.request_id}

    run_client(scenario, first, second)


def test_a_confirmed_loss_is_retried_at_another_entry(run_client):
    confirmed = refuse(503, 'home lost', 'no', retry_after_ms=100)
    first, second = Entry('a', [A, B]), Entry('b', [A, B], [lost, confirmed])

    async def scenario(client, network):
        async def stop(_connection):
            del network.scripts['a']
            return False

        first.steps.append(stop)
        reply = await send(client)
        assert reply.body == BODY
        assert reply.home == B
        assert second.ids[0] == second.ids[1] == first.ids[0]
        assert second.ids[2] == reply.request_id != first.ids[0]

    run_client(scenario, first, second)


def test_a_problem_within_a_stream_is_raised(run_client):
    members = {'title': 'target failed', 'status': 502, 'ran': 'unknown'}

    async def broken(connection):
        await connection.start(**NDJSON)
        await connection.write(BODY[:30])
        problem = json.dumps({'problem': members}).encode()
        await connection.write(b'\n%b\n' % problem)
        await connection.end()

    first = Entry('a', [A], [broken])

    async def scenario(client, _network):
        with pytest.raises(OutcomeUnknownError, match='target failed'):
            await send(client)
        assert len(first.ids) == 1

    run_client(scenario, first)


def test_an_entry_missing_from_the_next_lookup_is_not_used(run_client):
    first, second = Entry('a', [A, B], keep_ms=1000), Entry('b', [B])

    async def scenario(client, _network):
        await send(client)
        first.listed = [B]
        await trio.sleep(2)
        await send(client)
        assert [len(first.ids), len(second.ids)] == [1, 1]

    run_client(scenario, first, second)


def test_old_connections_are_not_used_for_new_requests(run_client):
    first = Entry('a', [A])

    async def scenario(client, network):
        for _ in range(2):
            await send(client)
        assert network.opened == 1
        await trio.sleep(2)
        await send(client)
        assert network.opened == 2

    run_client(scenario, first, connection_age_ms=1000)


def test_an_entry_that_refuses_connections_is_skipped(run_client):
    second = Entry('b', [A, B])

    async def scenario(client, _network):
        reply = await send(client)
        assert (reply.home, reply.attempts) == (B, 1)

    run_client(scenario, None, second)


def test_an_error_is_raised_if_no_entry_can_be_reached(run_client):
    async def scenario(client, _network):
        with pytest.raises(NoEntryError, match='seeds'):
            await send(client)
        with pytest.raises(NoEntryError):
            await client.cancel('a' * 16 + '.1.1')

    run_client(scenario)


def test_cancel_sends_the_id_of_the_request(run_client):
    async def cancelled(connection):
        await connection.send_json({'cancelled': True})

    first = Entry('a', [A], [answer, cancelled])

    async def scenario(client, _network):
        reply = await send(client)
        assert await client.cancel(reply.request_id)
        assert first.requests[1][0] == 'DELETE'
        assert first.ids[1] == reply.request_id

    run_client(scenario, first)


def test_a_cancellation_that_did_not_reach_the_home_is_an_error(run_client):
    async def scenario(client, _network):
        with pytest.raises(OutcomeUnknownError):
            await client.cancel('a' * 16 + '.1.1')

    run_client(scenario, Entry('a', [A], [lost]))


def test_a_timeout_replaces_all_pooled_connections(run_client):
    first = Entry('a', [A], [answer_slowly] * 4)

    async def scenario(client, network):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(send, client)
        old = network.opened
        assert old >= 4
        network.silent = set(network.connections)
        start_s = trio.current_time()
        assert (await send(client)).body == BODY
        assert trio.current_time() - start_s < 2 * 5

    run_client(scenario, first)


async def answer_slowly(connection):
    await trio.sleep(1)
    await answer(connection)


def test_a_problem_document_from_a_target_is_its_answer(run_client):
    async def step(connection):
        await connection.start(
            409,
            content_type='application/problem+json',
            hornbeam_target='service-1',
        )
        await connection.write(b'{"title": "taken"}')
        await connection.end()

    async def scenario(client, _network):
        reply = await send(client)
        assert (reply.status, reply.read_json()) == (409, {'title': 'taken'})

    run_client(scenario, Entry('a', [A], [step]))


def test_an_entry_with_an_invalid_lookup_is_skipped(run_client):
    async def garble(connection):
        await connection.send_json(['no entries'])

    second = Entry('b', [B])

    async def scenario(client, _network):
        assert (await send(client)).home == B

    run_client(scenario, garble, second)
