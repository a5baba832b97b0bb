"""Tests of ``standins.engine``."""

import trio
import trio.testing
import xxhash

from standins._batch import EngineSettings
from standins._prefix_cache import hash_blocks
from standins._runs import compose_answer
from standins.engine import Engine
from tests.asgi import Call, call


def run(test, **settings):
    async def scenario():
        crashes = []
        engine = Engine(EngineSettings(**settings), lambda: crashes.append(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.batch.work)
            await test(engine.build_application())
            nursery.cancel_scope.cancel()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def make_generate_call(
    engine, stream_id, prompt='hello', max_tokens=5, **headers
):
    body = {'prompt': prompt, 'max_tokens': max_tokens}
    return Call(
        engine, 'POST', '/generate', body, stream_id=stream_id, **headers
    )


async def generate(*arguments, **headers):
    request = make_generate_call(*arguments, **headers)
    await request.run()
    return request.answer


def join_text(answer):
    return ''.join(line.get('text', '') for line in answer.lines)


def test_answer_is_derived_from_the_prompt():
    async def scenario(engine):
        answer = await generate(engine, 's')
        assert answer.lines[0] == {'cached_tokens': 0, 'prompt_tokens': 2}
        assert join_text(answer) == compose_answer('hello', 5)
        assert answer.lines[-1] == {'done': True, 'output_tokens': 5}
        assert (await generate(engine, 's')).status == 409
        counters = (await call(engine, 'GET', '/counters')).document
        assert counters['runs'] == {'s': 1}

    run(scenario)


def test_generations_are_admitted_in_order_of_arrival():
    async def scenario(engine):
        ended = []

        async def follow(name):
            await generate(engine, name)
            ended.append(name)

        async with trio.open_nursery() as nursery:
            for name in 'abc':
                nursery.start_soon(follow, name)
                await trio.testing.wait_all_tasks_blocked(0.0001)
            load = (await call(engine, 'GET', '/load')).document
            assert load == {
                'running': 1,
                'queued': 2,
                'age_ms': 0,
                'model': '',
                'fencing': 0,
            }
        assert ended == ['a', 'b', 'c']

    run(scenario, slots=1)


def test_prefix_is_cached_and_published():
    async def scenario(engine):
        prompt = 'x' * 256 + 'y' * 256 + 'z'
        await generate(engine, 'a', prompt)
        answer = await generate(engine, 'b', prompt)
        assert answer.lines[0]['cached_tokens'] == 128
        first = xxhash.xxh3_64_intdigest(b'x' * 256, seed=0)
        second = xxhash.xxh3_64_intdigest(b'y' * 256, seed=first)
        events = await call(engine, 'GET', '/cache-events?after=0')
        assert events.document['events'] == [
            {'sequence': 1, 'added': [first, second], 'removed': []},
        ]
        assert hash_blocks(prompt.encode()) == (first, second)

    run(scenario)


def test_cache_evicts_the_least_recently_used_block():
    async def scenario(engine):
        for name in 'abc':
            await generate(engine, name, name * 256)
        events = await call(engine, 'GET', '/cache-events?after=2')
        (event,) = events.document['events']
        assert event['removed'] == list(hash_blocks(b'a' * 256))

    run(scenario, cache_blocks=2)


def test_cache_events_have_gaps():
    async def scenario(engine):
        for number in range(20):
            prompt = f'{number:02}' * 128
            await generate(engine, str(number), prompt, 1)
        events = await call(engine, 'GET', '/cache-events')
        sequences = [event['sequence'] for event in events.document['events']]
        assert 0 < len(sequences) < 20
        assert sequences == sorted(sequences)

    run(scenario, event_gap=0.5)


def test_stream_is_resumed_after_the_connection_breaks():
    async def scenario(engine):
        broken = make_generate_call(engine, 's', max_tokens=20)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(broken.run)
            await trio.sleep(0.055)
            broken.left.set()
        seen = len(broken.answer.lines) - 1
        assert 0 < seen < 20
        rest = await call(engine, 'GET', f'/streams/s?from={seen}')
        text = join_text(broken.answer) + join_text(rest)
        assert text == compose_answer('hello', 20)

    run(scenario)


def test_stream_without_readers_is_cancelled_and_dropped():
    async def scenario(engine):
        broken = make_generate_call(engine, 's', max_tokens=100_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(broken.run)
            await trio.sleep(0.05)
            broken.left.set()
        await trio.sleep(1.1)
        load = (await call(engine, 'GET', '/load')).document
        assert load['running'] == 0
        await trio.sleep(1.1)
        assert (await call(engine, 'GET', '/streams/s')).status == 404

    run(scenario, keep_ms=1000)


def test_cancelled_stream_frees_its_slot():
    async def scenario(engine):
        reader = make_generate_call(engine, 's', max_tokens=1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run)
            await trio.sleep(0.05)
            await call(engine, 'DELETE', '/streams/s')
        assert reader.answer.lines[-1]['reason'] == 'cancelled'
        assert (await call(engine, 'GET', '/load')).document['running'] == 0

    run(scenario)


def test_exported_stream_continues_on_another_engine():
    async def scenario(engine):
        other = Engine(EngineSettings())
        prompt = 'p' * 1000
        reader = make_generate_call(engine, 's', prompt, 20)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run)
            await trio.sleep(0.2)
            state = (await call(engine, 'POST', '/streams/s/export')).document
        assert reader.answer.lines[-1]['reason'] == 'exported'
        application = other.build_application()
        refused = await generate(
            application, 's', prompt, 20, kv_state=state['state']
        )
        assert refused.status == 409
        await call(application, 'POST', '/streams/import', state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(other.batch.work)
            rest = await generate(
                application, 's', prompt, 20, kv_state=state['state']
            )
            nursery.cancel_scope.cancel()
        assert rest.lines[0]['cached_tokens'] == 250
        text = join_text(reader.answer) + join_text(rest)
        assert text == compose_answer(prompt, 20)

    run(scenario)


def test_old_fencing_number_is_refused_only_if_checked():
    async def checked(engine):
        assert await order(engine, 2) == 200
        assert await order(engine, 1) == 409
        assert await order(engine, 2) == 200

    async def unchecked(engine):
        assert await order(engine, 2) == 200
        assert await order(engine, 1) == 200
        log = (await call(engine, 'GET', '/counters')).document['orders']
        assert [entry['fencing'] for entry in log] == [2, 1]

    async def order(engine, fencing):
        body = {'fencing': fencing, 'model': 'm', 'role': 'decode'}
        return (await call(engine, 'POST', '/orders', body)).status

    run(checked, checks_fencing=True)
    run(unchecked)


def test_prompt_with_the_crash_marker_crashes_the_engine():
    async def scenario(engine):
        await generate(engine, 's', 'a poison pill')
        counters = (await call(engine, 'GET', '/counters')).document
        assert counters['crashes'] == 1

    run(scenario, crash_marker='poison')


def test_silent_fault_stops_open_connections_but_not_new_ones():
    async def scenario(engine):
        reader = make_generate_call(engine, 's', max_tokens=20)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run)
            await trio.sleep(0.055)
            await call(engine, 'POST', '/fault', {'mode': 'silent'})
            seen = len(reader.answer.lines)
            whole = await call(engine, 'GET', '/streams/s?from=0')
            assert join_text(whole) == compose_answer('hello', 20)
            assert len(reader.answer.lines) <= seen + 1
            reader.left.set()

    run(scenario)


def test_slow_fault_multiplies_the_step_time():
    async def scenario(engine):
        start = trio.current_time()
        await generate(engine, 'a')
        middle = trio.current_time()
        await call(engine, 'POST', '/fault', {'mode': 'slow:10'})
        await generate(engine, 'b')
        slow = trio.current_time() - middle
        assert round(slow / (middle - start)) == 10

    run(scenario)
