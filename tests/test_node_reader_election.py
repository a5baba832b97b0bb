"""Tests of who reads the store, and of how fresh a host's view of it is."""

import random

import pytest

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._freshness import MAX_AGE_MS
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._positions import PeerPositions
from hornbeampulley.node._reader_election import (
    ALL_READ_HOSTS,
    READERS,
    ReaderElection,
)
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder
from tests.stored import at
from tests.test_node_membership import exchange_news, make

PEER = '10.0.0.99'


class Side:
    """Election, positions and membership of one host."""

    def __init__(self, clock, membership):
        self.clock = clock
        self.membership = membership
        store_view = StoreView(PlatformDecoder(), clock)
        self.freshness = store_view.freshness
        self.positions = PeerPositions(store_view, clock)
        self.election = ReaderElection(
            membership, self.freshness, clock, random.Random(1)
        )

    def hear(self, age_ms=0, position=None):
        asked_ms = self.clock.now()
        self.positions.record(PEER, position or Position(), age_ms, asked_ms)


def make_sides(count):
    clock = ManualClock()
    members = [make(one, clock, zone=f'z{one % 6}') for one in range(count)]
    exchange_news(*members)
    return clock, [Side(clock, member) for member in members]


@pytest.fixture
def many():
    return make_sides(40)


def test_of_few_hosts_all_read():
    clock, sides = make_sides(ALL_READ_HOSTS)
    clock.advance(1000)
    assert all(side.election.is_reader() for side in sides)


# Pattern: hundreds of hosts, each of which would call the store.
def test_of_many_hosts_a_few_in_different_zones_read(many):
    clock, sides = many
    clock.advance(1000)
    readers = [side for side in sides if side.election.is_reader()]
    zones = {side.membership.roster.own.availability_zone for side in readers}
    assert len(readers) == len(zones) == READERS


def test_a_host_without_fresh_news_reads_until_there_is_some(many):
    clock, sides = many
    clock.advance(1000)
    (side, *_) = [one for one in sides if not one.election.is_reader()]
    side.hear()
    clock.advance(4000)
    assert not side.election.is_reader()
    clock.advance(3000)
    assert side.election.is_reader()
    clock.advance(4000)
    side.hear(age_ms=200)
    assert side.election.is_reader()
    clock.advance(1500)
    side.hear(age_ms=200)
    assert not side.election.is_reader()


# Operators' point: after a restart, a left server or a withdrawn key was in
# use again, as it came from a peer that was cut off itself.
def test_a_restarted_host_does_not_rely_on_peers_that_are_out_of_date(many):
    clock, sides = many
    side = sides[0]
    for _ in range(8):
        clock.advance(250)
        side.hear(age_ms=60_000, position=Position(at(3), at(7)))
    assert side.election.is_reader()


def test_a_peer_is_ahead_until_its_items_are_applied(many):
    _clock, (side, *_) = many
    side.hear(position=Position(at(0), at(7)))
    assert side.positions.list_ahead() == [PEER]
    side.positions._store_view.advance_position(Position(at(0), at(7)))
    assert side.positions.list_ahead() == []


def test_a_peer_that_tells_no_age_is_not_taken_for_fresh(many):
    _clock, (side, *_) = many
    side.hear(age_ms=None)
    assert side.freshness.age_ms == MAX_AGE_MS


# CONFIG: nothing told that a host was behind a peer that was up to date.
def test_a_peer_that_is_ahead_does_not_show_that_the_view_is_fresh(many):
    _clock, (side, *_) = many
    side.hear(age_ms=0, position=Position(at(0), at(7)))
    assert side.freshness.age_ms == MAX_AGE_MS
    side.positions._store_view.advance_position(Position(at(0), at(7)))
    side.hear(age_ms=0, position=Position(at(0), at(7)))
    assert side.freshness.age_ms == 0
