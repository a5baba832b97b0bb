"""Tests of which requests can be served in time, and by which targets."""

from hornbeampulley.configuration import Tier
from hornbeampulley.decisions import (
    Outcome,
    Progress,
    Release,
    Tick,
)
from tests.pools import Pool
from tests.sizes import make_length_fields

ROUNDS = 60
# Time per prompt token and per output token of each target, in ms.
RATES = {'t0': (0.01, 3), 't1': (0.1, 30)}
SAMPLE_FIELDS = {'prompt_tokens': 1000, 'deadline_ms': 0}


def build_pool(slots=2):
    """Build a pool of a fast target, t0, and one ten times as slow, t1."""
    pool = Pool(targets=2, slots=slots, tiers=(Tier('mid', 0),))
    for _ in range(ROUNDS):
        running = [pool.reserve(**SAMPLE_FIELDS) for _ in range(2 * slots)]
        for request_id in running:
            complete_request(pool, request_id)
    pool.send(Tick(), wait_ms=2000)
    return pool


def complete_request(pool, request_id):
    prefill_ms, step_ms = RATES[pool.find_target(request_id)]
    first_ms = SAMPLE_FIELDS['prompt_tokens'] * prefill_ms + step_ms
    pool.send(Progress(request_id, 1, first_ms), wait_ms=1)
    took_ms = first_ms + 49 * step_ms
    end = Release(request_id, Outcome.DONE, 50, first_ms, took_ms)
    pool.send(end, wait_ms=1)


def occupy_fast_target(pool):
    """Occupy the fast target and return the requests that run there."""
    running = []
    while 't0' not in [pool.find_target(one) for one in running[-1:]]:
        running.append(pool.reserve(**SAMPLE_FIELDS))
    while True:
        request_id = pool.reserve(**SAMPLE_FIELDS)
        if pool.find_target(request_id) != 't0':
            break
        running.append(request_id)
    complete_request(pool, request_id)
    return [one for one in running if pool.find_target(one) == 't0']


# Guards against the incident SHORT: the expected length was at most the usual
# one, so long answers were placed like short ones and cut at the deadline.
def test_a_long_answer_waits_for_a_target_that_can_complete_it_in_time():
    pool = build_pool()
    busy = occupy_fast_target(pool)
    long = pool.reserve(
        prompt_tokens=10,
        deadline_ms=pool.now_ms + 15_000,
        **make_length_fields(1000, 4000),
    )
    short = pool.reserve(
        prompt_tokens=10,
        deadline_ms=pool.now_ms + 15_000,
        **make_length_fields(100, 4000),
    )
    assert pool.find_target(short) == 't1'
    assert not pool.find_target(long)
    complete_request(pool, busy[0])
    assert pool.find_target(long) == 't0'


# Guards against the incident SHORT: large prompts counted as late although a
# fast target could still start them in time.
def test_a_large_prompt_is_not_late_while_a_fast_target_is_in_time():
    pool = build_pool(slots=1)
    busy = occupy_fast_target(pool)
    large = pool.reserve(
        prompt_tokens=40_000,
        deadline_ms=pool.now_ms + 15_000,
        begin_by_ms=pool.now_ms + 1500,
    )
    pool.send(Tick(), wait_ms=900)
    assert pool.find_reason(large) is None
    complete_request(pool, busy[0])
    assert pool.find_target(large) == 't0'


def test_a_large_prompt_waits_while_a_fast_target_can_meet_its_objective():
    pool = build_pool(slots=1)
    occupy_fast_target(pool)
    large = pool.reserve(
        prompt_tokens=20_000,
        deadline_ms=pool.now_ms + 15_000,
        objective_ms=pool.now_ms + 1100,
        begin_by_ms=pool.now_ms + 4000,
    )
    assert not pool.find_target(large)
    # The objective is missed now, and a late answer is better than none.
    pool.send(Tick(), wait_ms=1200)
    assert pool.find_target(large) == 't1'


def test_no_target_is_too_slow_before_rates_are_measured():
    pool = Pool(targets=2, slots=2, tiers=(Tier('mid', 0),))
    request = pool.reserve(
        deadline_ms=pool.now_ms + 15_000,
        **make_length_fields(4000, 4000),
    )
    assert pool.find_target(request)
