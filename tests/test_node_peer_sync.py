"""Tests of what a node asks of peers beyond what the store tells."""

import random

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._peer_sync import ANSWER_MS, GIVE_UP_MS, PeerSync
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder
from tests.nodes import run_nodes, wait_until
from tests.stored import at, config, gone, server
from tests.test_node_membership import exchange_news, make


class FakeMesh:
    """Opens links at once."""

    def get_link(self, incarnation):
        return incarnation


class Side:
    def __init__(self, count=5):
        self.clock = ManualClock()
        members = [make(one, self.clock) for one in range(count)]
        exchange_news(*members)
        self.members = members
        self.view = StoreView(PlatformDecoder(), self.clock)
        self.asked = []
        self.sync = PeerSync(
            members[-1],
            FakeMesh(),
            self.view,
            lambda link, position: self.asked.append((link, position)),
            self.clock,
            random.Random(1),
        )


# CONFIG, DRAIN: a host that started just after a restore served by the copy.
def test_a_host_that_starts_asks_a_peer_for_everything():
    side = Side()
    side.sync.start()
    side.sync.run()
    side.sync.run()
    ((peer, position),) = side.asked
    assert position == Position()
    assert not side.view.is_complete
    side.sync.record_answer(peer)
    assert side.view.is_complete


def test_a_peer_that_does_not_answer_is_not_waited_for():
    side = Side()
    side.sync.start()
    side.sync.run()
    side.clock.advance(ANSWER_MS)
    side.sync.run()
    assert len(side.asked) == 2
    side.clock.advance(GIVE_UP_MS)
    side.sync.run()
    assert side.view.is_complete


def test_an_answer_of_another_peer_is_not_the_awaited_one():
    side = Side()
    side.sync.start()
    side.sync.run()
    side.sync.record_answer('another')
    assert not side.view.is_complete


# DRAIN: what was read shortly before a restore was known to some hosts only.
def test_a_host_asks_for_what_it_had_not_read_before_a_restore():
    side = Side()
    side.view.apply_items([config(3, 4, 1), server('a', 5, 1)], 'store')
    side.sync.run()
    side.view.apply_items([config(3, 4, 2)], 'store')
    side.sync.run()
    ((_peer, position),) = side.asked
    assert position == Position(at(4, 1), at(5, 1), 3)
    assert side.view.is_complete


# DRAIN, CONFIG: the same with nodes that run.
def test_a_node_that_starts_after_a_restore_knows_what_its_peers_know():
    async def scenario(fleet):
        store = fleet.store
        copy = store.revision
        entry = fleet.backends['ledger-1'].describe(fleet.address(102), 8306)
        store.put('servers/ledger-1', entry | {'state': 'draining'})
        store.delete('servers/ledger-1')
        first = fleet.nodes[0].store_view
        await wait_until(lambda: 'ledger-1' not in first.targets.records)
        store.restore(copy)
        await wait_until(lambda: first.epoch == 2)
        node = fleet.add_node()
        await wait_until(lambda: node.is_ready)
        records = node.store_view.targets.records
        leaving = node.store_view.targets.list_draining()
        assert 'ledger-1' not in records.keys() - leaving

    run_nodes(scenario, count=2)


def test_a_removal_tells_which_record_it_has_removed():
    view = Side().view
    view.apply_items([server('a', 5, 1, sequence=4), gone('a', 6, 1)], 'store')
    (removal,) = view.list_newer(Position())
    assert removal.removed_stamp.sequence == 4
