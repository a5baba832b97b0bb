"""Tests of the orders to targets and of the token bucket."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.configuration import Configuration, Target
from hornbeampulley.membership import (
    DeferredOrder,
    LoadModel,
    OrderPlanner,
    OrderSettings,
    TargetReport,
    TokenBucket,
)

SETTINGS = OrderSettings(
    lease_ms=5000,
    retry_ms=30_000,
    loads_per_second=1,
    burst_loads=2,
)


def configure(number, model, *names, checks_fencing=False):
    targets = {
        name: Target(
            name,
            'pool',
            '192.0.2.1',
            1,
            'a',
            model=model,
            checks_fencing=checks_fencing,
        )
        for name in names
    }
    return Configuration(targets=targets, numbers={'targets/pool': number})


def make_planner(age_ms=0, names=('m1',)):
    planner = OrderPlanner(SETTINGS, lambda scope, now_ms: age_ms, 0)
    for name in names:
        planner.record_report(TargetReport(name, 'old'))
    return planner


def test_order_is_issued_once_and_again_after_retry_ms():
    planner, wanted = make_planner(age_ms=1000), configure(7, 'new', 'm1')
    order = LoadModel('m1', 'new', 7, 4000)
    assert planner.plan(wanted, ['m1'], 0) == (order,)
    assert planner.plan(wanted, ['m1'], 29_000) == ()
    assert planner.plan(wanted, ['m1'], 30_000) == (order,)
    planner.record_report(TargetReport('m1', 'new'))
    assert planner.plan(wanted, ['m1'], 90_000) == ()


def test_only_owned_and_reporting_targets_get_orders():
    planner, wanted = make_planner(), configure(7, 'new', 'm1', 'm2')
    assert planner.plan(wanted, ['m2'], 0) == ()
    assert planner.plan(wanted, [], 0) == ()


def test_stale_configuration_orders_fencing_targets_only():
    planner = make_planner(age_ms=5000)
    unchecked = configure(7, 'new', 'm1')
    deferred = DeferredOrder('m1', 'stale_configuration')
    assert planner.plan(unchecked, ['m1'], 0) == (deferred,)
    checked = configure(7, 'new', 'm1', checks_fencing=True)
    (order,) = planner.plan(checked, ['m1'], 0)
    assert order.fencing_number == 7


class FencingTarget:
    """Rejects orders with a lower fencing number than it has accepted."""

    def __init__(self):
        self.model, self.number = 'old', 0

    def receive(self, order):
        if order.fencing_number >= self.number:
            self.model, self.number = order.model, order.fencing_number


def test_order_from_a_resumed_scheduler_with_an_old_ticket_is_rejected():
    resumed, current = make_planner(), make_planner()
    target = FencingTarget()
    old = configure(7, 'seven', 'm1', checks_fencing=True)
    new = configure(8, 'eight', 'm1', checks_fencing=True)
    (late,) = resumed.plan(old, ['m1'], 0)
    (order,) = current.plan(new, ['m1'], 0)
    target.receive(order)
    target.receive(late)
    assert target.model == 'eight'
    resumed.record_report(TargetReport('m1', target.model, target.number))
    assert resumed.plan(old, ['m1'], 99_000) == (
        DeferredOrder('m1', 'newer_order'),
    )


@given(
    age_ms=st.integers(0, 9000),
    delay_ms=st.integers(0, 9000),
)
def test_target_without_fencing_gets_orders_within_the_lease_only(
    age_ms, delay_ms
):
    planner = make_planner(age_ms=age_ms)
    for order in planner.plan(configure(7, 'new', 'm1'), ['m1'], 0):
        if isinstance(order, LoadModel) and delay_ms < order.valid_ms:
            assert age_ms + delay_ms < SETTINGS.lease_ms


def test_rate_of_the_weight_store_is_not_exceeded():
    names = [f'm{index}' for index in range(20)]
    planner, wanted = make_planner(names=names), configure(7, 'new', *names)
    issued = [
        order
        for now_ms in range(0, 10_000, 100)
        for order in planner.plan(wanted, names, now_ms)
        if isinstance(order, LoadModel)
    ]
    assert 10 <= len(issued) <= 12
    assert len({order.target for order in issued}) == len(issued)


def test_share_of_the_weight_store():
    names = [f'm{index}' for index in range(20)]
    planner, wanted = make_planner(names=names), configure(7, 'new', *names)
    planner.set_share(4, 0)
    outcomes = [
        outcome
        for now_ms in range(0, 20_001, 100)
        for outcome in planner.plan(wanted, names, now_ms)
    ]
    assert sum(isinstance(one, LoadModel) for one in outcomes) == 7
    assert DeferredOrder('m9', 'weight_store_rate') in outcomes


@given(st.lists(st.integers(0, 3000), max_size=60))
def test_bucket_never_exceeds_its_rate(gaps_ms):
    bucket, now_ms, taken = TokenBucket(2, 3, 0), 0, 0
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        taken += bucket.take(now_ms)
        assert taken <= 3 + 2 * now_ms / 1000
