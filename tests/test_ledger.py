"""Tests of the request table, idempotency keys and retry budgets."""

from hornbeampulley.decisions._request_table import RequestTable, RetryBudget
from hornbeampulley.decisions._requests import Request
from tests.pools import make_reserve


def test_key_is_claimed_for_a_window_and_can_be_released():
    request_table = RequestTable()
    first, second = (make_reserve(idempotency_key='k') for _ in range(2))
    assert request_table.claim_key(first, 0)
    assert request_table.claim_key(first, 0)
    assert not request_table.claim_key(second, 1000)
    request_table.release_key(second)
    assert request_table.is_key_taken(second, 1000)
    request_table.release_key(first)
    assert request_table.claim_key(second, 1000)
    assert request_table.claim_key(first, 10**7)


def test_ended_requests_leave_only_their_id():
    request_table = RequestTable()
    request = Request(make_reserve(request_id='a'), 0, 0, 1)
    request_table.add(request)
    assert request_table.list_home('home') == [request]
    request_table.end(request)
    assert request_table.find('a') is None
    assert request_table.has_ended('a')
    assert not request_table.list_home('home')


def test_retry_budget_is_earned_by_leases():
    budget = RetryBudget()
    while budget.spend('small'):
        pass
    for _ in range(11):
        budget.earn('small')
    assert budget.spend('small')
    assert not budget.spend('small')
