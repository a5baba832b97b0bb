"""Tests of the messages that nodes exchange on links."""

import json

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._peers import PeerMessageHandler
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.routing import make_configuration
from hornbeampulley.wire.generated.peer import ttypes
from tests.nodes import make_config
from tests.stored import at

HOME = '1' * 16
ENTRY = {
    'service': 'ledger',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 1,
    'state': 'ready',
}


class FakeLink:
    def __init__(self):
        self.peer = ttypes.Hello(incarnation=HOME)
        self.sent = []
        self.is_closed = False

    def send(self, *messages):
        self.sent.extend(messages)

    def close(self):
        self.is_closed = True


class FakeLeaseClient:
    own_incarnation = '0' * 16

    def __init__(self):
        self.lost = []

    def handle_scheduler_lost(self, peer):
        self.lost.append(peer)


def make_item(key, document, revision):
    return StoredItem(key, json.dumps(document).encode(), at(revision))


class NodeSide:
    """Message handler of a node with its scheduler and store view."""

    def __init__(self):
        self.clock = ManualClock()
        self.store_view = StoreView(PlatformDecoder(), self.clock)
        self.scheduling = Scheduling(self.clock, self.send)
        self.handler = PeerMessageHandler(
            self.scheduling, self.store_view, self.clock
        )
        self.handler.lease_client = FakeLeaseClient()

    def send(self, home, action):
        self.handler.send_action(home, action)

    def load_items(self, *targets):
        items = [
            make_item('op/config', make_config(3), 5),
            *(
                make_item(f'servers/{name}', ENTRY, 6)
                for name in targets or ('t',)
            ),
        ]
        self.store_view.apply_items(items, 'store')
        table = self.store_view.table
        records = self.store_view.targets.records.values()
        self.scheduling.configure(
            table,
            make_configuration(table, records),
            frozenset(),
        )

    def open_home_link(self):
        link = FakeLink()
        self.handler.receive(link, link.peer)
        return link

    def reserve(self, link, counter):
        message = ttypes.Reserve(
            id_lease=0,
            id_counter=counter,
            workspace='w',
            service_name='once@ledger',
            tier='tier-1',
            prompt_tokens=0,
            output_tokens=0,
            block_hashes=b'',
            fingerprint=0,
            deadline_in_ms=0,
            idempotency_key='',
            repeatable=False,
            target='',
            waited_ms=0,
        )
        self.handler.receive(link, message)

    def list_leases(self, link):
        return [one for one in link.sent if isinstance(one, ttypes.Lease)]


def test_a_home_gets_a_lease():
    side = NodeSide()
    side.load_items()
    link = side.open_home_link()
    side.reserve(link, 1)
    assert [one.target for one in side.list_leases(link)] == ['t']


def test_a_home_that_links_anew_frees_what_it_held():
    side = NodeSide()
    side.load_items()
    old = side.open_home_link()
    side.reserve(old, 1)
    new = side.open_home_link()
    side.reserve(new, 2)
    assert len(side.list_leases(new)) == 1
    assert old.is_closed


def test_closing_a_replaced_link_keeps_reservations():
    side = NodeSide()
    side.load_items()
    old = side.open_home_link()
    new = side.open_home_link()
    side.reserve(new, 1)
    side.handler.on_link_lost(old)
    assert side.handler.lease_client.lost == []
    release = ttypes.Release(0, 1, 0, 0, 0, 10, 0)
    side.handler.receive(new, release)
    side.reserve(new, 2)
    assert len(side.list_leases(new)) == 2


def test_a_peer_that_is_behind_catches_up():
    ahead, behind = NodeSide(), NodeSide()
    ahead.load_items()
    gone = StoredItem('servers/u', b'', at(9), is_deleted=True)
    ahead.store_view.apply_items([gone], 'store')
    to_ahead = FakeLink()
    behind.handler.request_items(to_ahead)
    to_behind = ahead.open_home_link()
    for message in to_ahead.sent:
        ahead.handler.receive(to_behind, message)
    link = behind.open_home_link()
    for message in to_behind.sent:
        behind.handler.receive(link, message)
    assert behind.store_view.table.version == 3
    assert behind.store_view.position == Position(at(5), at(9), 3)


def test_a_peer_catches_up_also_without_newer_items():
    ahead, behind = NodeSide(), NodeSide()
    ahead.load_items()
    behind.load_items()
    gone = StoredItem('servers/u', b'', at(9), is_deleted=True)
    ahead.store_view.apply_items([gone], 'store')
    ahead.clock.advance(120_000)
    ahead.store_view.sweep()
    to_ahead = FakeLink()
    behind.handler.request_items(to_ahead)
    to_behind = ahead.open_home_link()
    for message in to_ahead.sent:
        ahead.handler.receive(to_behind, message)
    link = behind.open_home_link()
    for message in to_behind.sent:
        behind.handler.receive(link, message)
    assert behind.store_view.position == ahead.store_view.position


def test_a_decision_for_a_lost_home_is_dropped():
    side = NodeSide()
    lease = decisions.Lease(f'{HOME}.0.1', HOME, 't', 1000)
    side.handler.send_action(HOME, lease)
