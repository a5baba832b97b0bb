"""Tests of ``DispatchPermit`` and ``ExecutionTracker`` against each other."""

import dataclasses

import pytest

from hornbeampulley.identity import (
    DispatchPermit,
    Executed,
    ExecutionTracker,
    RequestId,
    SessionTiming,
)

HOME = '0123456789abcdef'
TIMING = SessionTiming(binding_ms=100, alone_ms=200, drift=0.01)
REQUEST = RequestId(HOME, 1, 0)


@pytest.fixture
def permit():
    return DispatchPermit(HOME, 0, TIMING)


@pytest.fixture
def scheduler():
    return ExecutionTracker('s1', TIMING)


def connect(permit, scheduler, name='s1', now_ms=0):
    """Open a session and exchange heartbeats until one is echoed."""
    permit.open_session(name, now_ms)
    for _round in range(2):
        send_heartbeat(permit, scheduler, now_ms)
        permit.handle_heartbeat(scheduler.make_heartbeat(HOME, now_ms), now_ms)
    send_heartbeat(permit, scheduler, now_ms)


def send_heartbeat(permit, scheduler, now_ms):
    return scheduler.handle_heartbeat(permit.make_heartbeat(now_ms), now_ms)


def announce(permit, scheduler, now_ms=0):
    stamp = permit.announce(REQUEST, now_ms)
    scheduler.announce(stamp, REQUEST, now_ms)
    return stamp


def find_executed_after_death(scheduler, now_ms):
    scheduler.confirm_death(HOME, now_ms)
    return scheduler.find_executed(REQUEST)


def test_waiting_request_of_a_dead_home_never_ran(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    assert scheduler.find_executed(REQUEST) is Executed.UNKNOWN
    assert find_executed_after_death(scheduler, 97) is Executed.NO
    assert scheduler.record_lease(REQUEST) is None
    assert scheduler.make_heartbeat(HOME, 97) is None


def test_late_proof_of_death_is_not_enough(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    assert find_executed_after_death(scheduler, 98) is Executed.UNKNOWN


def test_heartbeats_without_an_echo_are_not_enough(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    for now_ms in range(10, 100, 10):
        send_heartbeat(permit, scheduler, now_ms)
        scheduler.make_heartbeat(HOME, now_ms)
    assert find_executed_after_death(scheduler, 99) is Executed.UNKNOWN


def test_leased_request_may_have_run(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    scheduler.record_lease(REQUEST)
    announce(permit, scheduler)
    assert find_executed_after_death(scheduler, 1) is Executed.UNKNOWN


def test_request_dispatched_before_is_never_certified(permit, scheduler):
    connect(permit, scheduler)
    stamp = permit.announce(REQUEST, 0)
    scheduler.announce(stamp, REQUEST, 0, dispatched=True)
    assert find_executed_after_death(scheduler, 1) is Executed.UNKNOWN


def test_duplicate_announcement_after_release_is_dropped(permit, scheduler):
    connect(permit, scheduler)
    stamp = announce(permit, scheduler)
    scheduler.release(permit.release(REQUEST, 1), REQUEST, 1)
    assert not scheduler.announce(stamp, REQUEST, 1)
    assert find_executed_after_death(scheduler, 2) is Executed.UNKNOWN


def test_message_older_than_the_session_record_is_dropped(permit, scheduler):
    connect(permit, scheduler)
    late = permit.announce(REQUEST, 0)
    scheduler.sweep(500, 500)
    assert scheduler.home_count == 0
    assert not scheduler.announce(late, REQUEST, 500)
    permit.handle_heartbeat(scheduler.make_heartbeat(HOME, 90), 90)
    send_heartbeat(permit, scheduler, 90)
    assert find_executed_after_death(scheduler, 91) is Executed.UNKNOWN


def test_message_to_an_earlier_process_is_dropped(permit, scheduler):
    connect(permit, scheduler)
    replacement = ExecutionTracker('s2', TIMING)
    assert not send_heartbeat(permit, replacement, 1)
    assert replacement.home_count == 0


def test_message_of_an_earlier_session_is_dropped(permit, scheduler):
    connect(permit, scheduler)
    late = permit.announce(REQUEST, 0)
    connect(permit, scheduler, now_ms=1)
    assert not scheduler.announce(late, REQUEST, 1)
    announce(permit, scheduler, 1)
    assert find_executed_after_death(scheduler, 2) is Executed.NO


def test_handover_ends_the_session_on_both_sides(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    permit.accept_handover(scheduler.hand_over(HOME))
    assert not permit.is_session_open(1)
    other = ExecutionTracker('s2', TIMING)
    connect(permit, other, 's2', 1)
    announce(permit, other, 1)
    assert find_executed_after_death(scheduler, 2) is Executed.UNKNOWN
    assert find_executed_after_death(other, 2) is Executed.NO


def test_announced_request_stays_bound_after_a_disconnection(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    other = ExecutionTracker('s2', TIMING)
    connect(permit, other, 's2', 10)
    assert permit.announce(REQUEST, 99) is None
    send_heartbeat(permit, other, 99)
    assert permit.announce(REQUEST, 100) is not None


def test_second_session_with_the_same_scheduler_unbinds_at_once(
    permit,
    scheduler,
):
    connect(permit, scheduler)
    announce(permit, scheduler)
    connect(permit, scheduler, now_ms=1)
    assert permit.announce(REQUEST, 1) is not None


def test_lease_is_used_once_and_in_time(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    lease = scheduler.record_lease(REQUEST)
    foreign = dataclasses.replace(lease, scheduler='s2')
    assert not permit.consume_lease(REQUEST, foreign, 50, 1)
    assert not permit.consume_lease(REQUEST, lease, 50, 50)
    assert permit.consume_lease(REQUEST, lease, 50, 49)
    assert not permit.consume_lease(REQUEST, lease, 50, 49)


def test_home_resumed_after_the_binding_time_needs_a_new_session(
    permit, scheduler
):
    connect(permit, scheduler)
    heartbeat = scheduler.make_heartbeat(HOME, 1)
    assert not permit.handle_heartbeat(heartbeat, 100)
    assert permit.make_heartbeat(100) is None
    assert permit.announce(REQUEST, 100) is None


def test_home_needs_no_lease_after_the_alone_time(permit, scheduler):
    connect(permit, scheduler)
    announce(permit, scheduler)
    assert not permit.allow_without_lease(REQUEST, 199)
    assert permit.allow_without_lease(REQUEST, 200)
