"""Tests of ``standins.platform``."""

import trio
import trio.testing

from standins.platform import MAX_VALUE_BYTES, Platform
from tests.asgi import Call, call


def run(test, **settings):
    platform = Platform(**settings)
    readers = platform.build_reader_application()
    operators = platform.build_control_application()
    trio.run(
        test,
        readers,
        operators,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def test_values_carry_versions():
    async def scenario(readers, operators):
        assert (await call(readers, 'GET', '/config/a/b')).status == 404
        await call(operators, 'PUT', '/config/a/b', b'one')
        await call(operators, 'PUT', '/config/a/b', b'two')
        answer = await call(readers, 'GET', '/config/a/b')
        assert (answer.body, answer.headers['version']) == (b'two', '2')
        keys = await call(readers, 'GET', '/keys?prefix=a/')
        assert keys.document == [{'key': 'a/b', 'version': 2}]
        assert (await call(readers, 'PUT', '/config/a', b'')).status == 404

    run(scenario)


def test_watch_ends_at_a_change_or_at_its_timeout():
    async def scenario(readers, operators):
        watch = '/config/a?watch=0&timeout_ms=50'
        assert (await call(readers, 'GET', watch)).status == 304
        waiting = Call(readers, 'GET', watch)
        keys = Call(readers, 'GET', '/keys?watch=0')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(waiting.run)
            nursery.start_soon(keys.run)
            await trio.testing.wait_all_tasks_blocked()
            counters = await call(operators, 'GET', '/counters')
            assert counters.document['watches_waiting'] == 2
            await call(operators, 'PUT', '/config/a', b'one')
        assert waiting.answer.body == b'one'
        assert keys.answer.headers['version'] == '1'

    run(scenario)


def test_down_mode_ends_watches_and_refuses_reads():
    async def scenario(readers, operators):
        waiting = Call(readers, 'GET', '/config/a?watch=0')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(waiting.run)
            await trio.testing.wait_all_tasks_blocked()
            await call(operators, 'POST', '/fault', {'mode': 'down'})
        assert waiting.answer.status == 503
        assert (await call(readers, 'GET', '/hosts')).status == 503

    run(scenario)


def test_stale_mode_serves_the_values_from_its_start():
    async def scenario(readers, operators):
        await call(operators, 'PUT', '/config/a', b'one')
        await call(operators, 'POST', '/fault', {'mode': 'stale'})
        await call(operators, 'PUT', '/config/a', b'two')
        assert (await call(readers, 'GET', '/config/a')).body == b'one'
        watch = '/config/a?watch=1&timeout_ms=10'
        assert (await call(readers, 'GET', watch)).status == 304
        await call(operators, 'POST', '/fault', {'mode': 'up'})
        assert (await call(readers, 'GET', watch)).body == b'two'

    run(scenario)


def test_host_list_changes_become_visible_after_the_lag():
    async def scenario(readers, operators):
        hosts = [{'name': 'h1', 'state': 'live'}]
        await call(operators, 'PUT', '/hosts', {'hosts': hosts})
        await trio.sleep(0.9)
        assert (await call(readers, 'GET', '/hosts')).document['version'] == 0
        await trio.sleep(0.1)
        answer = await call(readers, 'GET', '/hosts')
        assert answer.document == {'version': 1, 'hosts': hosts}

    run(scenario, lag_ms=1000)


def test_reads_above_the_rate_are_refused():
    async def scenario(readers, operators):
        async with trio.open_nursery() as nursery:
            watch = Call(readers, 'GET', '/config/a?watch=0&timeout_ms=5000')
            nursery.start_soon(watch.run)
            await trio.sleep(2)
            statuses = [
                (await call(readers, 'GET', '/keys')).status for _ in range(3)
            ]
            assert statuses == [200, 200, 429]
            await trio.sleep(1)
            assert (await call(readers, 'GET', '/keys')).status == 200

    run(scenario, reads_per_s=3)


def test_oversized_values_and_invalid_documents_are_refused():
    async def scenario(readers, operators):
        full = b'x' * MAX_VALUE_BYTES
        assert (await call(operators, 'PUT', '/config/a', full)).status == 200
        over = full + b'x'
        assert (await call(operators, 'PUT', '/config/a', over)).status == 413
        assert (await call(operators, 'PUT', '/hosts', b'{')).status == 400
        assert (await call(operators, 'POST', '/fault', {})).status == 400

    run(scenario)
