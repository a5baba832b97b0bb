"""Tests of the waiting queue: workspace shares, tiers and floors."""

import collections

from hornbeampulley.configuration import Tier, Workspace
from hornbeampulley.decisions._queue import WaitingQueue
from hornbeampulley.decisions._requests import Request
from tests.pools import make_reserve

TIERS = {'gold': Tier('gold', 0), 'low': Tier('low', 1, floor=0.25)}
SHARES = {'small': Workspace('small', 1), 'large': Workspace('large', 3)}


def build_queue():
    queue = WaitingQueue()
    queue.configure(TIERS, SHARES)
    return queue


def push(queue, tier='low', price_ms=10, arrived_ms=0, **fields):
    reserve = make_reserve(tier, **fields)
    rank = queue.find_rank(tier)
    request = Request(reserve, rank, arrived_ms, price_ms)
    request.objective_start_ms = reserve.objective_ms
    if reserve.deadline_ms:
        request.latest_start_ms = reserve.deadline_ms - price_ms
    queue.push(request)
    return request


def pop(queue, rank):
    request = queue.find_next(rank)
    queue.dequeue(request)
    return request


def test_short_requests_go_first_until_a_long_one_has_aged():
    queue = build_queue()
    long = push(queue, price_ms=1000)
    short = push(queue, price_ms=1, arrived_ms=100)
    late = push(queue, price_ms=1, arrived_ms=4000)
    assert [pop(queue, 1) for _ in range(3)] == [short, long, late]


def test_workspaces_are_served_by_their_shares():
    queue = build_queue()
    for _ in range(100):
        push(queue, workspace='small')
        push(queue, workspace='large')
    served = collections.Counter(
        pop(queue, 1).reserve.workspace for _ in range(80)
    )
    assert 55 <= served['large'] <= 65


def test_actual_cost_is_charged_to_the_workspace():
    queue = build_queue()
    greedy = push(queue, workspace='small')
    pop(queue, 1)
    queue.charge_difference(greedy, 1000)
    push(queue, workspace='small')
    other = push(queue, workspace='large')
    assert pop(queue, 1) is other


def test_floor_guarantees_dispatches_to_a_lower_tier():
    queue = build_queue()
    served = collections.Counter()
    for _ in range(60):
        push(queue, 'gold')
        push(queue, 'low')
    for _ in range(40):
        rank = queue.choose_rank(lambda _: True)
        pop(queue, rank)
        queue.record_dispatch(rank)
        served[rank] += 1
    assert 6 <= served[1] <= 11


def test_newest_request_of_the_workspace_over_its_share_is_shed_first():
    queue = build_queue()
    push(queue, 'gold', workspace='large', price_ms=10**6)
    push(queue, workspace='large')
    push(queue, workspace='small')
    worst = push(queue, workspace='small')
    assert queue.pop_shed_candidate() is worst


def test_late_requests_are_served_last_and_removed_ones_ignored():
    queue = build_queue()
    late = push(queue, deadline_ms=50)
    gone = push(queue, price_ms=20)
    other = push(queue, price_ms=30)
    queue.remove(gone)
    queue.mark_late(100)
    assert queue.list_late(100) == [late]
    assert [pop(queue, 1), pop(queue, 1)] == [other, late]
    assert queue.count == 0


def test_changed_ranks_requeue_waiting_requests():
    queue = build_queue()
    request = push(queue, 'low')
    turned = {'low': Tier('low', 0), 'gold': Tier('gold', 1)}
    queue.configure(turned, SHARES)
    assert pop(queue, 0) is request


def test_fresh_requests_go_before_those_that_missed_their_objective():
    queue = build_queue()
    missed = push(queue, objective_ms=50, deadline_ms=500)
    fresh = push(queue, objective_ms=300, arrived_ms=90)
    queue.mark_late(100)
    assert queue.list_late(100) == []
    assert [pop(queue, 1), pop(queue, 1)] == [fresh, missed]
    assert queue.count == 0


def test_requests_past_their_objective_are_shed_first():
    queue = build_queue()
    missed = push(queue, workspace='large', objective_ms=50)
    push(queue, workspace='small', price_ms=10**6, arrived_ms=90)
    queue.mark_late(100)
    assert queue.pop_shed_candidate() is missed


def test_requests_past_their_objective_still_have_a_deadline():
    queue = build_queue()
    missed = push(queue, objective_ms=50, deadline_ms=500)
    fresh = push(queue, arrived_ms=590)
    queue.mark_late(100)
    queue.mark_late(600)
    assert queue.list_late(600) == [missed]
    assert pop(queue, 1) is fresh


def test_requests_served_past_their_objective_are_not_marked_late():
    queue = build_queue()
    push(queue, objective_ms=50, deadline_ms=500)
    queue.mark_late(100)
    pop(queue, 1)
    withdrawn = push(queue, objective_ms=150, deadline_ms=500)
    queue.mark_late(200)
    queue.remove(withdrawn)
    queue.mark_late(600)
    assert queue.count == 0
    fresh = push(queue, arrived_ms=590)
    assert queue.list_late(600) == []
    assert pop(queue, 1) is fresh


def test_skipped_requests_keep_their_place():
    queue = build_queue()
    first = push(queue, arrived_ms=1)
    second = push(queue, arrived_ms=2)
    overdue = push(queue, objective_ms=50)
    queue.mark_late(100)
    for passed in (first, second, overdue):
        assert queue.find_next(1) is passed
        queue.skip(passed)
    assert queue.choose_rank(lambda _: True) is None
    queue.restore_skipped()
    assert queue.count == 3
    assert [pop(queue, 1) for _ in range(3)] == [first, second, overdue]


def test_request_waiting_for_a_faster_target_is_not_shed_as_the_newest():
    queue = build_queue()
    waiting = push(queue, workspace='small', arrived_ms=1)
    newest = push(queue, workspace='small', arrived_ms=2)
    other = push(queue, workspace='large')
    queue.charge_difference(other, 1000)
    assert queue.find_next(1) is waiting
    assert queue.find_most_over_share(waiting) is other
    queue.dequeue(other)
    assert queue.pop_shed_candidate() is newest
