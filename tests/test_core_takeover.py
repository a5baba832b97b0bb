"""Tests of the core when homes lose connections or a takeover ends."""

from hornbeampulley.configuration import (
    Configuration,
    RoutingRule,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.decisions import (
    Configure,
    Core,
    HomeLost,
    Lease,
    Outcome,
    Release,
    Reserve,
    TakeoverEnded,
)

CONFIGURATION = Configuration(
    tiers={'standard': Tier('standard', 0)},
    workspaces={'shop': Workspace('shop')},
    services={'tag': Service('tag', 'pool')},
    targets={'m1': Target('m1', 'pool', '127.0.0.1', 1, 'zone', slots=2)},
    rules=(RoutingRule('*', '*', 'standard'),),
)


def make_core():
    core = Core('pool')
    core.handle(Configure(CONFIGURATION), 0)
    return core


def reserve(request_id, **changes):
    fields = {'prompt_tokens': 10, 'idempotency_key': request_id} | changes
    return Reserve(request_id, 'home', 'shop', 'tag', 'standard', **fields)


def list_leased(actions):
    return [one.request_id for one in actions if isinstance(one, Lease)]


def test_a_reconnected_home_gets_leases_again():
    core = make_core()
    for name in ('a', 'b', 'c'):
        core.handle(reserve(name), 1)
    core.handle(HomeLost('home'), 2)
    leased = []
    for name in ('a', 'b', 'c'):
        leased += list_leased(core.handle(reserve(name), 3))
    assert leased == ['a', 'b']
    leased = list_leased(core.handle(Release('a', Outcome.DONE), 50))
    assert leased == ['c']


def test_limits_are_raised_when_a_takeover_ends():
    core = Core('pool', is_takeover=True)
    core.handle(Configure(CONFIGURATION), 0)
    leased = []
    for name in ('a', 'b', 'c'):
        leased += list_leased(core.handle(reserve(name), 1))
    assert leased == ['a']
    assert list_leased(core.handle(TakeoverEnded(), 2)) == ['b']


def test_an_ended_request_is_not_leased_again():
    core = make_core()
    core.handle(reserve('a'), 1)
    core.handle(Release('a', Outcome.DONE), 50)
    assert not list_leased(core.handle(reserve('a'), 60))
