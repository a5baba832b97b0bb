"""Tests of the decision core on what targets say of themselves."""

from hornbeampulley.decisions import Lease, TargetSignals, Tick
from tests.pools import Pool


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
