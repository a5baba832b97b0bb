"""Tests of what hosts conclude from the ages of their peers' views.

On a simulated network, in virtual time.
"""

import random

import pytest
import trio

from bench.hosts import Network, start_hosts
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._filters import MAX_VIEW_AGE_MS
from hornbeampulley.node._freshness import MAX_AGE_MS
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._positions import ASK_READER_AGE_MS, PeerPositions
from hornbeampulley.node._questions import MAX_OPEN, Questions
from hornbeampulley.node._reader_election import READERS
from hornbeampulley.node._reading import CHOSEN_READER_WAIT_MS
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder

HOSTS = 64
PAUSE_S = 6
PEER = '10.0.0.99'


def find_freshness(host):
    return host.gossip._store_view.freshness


async def read_store(host, first_s):
    """Confirm the view of a host as a reader does, in the longest intervals."""
    await trio.sleep(first_s)
    while True:
        find_freshness(host).confirm(trio.current_time() * 1000)
        await trio.sleep(CHOSEN_READER_WAIT_MS / 1000)


def pause_receiving(host):
    """Let datagrams to a host lie unread until the returned event is set."""
    resumed = trio.Event()
    receive = host.gossip._socket.recvfrom

    async def recvfrom(limit):
        await resumed.wait()
        return await receive(limit)

    host.gossip._socket.recvfrom = recvfrom
    return resumed


# DENIED, CONFIG: a host that was paused read at its end what a peer, since cut
# off, had told before, and took its view for fresh.
def test_what_a_peer_told_long_ago_does_not_make_a_view_fresh(mock_run):
    async def main():
        network = Network()
        async with trio.open_nursery() as nursery:
            reader, host = await start_hosts(nursery, network, 2)
            nursery.start_soon(read_store, reader, 0)
            await trio.sleep(5)
            assert find_freshness(host).age_ms < MAX_VIEW_AGE_MS
            resumed = pause_receiving(host)
            await trio.sleep(1)
            network.cut.add(reader.address)
            await trio.sleep(PAUSE_S)
            resumed.set()
            await trio.sleep(0.01)
            assert find_freshness(host).age_ms >= PAUSE_S * 1000
            network.cut.clear()
            await trio.sleep(2)
            assert find_freshness(host).age_ms < MAX_VIEW_AGE_MS
            nursery.cancel_scope.cancel()

    mock_run(main)


async def count_old_views(count):
    """Return how often hosts of which few read would deny nothing, and looks."""
    network = Network()
    looks = []
    async with trio.open_nursery() as nursery:
        hosts = await start_hosts(nursery, network, count)
        await trio.sleep(5)
        for reader in hosts:
            if reader.membership.is_reader(READERS):
                first_s = random.Random(reader.address).uniform(0, 1.5)
                nursery.start_soon(read_store, reader, first_s)
        await trio.sleep(5)
        for _ in range(100):
            await trio.sleep(0.1)
            looks += [find_freshness(host).age_ms for host in hosts]
        nursery.cancel_scope.cancel()
    return sum(age_ms > MAX_VIEW_AGE_MS for age_ms in looks), len(looks)


# Calm hosts that do not read would answer 503 for what does not exist, if their
# views aged on the way over several others.
@pytest.mark.parametrize('count', [20, 32, HOSTS])
def test_the_views_of_calm_hosts_that_do_not_read_stay_fresh(mock_run, count):
    assert mock_run(count_old_views, count) == (0, 100 * count)


@pytest.fixture
def positions():
    clock = ManualClock(10_000)
    store_view = StoreView(PlatformDecoder(), clock)
    return PeerPositions(store_view, clock), store_view.freshness, clock


def test_the_age_counts_from_the_question(positions):
    known, freshness, clock = positions
    clock.advance(700)
    known.record(PEER, Position(), 100, clock.now() - 700)
    assert freshness.age_ms == 800


def test_what_a_peer_tells_by_itself_does_not_show_when_it_was_sent(positions):
    known, freshness, _clock = positions
    known.record(PEER, Position(), 0, None)
    assert freshness.age_ms == MAX_AGE_MS


def test_a_reader_is_asked_now_and_then_before_the_view_is_old(positions):
    known, freshness, clock = positions
    assert not known.has_to_ask_reader()
    freshness.confirm(clock.now())
    asked = []
    for _ in range(100):
        clock.advance(100)
        asked.append(known.has_to_ask_reader())
    assert not any(asked[: int(ASK_READER_AGE_MS / 100) - 1])
    assert any(asked[: int(MAX_VIEW_AGE_MS / 100) - 5])
    assert 3 <= sum(asked) <= 12


def test_a_question_counts_from_its_first_sending_and_once(positions):
    _known, _freshness, clock = positions
    questions = Questions(clock)
    questions.record(1)
    clock.advance(250)
    questions.record(1)
    assert questions.pop(1) == 10_000
    assert questions.pop(1) is None


def test_only_the_latest_questions_are_kept(positions):
    questions = Questions(positions[-1])
    for number in range(MAX_OPEN + 1):
        questions.record(number)
    assert questions.pop(0) is None
    assert questions.pop(MAX_OPEN) is not None
