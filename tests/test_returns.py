"""Tests of the work that refused callers bring back."""

from hornbeampulley.decisions import Refuse
from hornbeampulley.decisions._pending_retries import (
    MAX_PENDING_RETRIES,
    PendingRetries,
)
from hornbeampulley.decisions._state import MAX_RETRY_MS, RETRY_JITTER
from tests.pools import Pool, make_reserve


def test_work_counts_until_it_is_due():
    book = PendingRetries()
    book.add(100, 0, 10)
    book.add(200, 0, 20)
    assert book.sum_work(0, 50) == 30
    assert book.sum_work(0, 100) == 20
    assert book.sum_work(0, 200) == 0


def test_work_of_lower_ranks_does_not_count():
    book = PendingRetries()
    book.add(100, 1, 10)
    book.add(100, 2, 20)
    assert book.sum_work(0, 0) == 0
    assert book.sum_work(1, 0) == 10
    assert book.sum_work(2, 0) == 30


def test_the_book_is_bounded():
    book = PendingRetries()
    for _ in range(MAX_PENDING_RETRIES + 5):
        book.add(100, 0, 1)
    assert book.sum_work(0, 0) == MAX_PENDING_RETRIES


def refuse_many(count):
    pool = Pool(targets=1, slots=1)
    for _ in range(count):
        pool.send(make_reserve('low', deadline_ms=3000), wait_ms=1)
    return [one for one in pool.actions if isinstance(one, Refuse)]


def test_callers_refused_in_a_burst_come_back_one_after_another():
    told = [refusal.retry_after_ms for refusal in refuse_many(60)]
    assert len(told) > 20
    # From the queue alone, the last is told about the same as the first.
    assert told[-1] > 1.5 * told[0]


def test_nobody_is_told_to_stay_away_for_long():
    told = [refusal.retry_after_ms for refusal in refuse_many(2000)]
    assert max(told) <= MAX_RETRY_MS * (1 + RETRY_JITTER)
