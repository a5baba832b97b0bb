"""Tests of the memory for responses that are held."""

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.http1 import Buffer, BufferBudget
from hornbeampulley.http1._buffers import SMALL_BYTES, RequestBuffer
from hornbeampulley.http1._messages import split_message
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


# Memory: requests could leave no room for the answers to them.
def test_requests_have_half_of_the_budget_in_the_order_of_their_coming():
    async def reserve(buffer, size, admitted):
        if await buffer.reserve(size * SMALL_BYTES, 1000):
            admitted.append(size)

    async def main():
        budget = BufferBudget(LIMIT)
        held = RequestBuffer(budget)
        assert await held.reserve(5 * SMALL_BYTES, 0)
        assert not await RequestBuffer(budget).reserve(1, 1000)
        assert not await RequestBuffer(budget).reserve(LIMIT, 1000)
        budget.open().resize(5 * SMALL_BYTES)
        admitted = []
        async with trio.open_nursery() as nursery:
            for size in (3, 1, 2, 4):
                buffer = RequestBuffer(budget)
                nursery.start_soon(reserve, buffer, size, admitted)
                await trio.testing.wait_all_tasks_blocked()
            held.resize(4 * SMALL_BYTES)
            await trio.testing.wait_all_tasks_blocked()
            assert admitted == []
            held.resize(0)
        assert sorted(admitted) == [1, 3]
        assert budget.request_bytes == 4 * SMALL_BYTES

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Memory: a body was held once more, joined to its head, until it was sent.
def test_a_long_body_is_not_copied_to_be_written():
    body = bytes(SMALL_BYTES + 1)
    assert split_message(b'head', body)[1] is body
    assert split_message(b'head', b'body') == (b'headbody',)


# Sound answers failed when many came at once; they wait for room now.
def test_a_response_waits_for_room_for_all_of_it():
    async def main():
        budget = BufferBudget(LIMIT)
        other = budget.open()
        other.resize(9 * SMALL_BYTES)
        first, second, third = (budget.open() for _ in range(3))
        await first.hold(SMALL_BYTES, 3 * SMALL_BYTES)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.hold, SMALL_BYTES + 1, 3 * SMALL_BYTES)
            await trio.sleep(2)
            nursery.start_soon(second.hold, SMALL_BYTES + 1, SMALL_BYTES + 1)
            await trio.sleep(1)
            assert (first.size, second.size) == (SMALL_BYTES, 0)
            other.resize(5 * SMALL_BYTES)
        assert (first.size, second.size) == (3 * SMALL_BYTES, SMALL_BYTES + 1)
        assert (first.waited_ms, second.waited_ms) == (3000, 1000)
        with trio.move_on_after(1):
            await third.hold(2 * SMALL_BYTES, 2 * SMALL_BYTES)
        assert third.size == 0
        # The one that was given up is not waited for.
        other.close()
        assert budget.held_bytes == 4 * SMALL_BYTES + 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Memory: a response that can never fit must not wait until its time limit.
def test_a_response_that_does_not_fit_fails():
    async def main():
        budget = BufferBudget(LIMIT)
        buffer = budget.open()
        await buffer.hold(2 * SMALL_BYTES, LIMIT)
        assert buffer.size == LIMIT // 2
        with pytest.raises(BuffersFullError):
            await buffer.hold(LIMIT // 2 + 1, LIMIT)
        buffer.close()
        assert budget.held_bytes == 0

    trio.run(main)
