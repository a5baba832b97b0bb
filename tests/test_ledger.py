"""Known requests, idempotency keys and retry budgets."""

from hornbeampulley.decisions._ledger import Ledger, RetryBudget
from hornbeampulley.decisions._requests import Request
from tests.pools import make_reserve


def test_key_is_held_for_a_window_and_can_be_given_back():
    ledger = Ledger()
    first, second = (make_reserve(idempotency_key='k') for _ in range(2))
    assert ledger.claim_key(first, 0)
    assert ledger.claim_key(first, 0)
    assert not ledger.claim_key(second, 1000)
    ledger.free_key(second)
    assert ledger.is_key_taken(second, 1000)
    ledger.free_key(first)
    assert ledger.claim_key(second, 1000)
    assert ledger.claim_key(first, 10**7)


def test_ended_requests_leave_only_their_id():
    ledger = Ledger()
    request = Request(make_reserve(request_id='a'), 0, 0, 1)
    ledger.add(request)
    assert ledger.list_home('home') == [request]
    ledger.end(request)
    assert ledger.find('a') is None
    assert ledger.has_ended('a')
    assert not ledger.list_home('home')


def test_retry_budget_is_earned_by_leases():
    budget = RetryBudget()
    while budget.spend('small'):
        pass
    for _ in range(11):
        budget.earn('small')
    assert budget.spend('small')
    assert not budget.spend('small')
