"""Tests of removals that are held back."""

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._held_removals import (
    LATEST_HOLD_MS,
    REMOVAL_HOLD_MS,
    HeldRemovals,
)
from tests.stored import gone


def test_a_removal_is_due_when_its_time_is_over():
    clock = ManualClock()
    removals = HeldRemovals(clock)
    removals.hold(gone('a', 4), 500)
    clock.advance(499)
    assert not removals.pop_due()
    clock.advance(1)
    assert removals.pop_due() == [gone('a', 4)]
    assert not removals.pop_due()


def test_a_peer_is_told_the_time_left():
    clock = ManualClock()
    removals = HeldRemovals(clock)
    removals.hold(gone('a', 4), 500)
    clock.advance(200)
    assert removals.add_time_left(gone('a', 4)).held_ms == 300
    assert removals.add_time_left(gone('b', 5)).held_ms == 0


def test_what_is_dropped_is_never_due():
    clock = ManualClock()
    removals = HeldRemovals(clock)
    removals.hold(gone('a', 4), 500)
    removals.drop('servers/a')
    clock.advance(500)
    assert not removals.pop_due()


def test_the_grace_after_an_outage_ends():
    clock = ManualClock()
    removals = HeldRemovals(clock)
    assert removals.grace_ms == 0
    removals.record_outage(clock.now())
    assert removals.grace_ms == REMOVAL_HOLD_MS
    clock.advance(REMOVAL_HOLD_MS + 1)
    assert removals.grace_ms == 0


# DRAIN: the store had been back for long when a host noticed it.
def test_the_grace_is_shorter_where_the_return_was_noticed_late():
    clock = ManualClock(10_000)
    removals = HeldRemovals(clock)
    removals.record_outage(clock.now() - 3500)
    assert removals.grace_ms == LATEST_HOLD_MS - 3500
