"""Tests of the forecast of retries by refused callers."""

from hornbeampulley.decisions import Refuse
from hornbeampulley.decisions._pending_retries import (
    MAX_PENDING_RETRIES,
    PendingRetries,
)
from hornbeampulley.decisions._state import MAX_RETRY_MS, RETRY_JITTER
from tests.pools import Pool, make_reserve


def test_work_counts_until_its_retry_is_due():
    pending_retries = PendingRetries()
    pending_retries.add(100, 0, 10)
    pending_retries.add(200, 0, 20)
    assert pending_retries.sum_work(0, 50) == 30
    assert pending_retries.sum_work(0, 100) == 20
    assert pending_retries.sum_work(0, 200) == 0


def test_work_of_lower_ranks_does_not_count():
    pending_retries = PendingRetries()
    pending_retries.add(100, 1, 10)
    pending_retries.add(100, 2, 20)
    assert pending_retries.sum_work(0, 0) == 0
    assert pending_retries.sum_work(1, 0) == 10
    assert pending_retries.sum_work(2, 0) == 30


def test_pending_retries_are_bounded():
    pending_retries = PendingRetries()
    for _ in range(MAX_PENDING_RETRIES + 5):
        pending_retries.add(100, 0, 1)
    assert pending_retries.sum_work(0, 0) == MAX_PENDING_RETRIES


def refuse_many(count):
    pool = Pool(targets=1, slots=1)
    for _ in range(count):
        pool.send(make_reserve('low', deadline_ms=3000), wait_ms=1)
    return [one for one in pool.actions if isinstance(one, Refuse)]


def test_retry_delays_grow_within_a_burst_of_refusals():
    delays_ms = [refusal.retry_after_ms for refusal in refuse_many(60)]
    assert len(delays_ms) > 20
    # From the queue alone, the last delay would be about equal to the first.
    assert delays_ms[-1] > 1.5 * delays_ms[0]


def test_retry_delay_is_bounded():
    delays_ms = [refusal.retry_after_ms for refusal in refuse_many(2000)]
    assert max(delays_ms) <= MAX_RETRY_MS * (1 + RETRY_JITTER)
