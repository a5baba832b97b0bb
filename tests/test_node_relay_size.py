"""Test of what a large routing table costs a host that relays it."""

import json

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._peers import PeerMessageHandler
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.wire import encode_frame
from hornbeampulley.wire.generated.peer import ttypes
from tests.nodes import make_config, make_route
from tests.stored import at
from tests.test_node_peers import FakeLink

# The users' grown deployments: routes added at once, the narrowest link of a
# host, the time in which a change has to be in force, and the rounds in which
# 76 hosts tell each other if each round doubles those who know.
ROUTES = 1856
LINK_BYTES_PER_S = 5_000_000 / 8
APPLY_S = 3
ROUNDS = 7


# CONFIG: hosts that read the store sent large tables for so long that their
# peers learnt of the next change too late.
def test_a_large_table_is_relayed_in_time_over_a_narrow_link():
    clock = ManualClock()
    view = StoreView(PlatformDecoder(), clock)
    routes = [
        make_route(f'r{number}', 'idempotent') for number in range(ROUTES)
    ]
    document = json.dumps(make_config(35, routes=routes)).encode()
    view.apply_items([StoredItem('op/config', document, at(78))], 'store')
    handler = PeerMessageHandler(Scheduling(clock, print), view, clock)
    link = FakeLink()
    handler.receive(link, ttypes.Position(0, 0))
    relayed = len(encode_frame(link.sent))
    assert relayed <= APPLY_S / ROUNDS * LINK_BYTES_PER_S
