"""Tests of the ticket gossip, in virtual time."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench.fleet import Fleet, make_peers, write_ticket
from bench.spread import make_fleet, measure_spread, measure_steady, sum_bytes
from hornbeampulley.errors import WireError
from hornbeampulley.membership import (
    Applied,
    Conflict,
    GossipSettings,
    GossipTick,
    ReadAnswer,
    Received,
    Rejected,
    SetPeers,
    Stamp,
    TicketBody,
    TicketGossip,
    TicketStore,
    choose_readers,
)

IN_FORCE_MS = 5000
BUDGET_BYTES_PER_SECOND = 21_000
SETTINGS = GossipSettings()


def make_small(number, count=8, seed=1):
    fleet = Fleet(count, SETTINGS, seed, (write_ticket(number),))
    fleet.run_until(3000)
    return fleet


def list_numbers(fleet):
    return {agent.store.find('tiers').number for agent in fleet.living}


@pytest.mark.parametrize(
    ('count', 'seed'),
    [(8, 1), (8, 2), (8, 3), (50, 1), (50, 2), (410, 1)],
)
def test_in_force_everywhere_with_agents_killed_and_service_down(count, seed):
    result = measure_spread(count, seed, write_ticket(2))
    assert result.spread_ms <= IN_FORCE_MS
    assert result.bodies == 1


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_ticket_spreads_with_a_fifth_of_the_messages_lost(seed):
    fleet = make_small(1, count=50, seed=seed)
    fleet.service.is_up = False
    fleet.loss = 0.2
    fleet.give(fleet.agents['agent-3'], ReadAnswer('tiers', write_ticket(2), 0))
    fleet.run_until(fleet.now_ms + IN_FORCE_MS)
    assert list_numbers(fleet) == {2}


def test_regions_that_were_cut_catch_up():
    fleet = make_small(1, count=50)
    fleet.service.is_up = False
    fleet.is_cut = lambda first, second: (
        (first.region == 'region-0') != (second.region == 'region-0')
    )
    fleet.give(fleet.agents['agent-3'], ReadAnswer('tiers', write_ticket(2), 0))
    fleet.run_until(fleet.now_ms + 60_000)
    assert list_numbers(fleet) == {1, 2}
    fleet.is_cut = lambda first, second: False
    fleet.run_until(fleet.now_ms + IN_FORCE_MS)
    assert list_numbers(fleet) == {2}


def test_restarted_agent_is_not_taken_back_by_a_stale_service():
    fleet = make_small(5)
    fleet.service.write(write_ticket(4), 'tiers')
    agent = fleet.agents['agent-0']
    fleet.kill('agent-0')
    agent = fleet.start(agent.peer)
    fleet.is_cut = lambda first, second: agent.peer in {first, second}
    fleet.give(agent, ReadAnswer('tiers', write_ticket(4), fleet.now_ms))
    fleet.run_until(fleet.now_ms + 2 * SETTINGS.tick_ms)
    assert agent.store.find('tiers').number == 4
    assert not agent.ticket_gossip.is_ready
    fleet.is_cut = lambda first, second: False
    fleet.run_until(
        fleet.now_ms + IN_FORCE_MS,
        lambda: agent.ticket_gossip.is_ready,
    )
    assert agent.ticket_gossip.is_ready
    assert agent.store.find('tiers').number == 5
    fleet.run_until(fleet.now_ms + 20_000)
    assert list_numbers(fleet) == {5}


def test_agent_that_knows_no_peers_yet_does_not_serve():
    peer = make_peers(8)[0]
    ticket_gossip = TicketGossip(
        peer, TicketStore(), SETTINGS, random.Random(1), 0
    )
    ticket_gossip.handle(GossipTick(), 500)
    assert not ticket_gossip.is_ready
    ticket_gossip.handle(SetPeers((peer,)), 600)
    ticket_gossip.handle(GossipTick(), 1000)
    assert ticket_gossip.is_ready


def test_new_fleet_serves_what_the_service_holds():
    fleet = Fleet(8, SETTINGS, 1)
    fleet.service.write(write_ticket(1), 'tiers')
    fleet.run_until(IN_FORCE_MS)
    assert list_numbers(fleet) == {1}
    assert all(agent.ticket_gossip.is_ready for agent in fleet.living)


def test_conflicting_tickets_are_reported_and_then_superseded():
    fleet = make_small(1)
    fleet.service.is_up = False
    for name, rank in (('agent-0', 1), ('agent-1', 2)):
        text = write_ticket(2, rank=rank)
        fleet.give(fleet.agents[name], ReadAnswer('tiers', text, 0))
    held = fleet.agents['agent-0'].store.find('tiers').text
    fleet.run_until(fleet.now_ms + 10_000)
    assert fleet.agents['agent-0'].store.find('tiers').text == held
    reporters = [
        name
        for name, report in fleet.reports
        if isinstance(report.outcome, Conflict)
    ]
    assert set(reporters) == set(fleet.agents)
    assert len(reporters) == len(set(reporters))
    fleet.give(fleet.agents['agent-5'], ReadAnswer('tiers', write_ticket(3), 0))
    fleet.run_until(fleet.now_ms + IN_FORCE_MS)
    assert list_numbers(fleet) == {3}


def test_invalid_ticket_is_reported_and_not_applied():
    fleet = make_small(1)
    fleet.service.write(write_ticket(2)[:30], 'tiers')
    fleet.run_until(fleet.now_ms + 10_000)
    assert list_numbers(fleet) == {1}
    assert any(
        isinstance(report.outcome, Rejected) for _, report in fleet.reports
    )
    fleet.service.write(write_ticket(2), 'tiers')
    fleet.run_until(fleet.now_ms + 10_000)
    assert list_numbers(fleet) == {2}


def test_ticket_stored_under_another_scope_causes_no_excess_of_calls():
    correct, misfiled = make_small(1), make_small(1)
    misfiled.service.texts['rules'] = write_ticket(1)
    misfiled.service.stamps['rules'] = None
    for fleet in (correct, misfiled):
        fleet.run_until(fleet.now_ms + 10_000)
    assert len(misfiled.service.calls) < len(correct.service.calls) + 20


def test_corrupt_ticket_from_a_peer_is_rejected_and_pulled_again():
    fleet = make_small(1)
    agent = fleet.agents['agent-0']
    corrupt = TicketBody(Stamp('tiers', 2, 'x'), 0, b'damaged')
    with pytest.raises(WireError):
        fleet.give(agent, Received('agent-1', corrupt))
    fleet.give(fleet.agents['agent-1'], ReadAnswer('tiers', write_ticket(2), 0))
    fleet.run_until(fleet.now_ms + IN_FORCE_MS)
    assert agent.store.find('tiers').number == 2


def test_tickets_are_confirmed_again_once_the_service_is_back():
    fleet = make_small(1)
    fleet.service.is_up = False
    fleet.run_until(fleet.now_ms + 60_000)
    agent = fleet.agents['agent-2']
    assert (
        agent.ticket_gossip.get_confirmed_age_ms('tiers', fleet.now_ms) > 55_000
    )
    fleet.service.is_up = True
    fleet.run_until(fleet.now_ms + 10_000)
    assert (
        agent.ticket_gossip.get_confirmed_age_ms('tiers', fleet.now_ms)
        < IN_FORCE_MS
    )


def test_tickets_spread_after_the_loss_of_all_readers():
    fleet = make_small(1)
    for name in choose_readers(fleet.peers, SETTINGS.readers_per_region):
        fleet.kill(name)
    fleet.service.write(write_ticket(2), 'tiers')
    fleet.run_until(fleet.now_ms + 2 * SETTINGS.reading.refresh_ms)
    assert list_numbers(fleet) == {2}


def test_readers_are_in_different_zones():
    readers = choose_readers(make_peers(410), 2)
    assert len(readers) == 24
    zones = {
        peer.availability_zone
        for peer in make_peers(410)
        if peer.name in readers
    }
    assert len(zones) == 24


def test_renewal_saves_reads_and_keeps_tickets_fresher():
    renewed = measure_steady(8, SETTINGS)
    alone = measure_steady(8, GossipSettings(renews=False))
    assert renewed.reads_per_second < 0.75 * alone.reads_per_second
    assert renewed.oldest_ms < alone.oldest_ms


def test_bytes_stay_within_the_budget():
    fleet = make_fleet(50, SETTINGS, 1)
    used, started_ms = sum_bytes(fleet), fleet.now_ms
    fleet.service.write(write_ticket(2), 'tiers')
    fleet.run_until(started_ms + 20_000)
    per_second = (sum_bytes(fleet) - used) / 20 / 50
    assert per_second < BUDGET_BYTES_PER_SECOND / 10


class TicketNumbersNeverDecrease(RuleBasedStateMachine):
    """No mix of writes, outages, restarts and partitions lowers a number."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(8, SETTINGS, 7, (write_ticket(1),))
        self.fleet.run_until(2500)
        self.held = {}
        self.minimum_numbers = {}
        self.is_network_intact = True

    @rule(number=st.integers(1, 9), rank=st.integers(0, 1))
    def write(self, number, rank):
        self.fleet.service.write(write_ticket(number, rank=rank), 'tiers')

    @rule(length=st.integers(0, 60))
    def write_truncated(self, length):
        self.fleet.service.write(write_ticket(9)[:length], 'tiers')

    @rule(is_up=st.booleans())
    def switch_service(self, is_up):
        self.fleet.service.is_up = is_up

    @rule(index=st.integers(0, 7))
    def restart(self, index):
        peer = self.fleet.peers[index]
        others = [
            agent
            for agent in self.fleet.living
            if agent.peer != peer and agent.ticket_gossip.is_ready
        ]
        if len(others) == 7:
            self.fleet.kill(peer.name)
            agent = self.fleet.start(peer)
            self.held.pop(peer.name, None)
            numbers = (one.store.find('tiers').number for one in others)
            self.minimum_numbers = (
                {peer.name: min(numbers)} if self.is_network_intact else {}
            )
            text = self.fleet.service.texts['tiers']
            event = ReadAnswer('tiers', text, self.fleet.now_ms)
            self.fleet.give(agent, event)
            assert not agent.ticket_gossip.is_ready

    @rule(loss=st.sampled_from([0, 0.3]))
    def lose_messages(self, loss):
        self.fleet.loss = loss
        self.is_network_intact = False
        self.minimum_numbers = {}

    @rule(zone=st.sampled_from(['', 'zone-0', 'zone-1']))
    def cut_zone(self, zone):
        self.is_network_intact = False
        self.minimum_numbers = {}
        self.fleet.is_cut = lambda first, second: (
            (first.availability_zone == zone)
            != (second.availability_zone == zone)
        )

    @rule()
    def restore_network(self):
        self.fleet.loss = 0
        self.fleet.is_cut = lambda first, second: False
        self.is_network_intact = True

    @rule(duration_ms=st.sampled_from([100, 700, 4000]))
    def wait(self, duration_ms):
        self.fleet.run_until(self.fleet.now_ms + duration_ms)

    @invariant()
    def number_in_force_never_decreases(self):
        for agent in self.fleet.living:
            ticket = agent.store.find('tiers')
            if ticket is None:
                continue
            number, text = self.held.get(agent.peer.name, (0, b''))
            assert ticket.number >= number
            assert ticket.number > number or ticket.text == text
            self.held[agent.peer.name] = (ticket.number, ticket.text)

    @invariant()
    def restarted_agent_serves_what_its_peers_held(self):
        for name, minimum in self.minimum_numbers.items():
            agent = self.fleet.agents[name]
            if agent.ticket_gossip.is_ready:
                assert agent.store.find('tiers').number >= minimum

    @invariant()
    def each_ticket_is_applied_once_an_agent(self):
        applied = [
            (name, report.outcome.previous_number, report.outcome.ticket.number)
            for name, report in self.fleet.reports
            if isinstance(report.outcome, Applied)
        ]
        assert all(previous < number for _, previous, number in applied)


TicketNumbersNeverDecrease.TestCase.settings = settings(max_examples=40)
test_ticket_numbers_never_decrease = TicketNumbersNeverDecrease.TestCase
