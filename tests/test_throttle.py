"""Tests of the decision core on what targets say of themselves."""

import pytest

from hornbeampulley.decisions import Lease, Refuse, TargetSignals, Tick
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
