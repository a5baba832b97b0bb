"""Tests of ``hornbeampulley.pipeline.SchedulerClient``."""

import types

import pytest

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.configuration import (
    Configuration,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.identity import SchedulerHeartbeat
from hornbeampulley.pipeline._scheduler_client import (
    ALONE_AFTER_MS,
    MAX_QUARANTINED,
    SchedulerClient,
)
from hornbeampulley.wire.generated.peer import ttypes

HOME = 'a' * 16
CONFIGURATION = Configuration(
    tiers={'standard': Tier('standard', 0)},
    workspaces={'shop': Workspace('shop')},
    services={'tag': Service('tag', 'pool')},
    targets={'m1': Target('m1', 'pool', '127.0.0.1', 1, 'zone', slots=4)},
)


class FakeLink:
    def __init__(self, scheduler):
        self.peer = types.SimpleNamespace(incarnation=scheduler)
        self.sent = []

    def send(self, *messages):
        self.sent.extend(messages)

    def find(self, kind):
        return [one for one in self.sent if isinstance(one, kind)]


class FakeHome:
    """Holds open requests and records the actions applied to them."""

    incarnation = HOME

    def __init__(self, count=0):
        self.actions = []
        self.events = [
            decisions.Reserve(
                f'{HOME}.1.{number}',
                HOME,
                'shop',
                'tag',
                'standard',
                prompt_tokens=10,
                fingerprint=number,
            )
            for number in range(count)
        ]

    def list_reserves(self, _pool):
        return iter(self.events)

    def was_dispatched(self, _request_id):
        return False

    def apply_action(self, action, stamp=None):
        self.actions.append(action)

    def list_leased(self):
        kind = decisions.Lease
        return [one for one in self.actions if isinstance(one, kind)]


@pytest.fixture
def clock():
    return ManualClock(start_ms=1000)


def make_scheduler_client(clock, count=0):
    home = FakeHome(count)
    return SchedulerClient('pool', home, clock.now), home


def test_open_requests_are_announced_after_the_first_heartbeat(clock):
    scheduler_client, _home = make_scheduler_client(clock, count=2)
    link = FakeLink('s1')
    scheduler_client.attach(link)
    assert not link.find(ttypes.Reserve)
    scheduler_client.handle_heartbeat(SchedulerHeartbeat('s1', 1, 1))
    assert [one.id_counter for one in link.find(ttypes.Reserve)] == [0, 1]


def test_announced_requests_wait_for_the_end_of_the_binding(clock):
    scheduler_client, _home = make_scheduler_client(clock, count=1)
    first, second = FakeLink('s1'), FakeLink('s2')
    scheduler_client.attach(first)
    scheduler_client.handle_heartbeat(SchedulerHeartbeat('s1', 1, 1))
    scheduler_client.detach(first)
    scheduler_client.attach(second)
    scheduler_client.handle_heartbeat(SchedulerHeartbeat('s2', 2, 1))
    assert not second.find(ttypes.Reserve)
    clock.advance(600)
    scheduler_client.handle_heartbeat(SchedulerHeartbeat('s2', 2, 2))
    clock.advance(200)
    scheduler_client.tick(CONFIGURATION, frozenset(), 1)
    assert len(second.find(ttypes.Reserve)) == 1


def test_without_a_scheduler_it_leases_within_its_share(clock):
    scheduler_client, home = make_scheduler_client(clock, count=5)
    scheduler_client.tick(CONFIGURATION, frozenset(), 2)
    assert not scheduler_client.is_alone
    clock.advance(ALONE_AFTER_MS)
    scheduler_client.tick(CONFIGURATION, frozenset(), 2)
    assert scheduler_client.is_alone
    assert len(home.list_leased()) == 2


def test_findings_go_to_the_next_scheduler_and_to_the_own_core(clock):
    scheduler_client, home = make_scheduler_client(clock, count=2)
    scheduler_client.quarantine(1)
    link = FakeLink('s2')
    scheduler_client.attach(link)
    assert link.find(ttypes.Quarantine) == [ttypes.Quarantine(1)]
    scheduler_client.detach(link)
    clock.advance(ALONE_AFTER_MS)
    scheduler_client.tick(CONFIGURATION, frozenset(), 1)
    refused = [one for one in home.actions if isinstance(one, decisions.Refuse)]
    assert [one.reason for one in refused] == [decisions.Reason.QUARANTINED]


def test_quarantined_contents_are_bounded(clock):
    scheduler_client, _home = make_scheduler_client(clock)
    for number in range(MAX_QUARANTINED + 10):
        scheduler_client.quarantine(number)
    link = FakeLink('s1')
    scheduler_client.attach(link)
    assert len(link.find(ttypes.Quarantine)) == MAX_QUARANTINED
