"""Tests of the decision core on what targets say of themselves."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeampulley.clock import ManualClock
from hornbeampulley.decisions import Lease, Refuse, TargetSignals, Tick
from hornbeampulley.decisions._throttle import Throttle
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._target_signals import SignalStore
from hornbeampulley.node.dialect import ResponseMetadata
from hornbeampulley.routing import TargetRecord
from tests.pools import Pool, make_reserve


def list_leased(actions):
    return [one.target for one in actions if isinstance(one, Lease)]


# Pattern: one of two targets wants no requests for a while; those that wait go
# to the other one, and to the first as soon as its time is over.
def test_a_target_that_backs_off_gets_no_lease_until_the_end():
    pool = Pool(targets=2, slots=4)
    pool.send(TargetSignals('t0', 1, back_off_ms=1000))
    for _ in range(4):
        pool.reserve('low')
    assert set(list_leased(pool.actions)) <= {'t1'}
    waiting = [pool.reserve('low') for _ in range(2)]
    assert not list_leased(pool.send(Tick(), 300))
    assert set(list_leased(pool.send(Tick(), 200))) == {'t0'}
    assert waiting


def test_a_pool_whose_targets_all_back_off_keeps_what_waits():
    pool = Pool(targets=1, slots=4)
    pool.send(TargetSignals('t0', 1, back_off_ms=1000))
    pool.reserve('gold')
    assert not pool.actions
    assert list_leased(pool.send(Tick(), 1000)) == ['t0']


# The users' rule: in some 4 s a target gets at most one and a half times what
# its limit allows, and 5 requests more.
WINDOW_MS = 4000
TICK_MS = 50
RUN_MS = 300


def find_most_in_window(moments_ms):
    return max(
        sum(start <= one < start + WINDOW_MS for one in moments_ms)
        for start in moments_ms
    )


class LimitedPool(Pool):
    """A pool of one target that has named a limit; records its leases."""

    def __init__(self, rate):
        super().__init__(targets=1, slots=8)
        self.running = []
        self.leases_ms = []
        self.send(TargetSignals('t0', 1, rate_limit=rate, limit_age_ms=0))

    def send(self, event, wait_ms=TICK_MS):
        actions = super().send(event, wait_ms)
        for action in actions:
            if isinstance(action, Lease):
                self.leases_ms.append(self.now_ms)
                self.running.append((self.now_ms + RUN_MS, action.request_id))
        return actions

    def run(self, duration_ms):
        """Announce requests all the time, and end those that have run."""
        while self.now_ms < duration_ms:
            self.send(make_reserve('gold'))
            while self.running and self.running[0][0] <= self.now_ms:
                _, request_id = self.running.pop(0)
                self.release(request_id, duration_ms=RUN_MS)


# LIMIT: a target got as many requests as it had free slots, whatever limit it
# had named.
@pytest.mark.parametrize('rate', [0.5, 1.4, 3.0, 8.0])
def test_a_target_gets_no_more_requests_than_its_limit_allows(rate):
    pool = LimitedPool(rate)
    pool.run(20_000)
    most = find_most_in_window(pool.leases_ms)
    assert most <= 1.5 * rate * WINDOW_MS / 1000 + 5
    # What it takes is used.
    assert len(pool.leases_ms) >= 0.8 * rate * 20 - 1


def test_a_limit_that_ended_holds_no_more():
    pool = Pool(targets=1, slots=8)
    pool.send(TargetSignals('t0', 1, rate_limit=0.5, limit_age_ms=0))
    for _ in range(4):
        pool.reserve('gold')
    assert len(list_leased(pool.actions)) == 1
    actions = pool.send(TargetSignals('t0', 1, limit_age_ms=0))
    assert len(list_leased(actions)) == 3


# Pattern: one target with many slots takes few requests; what can't be served
# in time is refused at once, not held for slots that stay empty.
def test_what_a_limited_target_can_not_serve_in_time_is_refused():
    pool = Pool(targets=1, slots=8)
    pool.send(TargetSignals('t0', 1, rate_limit=0.5, limit_age_ms=0))
    for _ in range(8):
        pool.reserve('gold', deadline_ms=3000)
    assert any(isinstance(one, Refuse) for one in pool.actions)


def find_allowed(rate):
    return 1.5 * rate * WINDOW_MS / 1000 + 5


class AnsweringTarget:
    """A throttled target that is always asked, and speaks with each answer."""

    def __init__(self, words):
        self.throttle = Throttle()
        self.starts_ms = []
        self._words = itertools.cycle(words)
        self._answers_ms = []

    def run(self, duration_ms, answer_ms=50, step_ms=5):
        self._speak(0)
        for now_ms in range(0, duration_ms, step_ms):
            while self._answers_ms and self._answers_ms[0] <= now_ms:
                self._answers_ms.pop(0)
                self._speak(now_ms)
            if now_ms >= self.throttle.open_ms:
                self.throttle.record_start(now_ms)
                self.starts_ms.append(now_ms)
                self._answers_ms.append(now_ms + answer_ms)

    def _speak(self, now_ms):
        rate, back_off_ms = next(self._words)
        self.throttle.set(rate, back_off_ms, now_ms)


# LIMIT: each answer that named the limit anew let one more request through.
@pytest.mark.parametrize('rate', [0.05, 1.5, 3, 5, 8, 20])
def test_a_limit_that_each_answer_names_is_kept(rate):
    target = AnsweringTarget([(rate, 0)])
    target.run(20_000)
    most = find_most_in_window(target.starts_ms)
    assert most <= find_allowed(rate)
    assert len(target.starts_ms) >= 0.8 * rate * 20 - 1


# LIMIT: the same where the figure wavers, as each one was news.
@pytest.mark.parametrize(
    'words',
    [
        [(4.9, 0), (5.0, 0), (5.1, 0)],
        [(4, 0), (6, 0)],
        [(5, 0), (5, 40)],
        [(0, 0), (0.05, 0)],
    ],
)
def test_a_limit_that_wavers_is_kept(words):
    target = AnsweringTarget(words)
    target.run(20_000)
    most = find_most_in_window(target.starts_ms)
    assert most <= find_allowed(max(rate for rate, _ in words))


def test_a_limit_that_ends_and_comes_back_at_once_is_kept():
    throttle = Throttle()
    starts_ms = []
    for now_ms in range(0, 20_000, 5):
        throttle.set(None, 0, now_ms)
        throttle.set(5, 0, now_ms)
        if now_ms >= throttle.open_ms:
            throttle.record_start(now_ms)
            starts_ms.append(now_ms)
    assert find_most_in_window(starts_ms) <= find_allowed(5)


def test_a_limit_that_rises_is_used_soon_and_without_a_rush():
    throttle = Throttle()
    throttle.set(0.2, 0, 0)
    throttle.record_start(0)
    throttle.set(8, 0, 1000)
    assert throttle.open_ms <= 1125
    starts_ms = []
    for now_ms in range(1000, 9000, 5):
        if now_ms >= throttle.open_ms:
            throttle.record_start(now_ms)
            starts_ms.append(now_ms)
    assert find_most_in_window(starts_ms) <= 8 * WINDOW_MS / 1000 + 3


def test_a_huge_limit_that_falls_does_not_close_the_target_for_long():
    throttle = Throttle()
    throttle.set(1e9, 0, 0)
    for _ in range(1000):
        throttle.record_start(0)
    throttle.set(5, 0, 0)
    assert throttle.open_ms <= WINDOW_MS + 1000


RATES = st.sampled_from([0, 0.05, 0.5, 1.4, 3, 5, 8, 20])


@given(
    words=st.lists(
        st.tuples(RATES, st.sampled_from([0, 0, 30, 400])), min_size=1
    ),
    answer_ms=st.sampled_from([10, 50, 400]),
)
def test_over_any_window_the_highest_limit_named_is_kept(words, answer_ms):
    target = AnsweringTarget(words)
    target.run(12_000, answer_ms)
    if target.starts_ms:
        most = find_most_in_window(target.starts_ms)
        assert most <= find_allowed(max(rate for rate, _ in words))


# LIMIT: several hosts hear the answers, and each tells the owner of the pool.
@given(
    rates=st.lists(st.sampled_from([4.9, 5.0, 5.1]), min_size=3, max_size=7),
    data=st.data(),
)
@settings(max_examples=20)
def test_a_limit_that_three_hosts_hear_is_kept(rates, data):
    clock = ManualClock()
    owner, *homes = [SignalStore(clock) for _ in range(4)]
    throttle = Throttle()
    record = TargetRecord('t0', 'p', Endpoint('10.0.0.1', 80), 'z', 8)
    words = itertools.cycle(rates)
    hears = itertools.cycle(
        data.draw(st.lists(st.sampled_from(homes), min_size=1, max_size=5))
    )
    starts_ms = []
    for now_ms in range(0, 12_000, 10):
        clock.advance_to(now_ms)
        said = ResponseMetadata(
            b'r',
            is_rejection=False,
            is_other_target=False,
            is_stream=False,
            rate_limit=next(words),
        )
        told = next(hears).learn(record, said, now_ms)
        news = told and owner.keep(told, 'home')
        if news:
            throttle.set(news.rate_limit, news.back_off_ms, now_ms)
        if now_ms >= throttle.open_ms:
            throttle.record_start(now_ms)
            starts_ms.append(now_ms)
    assert find_most_in_window(starts_ms) <= find_allowed(5.1)
