"""Tests of the decision core through its public interface."""

import pytest

from hornbeampulley.configuration import Tier
from hornbeampulley.decisions import (
    Configure,
    Core,
    HomeLost,
    Lease,
    LoadReport,
    Outcome,
    Preempt,
    Reason,
    Refuse,
    TargetDown,
    TargetsLeaving,
    Tick,
    Withdraw,
    policies,
)
from tests.pools import Pool, build_configuration, make_reserve


def test_policy_is_registered():
    assert isinstance(policies.find('hornbeam')('pool', 1), Core)


def test_requests_wait_for_the_first_configuration():
    core = Core('pool')
    assert core.handle(make_reserve(), 0) == ()
    (lease,) = core.handle(Configure(build_configuration()), 10)
    assert isinstance(lease, Lease)


def test_lower_tiers_leave_the_headroom_free():
    pool = Pool(targets=1, slots=4)
    lower = [pool.reserve('low') for _ in range(4)]
    assert [bool(pool.find_target(one)) for one in lower] == [1, 1, 1, 0]
    assert pool.find_target(pool.reserve('gold'))


def test_urgent_request_preempts_and_the_victim_is_resumed_first():
    pool = Pool(targets=1, slots=2)
    victim = pool.reserve('low')
    waiting = pool.reserve('low')
    urgent = [pool.reserve('gold') for _ in range(2)]
    assert pool.find(Preempt, victim)
    pool.release(victim, Outcome.PREEMPTED)
    assert pool.find_target(urgent[1])
    for one in urgent:
        pool.release(one)
    lease = pool.find(Lease, victim)[-1]
    assert lease.resume
    assert not pool.find_target(waiting)


def test_non_repeatable_calls_are_not_preempted():
    pool = Pool(targets=1, slots=1)
    running = pool.reserve('low', repeatable=False)
    pool.reserve('gold')
    assert not pool.find(Preempt, running)


def test_duplicate_reservation_is_ignored():
    pool = Pool()
    event = make_reserve()
    pool.send(event)
    pool.send(event)
    pool.release(event.request_id)
    pool.send(event)
    assert len(pool.find(Lease, event.request_id)) == 1


def test_announced_request_counts_as_running():
    pool = Pool(targets=1, slots=1)
    announced = pool.reserve(target='t0')
    waiting = pool.reserve()
    assert not pool.find_target(waiting)
    pool.release(announced)
    assert pool.find_target(waiting)


def test_lost_home_frees_its_slots_and_drops_its_waiting_requests():
    pool = Pool(targets=1, slots=1)
    pool.reserve(home='lost')
    dropped = pool.reserve(home='lost')
    kept = pool.reserve()
    pool.send(HomeLost('lost'))
    assert pool.find_target(kept)
    assert pool.explain_last(dropped).endswith('home lost')


def test_overload_sheds_the_lowest_tier_with_a_retry_delay():
    pool = Pool(targets=1, slots=2)
    mid = [pool.reserve('mid') for _ in range(10)]
    low = [pool.reserve('low') for _ in range(100)]
    refused = [one for one in low if pool.find(Refuse, one)]
    assert refused
    assert not any(pool.find(Refuse, one) for one in mid)
    refusal = pool.find(Refuse, refused[0])[0]
    assert refusal.reason is Reason.SHED
    assert not refusal.ran
    assert refusal.retry_after_ms > 0


def test_late_request_is_refused_only_after_all_lower_tiers():
    pool = Pool(targets=1, slots=1)
    pool.reserve('gold')
    late = pool.reserve('mid', deadline_ms=9000)
    kept, shed = (pool.reserve('low') for _ in range(2))
    pool.send(Tick(), 9000)
    assert pool.find_reason(shed) is Reason.SHED
    assert pool.find_reason(late) is None
    pool.send(Withdraw(kept))
    assert pool.find_reason(late) is Reason.DEADLINE


def test_unattainable_deadline_sheds_no_lower_tier_request():
    pool = Pool(targets=1, slots=1)
    pool.reserve('gold')
    lower = pool.reserve('low')
    hopeless = pool.reserve('mid', deadline_ms=1)
    pool.send(Tick(), 5000)
    assert pool.find_reason(lower) is None
    assert pool.find_reason(hopeless) is None


def test_idempotency_key_is_leased_once():
    pool = Pool()
    first, second = (pool.reserve(idempotency_key='k') for _ in range(2))
    assert pool.find_target(first)
    assert pool.find_reason(second) is Reason.DUPLICATE_KEY


