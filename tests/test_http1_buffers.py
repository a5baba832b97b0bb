"""Tests of the memory for responses that are held."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.http1 import Buffer, BufferBudget
from hornbeampulley.http1._buffers import SMALL_BYTES
from hornbeampulley.http1.errors import BuffersFullError

LIMIT = 10 * SMALL_BYTES


def test_what_is_held_counts_until_it_is_given_back():
    budget = BufferBudget(LIMIT)
    first, second = budget.open(), budget.open()
    first.resize(6 * SMALL_BYTES)
    with pytest.raises(BuffersFullError):
        second.resize(5 * SMALL_BYTES)
    first.resize(SMALL_BYTES)
    second.resize(9 * SMALL_BYTES)
    second.close()
    first.close()
    assert budget.held_bytes == 0


def test_small_responses_are_held_in_any_case():
    budget = BufferBudget(LIMIT)
    budget.open().resize(LIMIT)
    small = budget.open()
    small.resize(SMALL_BYTES)
    with pytest.raises(BuffersFullError):
        small.resize(SMALL_BYTES + 1)
    assert budget.held_bytes == LIMIT + SMALL_BYTES


def test_a_buffer_without_a_budget_has_no_limit():
    Buffer().resize(1 << 40)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 8 * SMALL_BYTES))))
def test_no_more_is_held_than_allowed(steps):
    budget = BufferBudget(LIMIT)
    buffers = [budget.open() for _ in range(5)]
    for number, size in steps:
        try:
            buffers[number].resize(size)
        except BuffersFullError:
            buffers[number].close()
        assert 0 <= budget.held_bytes <= LIMIT + 5 * SMALL_BYTES
    for one in buffers:
        one.close()
    assert budget.held_bytes == 0
