"""Tests of the cost model: measured rates, lengths and prices."""

import pytest

from hornbeampulley.decisions import Outcome, Release
from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._requests import Request
from tests.pools import make_reserve


def complete(cost, target, prefill_ms, step_ms, tokens=100):
    reserve = make_reserve(prompt_tokens=1000)
    request = Request(reserve, 0, 0, 1, target=target)
    first_ms = 1000 * prefill_ms + step_ms
    duration_ms = first_ms + (tokens - 1) * step_ms
    release = Release('r', Outcome.DONE, tokens, first_ms, duration_ms)
    cost.update_prefill_rate(request, first_ms)
    cost.update(request, release)


def test_rates_of_each_target_are_measured():
    cost = CostModel()
    for _ in range(200):
        complete(cost, 'fast', 0.05, 10)
        complete(cost, 'slow', 0.1, 40)
    assert cost.get_prefill_rate('fast') == pytest.approx(0.05, rel=0.1)
    assert cost.get_prefill_rate('slow') == pytest.approx(0.1, rel=0.1)
    assert cost.get_relative_time('slow') > 2 * cost.get_relative_time('fast')


def test_cached_tokens_are_inferred_from_a_short_delay():
    cost = CostModel()
    for _ in range(200):
        complete(cost, 'one', 0.1, 10)
    request = Request(make_reserve(prompt_tokens=1000), 0, 0, 1, target='one')
    request.expected_cached = 800
    assert cost.infer_cached_tokens(request, 60) == pytest.approx(500, abs=60)
    assert cost.infer_cached_tokens(request, 10) == 800


def test_estimated_output_follows_samples_and_the_callers_bound():
    cost = CostModel()
    cost.set_initial_length('chat', 100)
    assert cost.estimate_output(make_reserve()) == 100
    for _ in range(300):
        complete(cost, 'one', 0.1, 10, tokens=20)
    assert cost.estimate_output(make_reserve()) == pytest.approx(20, rel=0.2)
    assert cost.estimate_output(make_reserve(output_tokens=5)) == 5


def test_plain_calls_are_priced_by_their_duration():
    cost = CostModel()
    reserve = make_reserve(prompt_tokens=0, service='lookup')
    request = Request(reserve, 0, 0, 1, target='one')
    for _ in range(50):
        cost.update(request, Release('r', Outcome.DONE, 0, 0, 15))
    assert cost.estimate_price(reserve) == pytest.approx(15, rel=0.2)


# Guards against the incident SHORT: tokens of the first event counted as
# produced after it, so answers of one event made targets look twice as fast.
def test_tokens_of_the_first_event_do_not_count_in_the_step_rate():
    cost = CostModel()
    step_ms = 16
    for events in (1, 1, 2, 3) * 50:
        reserve = make_reserve(prompt_tokens=1000)
        request = Request(reserve, 0, 0, 1, target='one')
        tokens = 7 * events
        duration_ms = 100 + (tokens - 7) * step_ms + 0.1
        done = Release('r', Outcome.DONE, tokens, 100, duration_ms, -1, 7)
        cost.update(request, done)
    reserve = make_reserve(prompt_tokens=1, expected_tokens=1000)
    expected_ms = cost.estimate_duration('one', reserve, 0, 0)
    assert expected_ms == pytest.approx(1000 * step_ms, rel=0.1)