def test_unsent_request_is_retried_within_the_retry_budget():
    pool = Pool(targets=1)
    request_id = pool.reserve()
    for _ in range(30):
        pool.release(request_id, Outcome.NOT_SENT)
    assert 2 < len(pool.find(Lease, request_id)) < 30
    assert pool.find_reason(request_id) is Reason.NO_TARGET


def test_leaving_and_down_targets_get_no_lease():
    pool = Pool(targets=2)
    pool.send(TargetsLeaving(frozenset({'t0'})))
    assert pool.find_target(pool.reserve()) == 't1'
    pool.send(TargetsLeaving(frozenset()))
    pool.send(TargetDown('t1'))
    assert pool.find_target(pool.reserve()) == 't0'


def test_without_targets_requests_are_refused_at_once():
    pool = Pool(targets=1)
    pool.send(TargetsLeaving(frozenset({'t0'})))
    assert pool.find_reason(pool.reserve()) is Reason.NO_TARGET


@pytest.mark.parametrize(('age_ms', 'target'), [(0, 't1'), (10**5, 't0')])
def test_load_reports_are_weighted_by_age(age_ms, target):
    pool = Pool(targets=2, tiers=(Tier('mid', 0),))
    pool.send(LoadReport('t0', 4, 9, age_ms))
    assert pool.find_target(pool.reserve()) == target


def test_request_goes_to_the_target_that_cached_its_prefix():
    pool = Pool(targets=8)
    fields = {'prompt_tokens': 2000, 'block_hashes': tuple(range(30))}
    first = pool.reserve(**fields)
    pool.release(first)
    for _ in range(5):
        pool.reserve()
    second = pool.reserve(**fields)
    assert pool.find_target(second) == pool.find_target(first)


def test_state_and_history_can_be_read():
    pool = Pool(targets=1, slots=1)
    running = pool.reserve()
    pool.reserve('low')
    state = pool.core.describe()
    assert state.waiting == {'gold': 0, 'mid': 0, 'low': 1}
    assert state.running == state.targets[0].running == 1
    assert state.targets[0].health == 'healthy'
    assert pool.explain_last(running).endswith('lease t0')


def test_a_long_answer_may_wait_until_its_caller_would_disconnect():
    pool = Pool(targets=1, slots=1)
    running = pool.reserve(output_tokens=50)
    # At the default rates the whole answer takes about 4 s.
    long = pool.reserve(deadline_ms=15_000, begin_by_ms=2500)
    pool.send(Tick(), wait_ms=1500)
    assert pool.find_reason(long) is None
    pool.release(running)
    assert pool.find_target(long)


def test_a_request_is_refused_when_its_caller_is_about_to_disconnect():
    pool = Pool(targets=1, slots=1)
    pool.reserve()
    waiting = pool.reserve(deadline_ms=15_000, begin_by_ms=2500)
    pool.send(Tick(), wait_ms=2500)
    assert pool.find_reason(waiting) is Reason.DEADLINE


def test_a_late_upper_tier_request_is_refused_before_its_caller_disconnects():
    pool = Pool(targets=1, slots=1)
    pool.reserve('gold')
    kept, shed = (pool.reserve('low') for _ in range(2))
    waiting = pool.reserve('mid', deadline_ms=20_000, begin_by_ms=2500)
    pool.send(Tick(), wait_ms=1900)
    assert pool.find_reason(waiting) is None
    pool.send(Tick(), wait_ms=90)
    assert pool.find_reason(waiting) is Reason.DEADLINE
    assert pool.find_reason(shed) is Reason.SHED
    assert pool.find_reason(kept) is None


# Pattern: the top tier floods, and preempted requests of the middle one wait
# until their deadline above a long queue of the lowest.
def test_a_request_past_its_deadline_is_refused_once_lower_tiers_are_shed():
    pool = Pool(targets=1, slots=1)
    pool.reserve('gold')
    late = pool.reserve('mid', deadline_ms=9000)
    lower = [pool.reserve('low') for _ in range(20)]
    pool.send(Tick(), wait_ms=9400 - pool.now_ms)
    assert pool.find_reason(late) is None
    pool.send(Tick(), wait_ms=200)
    reasons = [pool.find_reason(request) for request in lower]
    assert reasons == [Reason.SHED] * len(lower)
    assert pool.find_reason(late) is Reason.DEADLINE
