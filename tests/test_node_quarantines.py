"""Tests of quarantined parts of prompts that nodes tell each other."""

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.decisions import PartQuarantine
from hornbeampulley.node._quarantines import (
    MAX_QUARANTINES,
    PoolQuarantine,
    QuarantineStore,
)
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    read_part_quarantine,
    write_part_quarantine,
)
from tests.test_node_peers import HOME, FakeLink, NodeSide

DEADLY = 0xDEAD << 48
FOUND = PoolQuarantine('ledger', PartQuarantine(DEADLY, 500, 500))


class ReachableLeaseClient:
    own_incarnation = '0' * 16

    def handle_link_ready(self):
        """Do nothing, as no request waits."""


def list_told(link):
    return [one for one in link.sent if isinstance(one, ttypes.PartQuarantine)]


def reserve(side, link, part, counter):
    event = decisions.Reserve(
        f'{HOME}.0.{counter}',
        HOME,
        'w',
        'once@ledger',
        'tier-1',
        prompt_parts=(part, counter),
    )
    side.scheduling.handle_event(event)
    return [one for one in link.sent if isinstance(one, ttypes.Refuse)]


def test_a_decision_is_told_to_all_homes_and_to_those_that_come_later():
    side = NodeSide()
    early = side.open_home_link()
    side.scheduling.quarantines.decide(FOUND)
    late = FakeLink()
    late.peer = ttypes.Hello(incarnation='2' * 16)
    side.handler.receive(late, late.peer)
    told = [*list_told(early), *list_told(late)]
    assert [one.pool for one in told] == ['ledger', 'ledger']
    assert read_part_quarantine(told[0]) == FOUND.decision


# BUDGET: what one owner of a pool has found was lost when the next took over.
def test_the_next_owner_learns_it_from_a_home():
    home, owner = NodeSide(), NodeSide()
    home.handler.lease_client = ReachableLeaseClient()
    home.handler.receive(
        FakeLink(), write_part_quarantine('ledger', FOUND.decision)
    )
    to_owner = FakeLink()
    home.handler.on_link_ready(to_owner)
    owner.load_items()
    link = owner.open_home_link()
    for message in to_owner.sent:
        owner.handler.receive(link, message)
    assert not reserve(owner, link, 7, 1)
    (refusal,) = reserve(owner, link, DEADLY, 2)
    assert refusal.retry_after_ms == FOUND.decision.left_ms


def test_an_owner_that_has_scheduled_before_applies_it_at_once():
    side = NodeSide()
    side.load_items()
    link = side.open_home_link()
    reserve(side, link, 7, 1)
    side.handler.receive(link, write_part_quarantine('ledger', FOUND.decision))
    assert len(reserve(side, link, DEADLY, 2)) == 1


# BUDGET: each home that linked anew with what it had heard long ago let one
# more request through.
def test_what_a_home_has_heard_long_ago_lets_no_more_requests_through():
    side = NodeSide()
    side.load_items('t', 'u', 'v')
    link = side.open_home_link()
    side.handler.receive(link, write_part_quarantine('ledger', FOUND.decision))
    side.clock.advance(FOUND.decision.left_ms)
    assert not reserve(side, link, DEADLY, 1)
    told = list_told(link)[-1]
    assert read_part_quarantine(told).left_ms > FOUND.decision.period_ms
    old = PartQuarantine(DEADLY, 0, FOUND.decision.period_ms)
    side.handler.receive(link, write_part_quarantine('ledger', old))
    assert len(reserve(side, link, DEADLY, 2)) == 1


def test_what_a_home_has_heard_before_a_release_is_not_taken_up_again():
    side = NodeSide()
    side.load_items('t', 'u', 'v')
    link = side.open_home_link()
    store = side.scheduling.quarantines
    store.decide(FOUND)
    side.clock.advance(300)
    store.decide(PoolQuarantine('ledger', PartQuarantine(DEADLY)))
    old = PartQuarantine(DEADLY, 200, FOUND.decision.period_ms)
    side.handler.receive(link, write_part_quarantine('ledger', old))
    assert not list(store.list_all())
    assert not reserve(side, link, DEADLY, 1)


def test_the_time_left_runs_on_and_a_release_ends_it():
    clock = ManualClock()
    store = QuarantineStore(clock)
    store.keep(FOUND, HOME)
    clock.advance(400)
    (kept,) = store.list_all('ledger')
    assert kept.decision.left_ms == 100
    assert not list(store.list_all('other'))
    store.keep(PoolQuarantine('ledger', PartQuarantine(DEADLY)), HOME)
    assert not list(store.list_all())


def test_the_decisions_kept_are_bounded():
    store = QuarantineStore(ManualClock())
    for part in range(MAX_QUARANTINES + 5):
        decision = PartQuarantine(part, 1, 1)
        store.keep(PoolQuarantine('ledger', decision), HOME)
    assert len(list(store.list_all())) == MAX_QUARANTINES


def crash_target(side, counter, fingerprint):
    """Run a request with a content and let its target crash."""
    request_id = f'{HOME}.0.{counter}'
    side.scheduling.handle_event(
        decisions.Reserve(
            request_id,
            HOME,
            'w',
            'once@ledger',
            'tier-1',
            fingerprint=fingerprint,
        ),
    )
    side.scheduling.handle_event(
        decisions.Release(request_id, decisions.Outcome.CRASHED),
    )
    side.clock.advance(5000)
    side.scheduling.tick()


# BUDGET: the same loss with whole contents that crash targets.
def test_a_content_that_crashes_targets_is_told_to_homes_and_next_owners():
    owner, home, successor = NodeSide(), NodeSide(), NodeSide()
    owner.load_items('t', 'u', 'v')
    link = owner.open_home_link()
    for counter in (1, 2):
        crash_target(owner, counter, fingerprint=5)
    told = [one for one in link.sent if isinstance(one, ttypes.Quarantine)]
    assert [one.fingerprint for one in told] == [5]
    home.handler.lease_client = ReachableLeaseClient()
    home.handler.receive(FakeLink(), told[0])
    to_successor = FakeLink()
    home.handler.on_link_ready(to_successor)
    successor.load_items('t', 'u', 'v')
    link = successor.open_home_link()
    for message in to_successor.sent:
        successor.handler.receive(link, message)
    crash_target(successor, 3, fingerprint=5)
    (refusal,) = [one for one in link.sent if isinstance(one, ttypes.Refuse)]
    assert not refusal.ran
