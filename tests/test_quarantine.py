"""Tests of the quarantine and isolation of contents that crash targets."""

import pytest

from hornbeampulley.decisions import (
    Outcome,
    Preempt,
    Quarantine,
    Reason,
    Refuse,
    TargetDown,
    Warn,
)
from hornbeampulley.decisions._quarantine import QuarantineList
from tests.pools import Pool


def crash(quarantine, number, contents):
    for content in contents:
        quarantine.add_suspect(content, number)
    return quarantine.conclude(number)


def test_second_crash_quarantines_only_a_sole_repeated_suspect():
    quarantine = QuarantineList()
    assert crash(quarantine, 1, [1, 2, 0]) == 0
    assert crash(quarantine, 2, [1, 2, 3]) == 0
    assert crash(quarantine, 3, [1, 4]) == 1
    assert quarantine.is_quarantined(1)
    assert not quarantine.is_suspect(4)
    assert not quarantine.is_suspect(2)


def test_unexplained_crashes_keep_a_content_suspect():
    quarantine = QuarantineList()
    crash(quarantine, 1, [1, 2])
    crash(quarantine, 2, [3, 4])
    assert crash(quarantine, 3, [1]) == 1
    assert not quarantine.is_suspect(2)
    assert quarantine.is_suspect(3)
    quarantine.clear_suspicion(3)
    assert not quarantine.is_suspect(3)


def test_unsent_request_is_not_suspect():
    pool = Pool(targets=2)
    unsent = pool.reserve(fingerprint=1)
    pool.send(TargetDown(pool.find_target(unsent)))
    pool.release(unsent, Outcome.NOT_SENT)
    beside = [pool.reserve(fingerprint=one) for one in (1, 2)]
    assert all(pool.find_target(one) for one in beside)


def crash_beside_innocent(pool):
    bad = pool.reserve(fingerprint=1, target='t0')
    innocent = pool.reserve(fingerprint=2, target='t0')
    pool.release(bad, Outcome.CRASHED)
    pool.release(innocent, Outcome.CRASHED)


def test_suspects_run_alone_and_the_crashing_content_is_refused():
    pool = Pool(targets=3)
    crash_beside_innocent(pool)
    other = pool.reserve(fingerprint=3)
    again = pool.reserve(fingerprint=1)
    assert pool.find_target(again) != pool.find_target(other)
    pool.release(again, Outcome.CRASHED)
    refusal = pool.find(Refuse, again)[-1]
    assert refusal.reason is Reason.QUARANTINED
    assert refusal.ran
    assert Warn('quarantined', '1') in pool.actions
    pool.release(other)
    innocent = pool.reserve(fingerprint=2)
    assert pool.find_target(innocent)
    pool.release(innocent)
    assert pool.find_reason(innocent) is None
    assert pool.find_reason(pool.reserve(fingerprint=1)) is Reason.QUARANTINED


def test_copies_of_a_suspect_on_other_targets_are_preempted():
    pool = Pool(targets=2, slots=4)
    copies = [pool.reserve(fingerprint=1) for _ in range(4)]
    crashed = pool.find_target(copies[0])
    pool.release(copies[0], Outcome.CRASHED)
    elsewhere = [one for one in copies if pool.find_target(one) != crashed]
    assert elsewhere
    assert all(pool.find(Preempt, one) for one in elsewhere)


@pytest.mark.parametrize('tier', ['gold', 'low'])
def test_quarantine_by_another_scheduler_refuses_waiting_requests(tier):
    pool = Pool(targets=1, slots=1)
    pool.reserve('gold')
    waiting = pool.reserve(tier, fingerprint=7)
    pool.send(Quarantine(7))
    assert pool.find_reason(waiting) is Reason.QUARANTINED
