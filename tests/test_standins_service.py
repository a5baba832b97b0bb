"""Tests of ``standins.service``."""

import trio
import trio.testing

from standins.service import Service, ServiceSettings, find_order_status
from tests.asgi import Call, call


def run(test, **settings):
    async def scenario():
        service = Service(ServiceSettings(**settings))
        await test(service.build_application())

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_calls_are_numbered_and_counted():
    async def scenario(service):
        first = await call(service, 'POST', '/call', b'slot 1', call_id='a')
        second = await call(service, 'POST', '/call', b'slot 1', call_id='b')
        assert first.document == {
            'booking': 1,
            'call_id': 'a',
            'body': 'slot 1',
        }
        assert second.document['booking'] == 2
        counters = (await call(service, 'GET', '/counters')).document
        assert counters['calls_by_id'] == {'a': 1, 'b': 1}
        assert counters['calls_by_body'] == {'slot 1': 2}
        assert (await call(service, 'POST', '/call', b'x')).status == 400

    run(scenario)


def test_lookup_status_is_derived_from_the_order():
    async def scenario(service):
        answer = await call(service, 'GET', '/lookup?order=n7')
        assert answer.document['status'] == find_order_status('n7')
        assert (await call(service, 'GET', '/lookup')).status == 400

    run(scenario)


def test_load_counts_running_and_queued():
    async def scenario(service):
        calls = [
            Call(service, 'POST', '/call', b'x', call_id=str(number))
            for number in range(3)
        ]
        async with trio.open_nursery() as nursery:
            for each in calls:
                nursery.start_soon(each.run)
            await trio.testing.wait_all_tasks_blocked()
            load = (await call(service, 'GET', '/load')).document
            assert load == {'running': 2, 'queued': 1, 'age_ms': 0}

    run(scenario, slots=2)


def test_call_keeps_running_on_a_silent_connection():
    async def scenario(service):
        waiting = Call(service, 'POST', '/call', b'x', call_id='a')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(waiting.run)
            await trio.sleep(0.1)
            await call(service, 'POST', '/fault', {'mode': 'silent'})
            await trio.sleep(10)
            assert not waiting.messages
            counters = (await call(service, 'GET', '/counters')).document
            assert counters['calls_by_id'] == {'a': 1}
            waiting.left.set()

    run(scenario, delay_ms=1000)


def test_unknown_fault_is_refused():
    async def scenario(service):
        for mode in ('sideways', 'slow:', 'slow:x'):
            body = {'mode': mode}
            assert (await call(service, 'POST', '/fault', body)).status == 400

    run(scenario)
