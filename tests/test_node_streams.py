"""End-to-end tests of event streams."""

import trio

from tests.nodes import (
    EVENTS,
    call_and_record,
    count_runs,
    run_nodes,
    unchunk,
    wait_until,
)


def test_a_broken_stream_goes_on_at_another_target():
    async def scenario(fleet):
        fleet.backends['engines-1'].behaviour.breaks_after = 1
        fleet.backends['engines-2'].behaviour.breaks_after = 1
        task_done = trio.Event()

        async def mend():
            await wait_until(lambda: count_runs(fleet), 0.001)
            for name in ('engines-1', 'engines-2'):
                if not fleet.backends[name].runs:
                    fleet.backends[name].behaviour.breaks_after = -1
            task_done.set()

        fleet.nursery.start_soon(mend)
        status, _, body = await fleet.call('/stream/a', body=b'p')
        await task_done.wait()
        assert status == 200
        assert unchunk(body) == b''.join(EVENTS)
        assert count_runs(fleet) == 2

    run_nodes(scenario)


def test_a_stream_that_can_not_go_on_is_broken_off():
    async def scenario(fleet):
        engines = [fleet.backends[f'engines-{number}'] for number in (1, 2)]
        for engine in engines:
            engine.behaviour.breaks_after = 1
            engine.behaviour.pause_ms = 200
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_and_record, fleet, '/stream/a', answers)
            await wait_until(lambda: count_runs(fleet) == 1)
            for engine in engines:
                engine.behaviour.status = 500
        ((status, _, body),) = answers
        assert status == 200
        assert count_runs(fleet) == 2
        assert b'HTTP/1.1' not in body
        assert unchunk(body) == EVENTS[0]
        assert not body.endswith(b'0\r\n\r\n')

    run_nodes(scenario)


# Operators' point: a stalled stream that sent a byte now and then never ended.
def test_a_stream_that_sends_bytes_but_no_events_goes_on_elsewhere():
    async def scenario(fleet):
        engines = [fleet.backends[f'engines-{number}'] for number in (1, 2)]
        for engine in engines:
            engine.behaviour.trickles_after = 1
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_and_record, fleet, '/stream/a', answers)
            await wait_until(lambda: count_runs(fleet) == 1)
            for engine in engines:
                if not engine.runs:
                    engine.behaviour.trickles_after = -1
        ((status, _, body),) = answers
        assert status == 200
        assert unchunk(body) == b''.join(EVENTS)
        assert count_runs(fleet) == 2

    run_nodes(scenario)


# Operators' point: slow but sound streams were cut.
def test_a_slow_but_sound_stream_is_not_cut():
    async def scenario(fleet):
        for number in (1, 2):
            fleet.backends[f'engines-{number}'].behaviour.pause_ms = 900
        status, _, body = await fleet.call('/stream/a', body=b'p')
        assert status == 200
        assert unchunk(body) == b''.join(EVENTS)
        assert count_runs(fleet) == 1

    run_nodes(scenario)


def test_a_caller_that_leaves_frees_its_target():
    async def scenario(fleet):
        for name in ('engines-1', 'engines-2'):
            fleet.backends[name].behaviour.pause_ms = 10_000
        with trio.move_on_after(0.5):
            await fleet.call('/stream/a', body=b'p')
        targets = fleet.backends.values()
        await wait_until(lambda: any(one.cancelled for one in targets))
        assert fleet.nodes[0].lease_client.open_count == 0

    run_nodes(scenario)


def test_the_end_of_a_cancelled_lease_is_logged(caplog):
    caplog.set_level('INFO')

    async def scenario(fleet):
        for name in ('engines-1', 'engines-2'):
            fleet.backends[name].behaviour.pause_ms = 10_000
        with trio.move_on_after(0.5):
            await fleet.call('/stream/a', body=b'p')
        await wait_until(lambda: fleet.nodes[0].lease_client.open_count == 0)

    run_nodes(scenario)
    ends = [one for one in caplog.records if one.message == 'lease_ended']
    assert [one.event_pairs['reason'] for one in ends] == ['cut']
    assert ends[0].event_pairs['outcome'] == 'cancelled'
    assert ends[0].event_pairs['took_ms'] >= 100


def test_a_stream_that_cannot_begin_in_time_is_refused_early(caplog):
    caplog.set_level('INFO')

    async def scenario(fleet):
        for name in ('engines-1', 'engines-2'):
            fleet.backends[name].behaviour.pause_ms = 60_000
        running = 8
        for number in range(running):
            name = b'r%d' % number
            fleet.nursery.start_soon(call_and_discard, fleet, name)
        await wait_until(lambda: count_runs(fleet) == running)
        started = trio.current_time()
        status, head, _ = await fleet.call('/stream/a', request_id=b'late')
        assert status == 503
        assert b'retry-after: ' in head
        assert trio.current_time() - started < 2.1
        assert count_runs(fleet) == running

    run_nodes(scenario)
    (line,) = [one for one in caplog.records if one.message == 'lease_refused']
    assert line.event_pairs['reason'] == 'deadline'
    assert line.event_pairs['capacity'] == 8
    assert line.event_pairs['price_ms'] > 0
    assert line.event_pairs['start_within_ms'] < 0


def test_size_and_expected_time_of_a_request_are_logged_and_counted(caplog):
    caplog.set_level('INFO')

    served = 'hornbeam_hinted_tokens_sum{rank="1",served="yes"} 120.0'

    async def scenario(fleet):
        await fleet.call(
            '/stream/a',
            body=b'p',
            token_usage='800,3800',
            length_hint='120',
        )
        counters = fleet.nodes[0].counters
        # The request is counted only after its response was sent in full.
        await wait_until(lambda: served in counters.format(0, 0).decode())

    run_nodes(scenario)
    lines = {one.message: one.event_pairs for one in caplog.records}
    answered = lines['request_answered']
    assert answered['prompt_tokens'] == 800
    assert answered['hinted_tokens'] == 120
    assert answered['output_limit'] == 3800
    assert lines['lease_taken']['expected_ms'] > 0
    assert 0 < lines['lease_taken']['left_ms'] <= 4000


async def call_and_discard(fleet, name):
    await fleet.call('/stream/a', body=b'p', request_id=name)
