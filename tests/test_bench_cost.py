"""The growth of a policy's cost, counted in calls rather than time."""

import math

import pytest

from bench.cost import count_calls


@pytest.fixture(scope='module')
def base_calls():
    return count_calls('hornbeam', 10, 100)


def test_calls_grow_at_most_logarithmically_with_targets(base_calls):
    calls = count_calls('hornbeam', 1000, 100)
    assert calls <= base_calls * math.log2(1000) / math.log2(10)


def test_calls_grow_at_most_logarithmically_with_waiting(base_calls):
    calls = count_calls('hornbeam', 10, 10_000)
    assert calls <= base_calls * math.log2(10_000) / math.log2(100)
