"""Tests of the bound on what a day can earn."""

import pytest

from bench.bound import bound_day, list_works

SITE = {
    'length_s': 10.0,
    'services': [
        {'name': 'desk', 'slots': 2, 'servers': [{'count': 1}]},
        {
            'name': 'engines',
            'slots': 10,
            'servers': [{'count': 2}, {'count': 2}],
            'speeds': [0.5, 2.0],
            'llm': {
                'step_ms': 4.0,
                'step_ms_per_slot': 0.1,
                'stride': 5,
                'prefill_tokens_per_ms': 50.0,
                'first_ms': 20.0,
            },
        },
    ],
    'classes': [
        {
            'name': 'book',
            'service': 'desk',
            'worth': 1.0,
            'late_worth': 0.5,
            'deadline_ms': 3000.0,
            'work_ms': {'mean': 100.0},
        },
        {
            'name': 'talk',
            'service': 'engines',
            'worth': 6.0,
            'late_worth': 2.0,
            'deadline_ms': 15_000.0,
            'stream': {
                'pieces': {'mean': 40.0},
                'prompt_tokens': {'mean': 1000.0},
            },
        },
    ],
    'traffic': [{'mix': {'book': 1.0}, 'per_s': 10.0}],
}


def demand(per_s, **mix):
    return {'traffic': [{'mix': mix, 'per_s': per_s}]}


def test_an_answer_costs_its_prompt_in_all_slots_and_its_tokens_in_one():
    book, talk = list_works(SITE)
    assert book.cost_ms == 100
    assert talk.cost_ms == 20 + 10 * 1000 / 50 + 40 * 5 * 5


def test_all_is_earned_while_there_is_room():
    result = bound_day(SITE, demand(10, book=1))
    assert result.share == pytest.approx(1)
    assert result.full_s == 0


def test_what_is_beyond_the_capacity_is_lost():
    # Two slots of 100 ms carry 20 a second.
    result = bound_day(SITE, demand(40, book=1))
    assert result.share == pytest.approx(0.5)
    assert result.full_s == 10


def test_what_waits_for_the_end_of_a_burst_earns_less():
    day = demand(15, book=1)
    day['faults'] = [{'at': 2.0, 'kind': 'burst', 'x': 2.0, 'for_s': 1.0}]
    result = bound_day(SITE, day)
    # 10 of 165 wait, and are served late within their 3 s.
    assert result.owed == pytest.approx(165)
    assert result.earned == pytest.approx(155 + 10 * 0.5)


def test_crashed_servers_carry_nothing():
    day = demand(20, book=1)
    crash = {'kind': 'srv_crash', 'service': 'desk', 'share': 0.5}
    day['faults'] = [{'at': 0.0, 'for_s': 10.0, **crash}]
    assert bound_day(SITE, day).share == pytest.approx(0.5)


def test_unlike_servers_carry_by_their_speeds():
    # 40 slots, half of them twice as fast, half twice as slow.
    (_, talk) = list_works(SITE)
    per_s = 40 * 1.25 * 1000 / talk.cost_ms
    assert bound_day(SITE, demand(per_s * 0.99, talk=1)).full_s == 0
    assert bound_day(SITE, demand(per_s * 1.01, talk=1)).full_s == 10
