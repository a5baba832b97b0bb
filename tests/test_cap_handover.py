"""Tests of usage caps whose owner changes, in simulated time.

A workspace asks for far more than its cap while several hosts own its bucket in
turn; all of them together have to stay within what is allowed in a window.
"""

import bisect

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._cap_buckets import MAX_UNCONFIRMED_MS
from hornbeampulley.node._host_share import HostShare
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._usage_cap_client import UsageCapClient
from tests.test_node_host_share import (
    CAP,
    PROMISED,
    SETTINGS,
    UNITS,
    WINDOW_MS,
    FakeMembership,
    Table,
)

STEP_MS = 50
# Requests of each step, several times the cap.
REQUESTS = 4
HOSTS = 3
QUIET_MS = 5000
END_MS = 45_000


class Owners:
    """Stands in for the search for the owner, which the test decides."""

    def __init__(self):
        self.owner = ''

    def find(self, _key):
        return self.owner


class Host:
    """A host that may own the bucket of the workspace."""

    def __init__(self, number):
        self.clock = ManualClock()
        self.owners = Owners()
        self.scheduling = Scheduling(self.clock, None, SETTINGS)
        self.scheduling.caps.configure(Table)
        membership = FakeMembership(number, HOSTS)
        self.client = UsageCapClient(
            membership,
            self.owners,
            None,
            self.scheduling,
            HostShare(membership, self.clock),
            self.clock,
        )
        # What an owner grants that reaches all.
        self.scheduling.caps.find_share = lambda _workspace: 1

    def draw(self):
        return self.scheduling.caps.draw('w', UNITS) == 0


class Play:
    """Hosts that own the bucket in turn.

    Attributes
    ----------
    granted : list
        Times of the requests that were granted.
    """

    def __init__(self):
        self.hosts = [Host(number) for number in range(HOSTS)]
        self.now_ms = 0
        self.granted = []

    def own(self, owner, duration_ms, paused=(), requests=REQUESTS):
        """Let a host own the bucket for a while, in which others are paused."""
        running = [
            host
            for number, host in enumerate(self.hosts)
            if number not in paused
        ]
        for _ in range(0, duration_ms, STEP_MS):
            for host in running:
                host.clock.advance_to(self.now_ms)
                host.owners.owner = str(owner)
            # A host that goes on after a pause reads what waits before its timers.
            for _request in range(requests):
                if self.hosts[owner].draw():
                    self.granted.append(self.now_ms)
            for host in running:
                host.scheduling.tick()
            self.now_ms += STEP_MS

    def fill_all(self):
        """Let each host own the bucket while hardly anything is asked for."""
        for owner in reversed(range(HOSTS)):
            self.own(owner, STEP_MS, requests=1)
            self.own(owner, QUIET_MS, requests=0)

    def get_worst_window(self):
        """Return the tokens granted in the window that has most."""
        counts = [
            bisect.bisect_left(self.granted, since_ms + WINDOW_MS) - place
            for place, since_ms in enumerate(self.granted)
        ]
        return max(counts, default=0) * UNITS


# QUOTA: the bucket of a host that was paused refilled over the pause, while the next
# owner granted; with one pause after the other both granted a whole cap.
@pytest.mark.parametrize('pause_ms', [500, 1000, 2000, 4000])
@pytest.mark.parametrize('run_ms', [200, 1000])
def test_an_owner_that_is_paused_again_and_again_grants_no_cap_twice(
    pause_ms, run_ms
):
    play = Play()
    play.fill_all()
    while play.now_ms < END_MS:
        play.own(0, run_ms)
        play.own(1, pause_ms, paused=[0])
    assert play.get_worst_window() <= PROMISED


# QUOTA: buckets of hosts that were not the owner refilled too, so that each of
# several owners in one window granted a whole burst.
@pytest.mark.parametrize('turn_ms', [200, 500, 1000, 2000])
def test_owners_that_take_turns_grant_no_cap_twice(turn_ms):
    play = Play()
    play.fill_all()
    while play.now_ms < END_MS:
        for owner in range(HOSTS):
            play.own(owner, turn_ms)
    assert play.get_worst_window() <= PROMISED


# Owner, steps that it owns the bucket, requests a step, and whether the others are
# paused meanwhile.
TURNS = st.lists(
    st.tuples(
        st.integers(0, HOSTS - 1),
        st.integers(int(MAX_UNCONFIRMED_MS // STEP_MS) + 1, 60),
        st.integers(0, REQUESTS),
        st.booleans(),
    ),
    max_size=30,
)


# QUOTA: any order of owners, quiet or asked for too much.
@given(TURNS)
def test_no_order_of_owners_grants_a_cap_twice(turns):
    play = Play()
    play.fill_all()
    for owner, steps, requests, is_alone in turns:
        others = {*range(HOSTS)} - {owner} if is_alone else ()
        play.own(owner, steps * STEP_MS, others, requests)
    assert play.get_worst_window() <= PROMISED


# A short delay is no change of the owner, and what was filled before it is kept.
def test_an_owner_that_is_late_for_a_moment_keeps_its_burst():
    play = Play()
    play.own(0, STEP_MS, requests=1)
    play.own(0, 2 * QUIET_MS, requests=0)
    play.now_ms += MAX_UNCONFIRMED_MS - STEP_MS
    play.own(0, STEP_MS, requests=REQUESTS * 4)
    assert len(play.granted) - 1 >= CAP.burst // UNITS


def test_an_owner_that_stays_grants_the_whole_cap():
    play = Play()
    play.own(0, STEP_MS, requests=1)
    play.own(0, 2 * QUIET_MS, requests=0)
    play.own(0, END_MS - play.now_ms)
    allowed = CAP.per_second * WINDOW_MS / 1000 + CAP.burst
    assert allowed <= play.get_worst_window() <= PROMISED
