"""Tests of finding the part of prompts that crashes targets.

Pattern: requests that share one part crash each target that begins to answer
them, among sound requests that share all their other parts.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.decisions import (
    Outcome,
    PartQuarantine,
    Progress,
    Reason,
    TargetDown,
    Tick,
)
from hornbeampulley.decisions._completion import ANSWERING_MS
from hornbeampulley.decisions._crashes import SETTLE_MS
from hornbeampulley.decisions._deadly_parts import (
    FIRST_PERIOD_MS,
    PERIOD_FACTOR,
    RECENT_MS,
    DeadlyParts,
)
from tests.pools import Pool

CALLER, DEADLY, SOUND = 1, 2, 3


def make_prompt(part, own):
    return (CALLER, part, own)


def crash(parts, own, target='t', now_ms=0):
    return parts.record_crash(target, [make_prompt(DEADLY, own)], now_ms)


def find(parts):
    """Crash two targets with sound answers between and return the verdict."""
    crash(parts, 10)
    parts.record_begun(make_prompt(SOUND, 11), 100)
    return crash(parts, 12, 'u', 200)


def test_a_part_of_two_prompts_that_crashed_is_refused():
    parts = DeadlyParts()
    assert [one.part for one in find(parts)] == [DEADLY]
    assert parts.is_refused(make_prompt(DEADLY, 13), 300)
    assert not parts.is_refused(make_prompt(SOUND, 14), 300)


def test_repeats_of_one_prompt_do_not_accuse_its_parts():
    parts = DeadlyParts()
    crash(parts, 10)
    parts.record_begun(make_prompt(SOUND, 11), 100)
    assert not crash(parts, 10, 'u')
    assert not parts.is_refused(make_prompt(DEADLY, 13), 300)


def test_targets_that_end_together_count_once():
    parts = DeadlyParts()
    for number in range(6):
        assert not crash(parts, number, f't{number}')
    assert not parts.is_refused(make_prompt(DEADLY, 13), 300)


def test_a_target_that_crashes_again_counts_though_nothing_was_answered():
    parts = DeadlyParts()
    crash(parts, 10)
    assert crash(parts, 11)


def test_the_last_part_in_the_prompt_explains_the_crashes():
    parts = DeadlyParts()
    crash(parts, 10)
    parts.record_begun((9, 99), 100)
    assert [one.part for one in crash(parts, 12, 'u')] == [DEADLY]
    assert not parts.is_refused(make_prompt(SOUND, 14), 300)
    # The crashes that the deadly part explains count no longer.
    parts.record_begun((9, 99), 400)
    assert not parts.record_crash('v', [make_prompt(SOUND, 15)], 500)


def test_a_part_on_which_answers_began_of_late_needs_another_crash():
    parts = DeadlyParts()
    parts.record_begun(make_prompt(DEADLY, 9), 0)
    assert not find(parts)
    parts.record_begun((9, 99), 300)
    assert crash(parts, 14, 'v', 400)


def test_a_part_that_turns_deadly_is_found_after_a_while():
    parts = DeadlyParts()
    parts.record_begun(make_prompt(DEADLY, 9), 0)
    crash(parts, 10, 't', RECENT_MS)
    parts.record_begun((9, 99), RECENT_MS)
    assert crash(parts, 12, 'u', RECENT_MS)


def test_an_answer_lifts_the_quarantine():
    parts = DeadlyParts()
    find(parts)
    assert parts.record_begun(make_prompt(DEADLY, 13), 300) == [
        PartQuarantine(DEADLY),
    ]
    assert not parts.is_refused(make_prompt(DEADLY, 14), 400)


def test_one_request_is_let_through_after_each_longer_period():
    parts = DeadlyParts()
    find(parts)
    now_ms = 200 + FIRST_PERIOD_MS
    assert not parts.is_refused(make_prompt(DEADLY, 13), now_ms)
    (probe,) = parts.begin_probe(make_prompt(DEADLY, 13), now_ms)
    assert probe.period_ms == FIRST_PERIOD_MS * PERIOD_FACTOR
    assert parts.is_refused(make_prompt(DEADLY, 14), now_ms)
    (quarantine,) = crash(parts, 13, 'v', now_ms)
    assert quarantine.left_ms == FIRST_PERIOD_MS * PERIOD_FACTOR


# LOST: the part that all shared was refused for crashes of another part.
def test_the_part_without_an_answer_explains_crashes_wherever_it_stands():
    parts = DeadlyParts()
    parts.record_begun((SOUND, CALLER, 9), 0)
    now_ms = RECENT_MS + 1
    parts.record_crash('t', [(DEADLY, CALLER, 10)], now_ms)
    quarantines = parts.record_crash('t', [(DEADLY, CALLER, 11)], now_ms)
    assert [one.part for one in quarantines] == [DEADLY]
    assert not parts.is_refused((SOUND, CALLER, 12), now_ms)


# LOST: a part of several prompts on one target that crashed counted twice, and then
# explained the crashes better than the deadly one.
def test_several_prompts_on_a_target_make_one_crash():
    parts = DeadlyParts()
    parts.record_begun(make_prompt(SOUND, 9), 0)
    for crashes, target in enumerate('tut', start=1):
        prompts = [
            make_prompt(SOUND, 10 * crashes),
            make_prompt(SOUND, 10 * crashes + 1),
            make_prompt(DEADLY, 10 * crashes + 2),
            make_prompt(SOUND, 10 * crashes + 3),
        ]
        quarantines = parts.record_crash(target, prompts, crashes)
    assert [one.part for one in quarantines] == [DEADLY]
    assert not parts.is_refused(make_prompt(SOUND, 99), crashes)


# LOST: a request that was let through crashed a target because of another part, and
# a sound part was refused for longer.
def test_a_request_let_through_accuses_what_was_answered_on_least():
    parts = DeadlyParts()
    parts.record_begun(make_prompt(SOUND, 9), 0)
    parts.apply(PartQuarantine(CALLER, 1000, FIRST_PERIOD_MS), 0)
    for number in (1, 2):
        now_ms = number * 1000
        prompt = make_prompt(DEADLY, 10 + number)
        assert not parts.is_refused(prompt, now_ms)
        parts.begin_probe(prompt, now_ms)
        parts.record_crash('t', [prompt], now_ms + 10)
        assert not parts.is_refused(make_prompt(SOUND, 20), now_ms + 10)
    assert parts.is_refused(make_prompt(DEADLY, 30), now_ms + 10)
    parts.begin_probe(make_prompt(SOUND, 31), now_ms + 20)
    assert parts.record_begun(make_prompt(SOUND, 31), now_ms + 20)


PROMPTS = st.lists(
    st.tuples(st.integers(1, 4), st.integers(1, 4), st.integers(10, 30)),
    max_size=4,
)


@given(st.lists(st.tuples(st.sampled_from('tuv'), PROMPTS), max_size=20))
def test_no_part_is_refused_on_which_an_answer_has_just_begun(crashes):
    parts = DeadlyParts()
    for now_ms, (target, prompts) in enumerate(crashes):
        parts.record_crash(target, prompts, now_ms)
        for prompt in prompts:
            parts.record_begun(prompt, now_ms)
    for _, prompts in crashes:
        for prompt in prompts:
            assert not parts.is_refused(prompt, len(crashes))


def run_sound(pool, own):
    """Run a sound request to its end."""
    sound = pool.reserve(prompt_parts=make_prompt(SOUND, own))
    assert pool.find_target(sound)
    pool.release(sound)


# BUDGET: requests with one part in common, no two alike, crashed target after
# target.
def test_a_pool_refuses_a_deadly_part_and_serves_the_others():
    pool = Pool(targets=4)
    reasons = []
    for number in range(8):
        fields = {
            'prompt_parts': make_prompt(DEADLY, 100 + number),
            'fingerprint': 100 + number,
        }
        deadly = pool.reserve(**fields)
        run_sound(pool, 200 + number)
        reasons.append(pool.find_reason(deadly))
        if pool.find_target(deadly):
            pool.release(deadly, Outcome.CRASHED, first_token_ms=0)
    assert reasons == [None] * 2 + [Reason.QUARANTINED] * 6


def test_prompts_that_are_being_answered_are_not_suspect():
    pool = Pool(targets=4)
    for number in range(3):
        begun = pool.reserve(
            prompt_parts=make_prompt(SOUND, number), fingerprint=number + 1
        )
        pool.send(Progress(begun, 1, 50))
        pool.send(Tick(), wait_ms=ANSWERING_MS)
        pool.release(begun, Outcome.CRASHED)
        run_sound(pool, 100 + number)
    assert not [one for one in pool.actions if isinstance(one, PartQuarantine)]


# A request that was preempted and leased again stopped all later ones from
# being cleared.
def test_an_answer_that_begins_anew_does_not_hold_up_the_others():
    pool = Pool(targets=4)
    first = pool.reserve()
    pool.send(Progress(first, 1, 50))
    pool.release(first, Outcome.PREEMPTED)
    pool.send(PartQuarantine(SOUND, 60_000, 60_000))
    pool.send(PartQuarantine(SOUND))
    sound = pool.reserve(prompt_parts=make_prompt(SOUND, 10))
    pool.send(Progress(sound, 1, 50))
    pool.send(PartQuarantine(SOUND, 60_000, 60_000))
    pool.send(Tick(), wait_ms=ANSWERING_MS)
    assert pool.actions[-1] == PartQuarantine(SOUND)


# The first token may still reach the home before the target is gone.
def test_a_part_that_crashes_targets_after_the_first_token_is_found():
    pool = Pool(targets=4)
    for number in range(2):
        deadly = pool.reserve(
            prompt_parts=make_prompt(DEADLY, number), fingerprint=number + 1
        )
        run_sound(pool, 100 + number)
        pool.send(Progress(deadly, 1, 50))
        pool.release(deadly, Outcome.CRASHED)
    late = pool.reserve(prompt_parts=make_prompt(DEADLY, 10))
    assert pool.find_reason(late) is Reason.QUARANTINED


def test_waiting_requests_are_refused_when_another_scheduler_decides():
    pool = Pool(targets=1, slots=1)
    pool.reserve()
    waiting = pool.reserve(prompt_parts=make_prompt(DEADLY, 10))
    other = pool.reserve(prompt_parts=make_prompt(SOUND, 11))
    pool.send(PartQuarantine(DEADLY, 500, 1000))
    assert pool.find_reason(waiting) is Reason.QUARANTINED
    assert pool.find_reason(other) is None


def reserve_part(pool, part, own, target=''):
    prompt = make_prompt(part, own)
    return pool.reserve(prompt_parts=prompt, fingerprint=own, target=target)


# LOST: a target that was down could not be connected to, which counted as crashes of
# requests that were never sent to it.
def test_a_target_that_can_not_be_connected_to_accuses_no_part():
    pool = Pool(targets=2)
    for number in range(2):
        deadly = reserve_part(pool, DEADLY, 100 + number)
        pool.release(deadly, Outcome.CRASHED, first_token_ms=0)
    for number in range(6):
        unsent = reserve_part(pool, SOUND, 200 + number)
        target = pool.find_target(unsent)
        if target:
            pool.send(TargetDown(target), wait_ms=1)
            pool.release(unsent, Outcome.NOT_SENT)
        pool.send(Tick(), wait_ms=1000)
    accused = {
        one.part for one in pool.actions if isinstance(one, PartQuarantine)
    }
    assert accused <= {DEADLY}
    served = reserve_part(pool, SOUND, 300)
    pool.send(Tick(), wait_ms=30_000)
    assert pool.find_reason(served) is None


# LOST: the same while another request broke off on the target.
@pytest.mark.parametrize(
    'outcome', [Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.FAILED]
)
def test_a_crash_accuses_only_what_was_sent(outcome):
    pool = Pool(targets=4)
    for number in range(4):
        target = f't{number}'
        deadly = reserve_part(pool, DEADLY, 100 + number, target)
        unsent = reserve_part(pool, SOUND, 200 + number, target)
        pool.release(deadly, Outcome.CRASHED, first_token_ms=0)
        pool.release(unsent, outcome)
    accused = {
        one.part for one in pool.actions if isinstance(one, PartQuarantine)
    }
    assert accused <= {DEADLY}
    assert pool.find_reason(reserve_part(pool, SOUND, 300)) is None


def test_a_crash_is_concluded_though_a_home_does_not_report():
    pool = Pool(targets=4)
    silent = []
    for number in range(2):
        target = f't{number}'
        silent.append(reserve_part(pool, SOUND, 200 + number, target))
        deadly = reserve_part(pool, DEADLY, 100 + number, target)
        pool.release(deadly, Outcome.CRASHED, first_token_ms=0)
        run_sound(pool, 300 + number)
        pool.send(Tick(), wait_ms=SETTLE_MS)
    late = reserve_part(pool, DEADLY, 400)
    assert pool.find_reason(late) is Reason.QUARANTINED
    for one in silent:
        pool.release(one, Outcome.CRASHED)
    assert pool.find_reason(reserve_part(pool, SOUND, 401)) is None
