"""Tests of the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.routing import HostRetryBudget, RetrySettings

SETTINGS = RetrySettings(ratio=0.2, window_ms=10_000, slack=56, hosts=16)


def test_a_host_without_requests_has_a_share_of_the_slack():
    budget = HostRetryBudget(SETTINGS)
    spent = [budget.spend('p', 0) for _ in range(20)]
    assert spent.count(True) == 4


def test_pools_have_budgets_of_their_own():
    budget = HostRetryBudget(SETTINGS)
    while budget.spend('p', 0):
        continue
    assert budget.spend('q', 0)


def test_the_budget_is_restored_after_the_window():
    budget = HostRetryBudget(SETTINGS)
    while budget.spend('p', 0):
        continue
    assert not budget.spend('p', 9_999)
    assert budget.spend('p', 10_001)


# BUDGET: 76 hosts divided the slack among 16, so that they spent it nearly five times.
@pytest.mark.parametrize('count', [1, 8, 16, 17, 76, 410])
def test_all_hosts_together_stay_within_the_budget(count):
    budgets = [HostRetryBudget(SETTINGS, lambda: count) for _ in range(count)]
    requests = 40
    for budget in budgets:
        for _ in range(requests):
            budget.count_request('p', 0)
    spent = sum(
        budget.spend('p', 1) for budget in budgets for _ in range(requests)
    )
    assert spent <= SETTINGS.ratio * requests * count + SETTINGS.slack
    assert spent >= SETTINGS.ratio * requests * count / 2


# The hosts of one side of a partition remember those of the other.
def test_the_slack_is_not_divided_anew_when_few_hosts_are_left():
    known = [76]
    budget = HostRetryBudget(SETTINGS, lambda: known[0])
    assert not budget.spend('p', 0)
    known[0] = 8
    assert [budget.spend('p', 0) for _ in range(5)].count(True) == 4


STEPS = st.lists(
    st.tuples(st.integers(0, 15), st.booleans(), st.integers(0, 900)),
    max_size=300,
)


@given(steps=STEPS)
def test_the_sum_over_all_hosts_holds(steps):
    hosts = [HostRetryBudget(SETTINGS) for _ in range(SETTINGS.hosts)]
    now_ms = 0
    requests = []
    retries = []
    for number, is_retry, pause_ms in steps:
        now_ms += pause_ms
        if not is_retry:
            hosts[number].count_request('p', now_ms)
            requests.append(now_ms)
        elif hosts[number].spend('p', now_ms):
            retries.append(now_ms)
        since_ms = now_ms - SETTINGS.window_ms
        recent = sum(moment >= since_ms for moment in requests)
        used = sum(moment >= since_ms for moment in retries)
        assert used <= SETTINGS.ratio * recent + SETTINGS.slack + 16
