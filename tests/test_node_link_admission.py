"""Tests of links that have not identified themselves."""

import pytest
import trio
import trio.testing

from hornbeampulley import wire
from hornbeampulley.http1 import CONNECTION_BYTES, BufferBudget
from hornbeampulley.node._link_admission import LinkAdmission
from hornbeampulley.wire.generated.peer import ttypes
from tests.nodes import run_nodes, wait_until

HELLO = ttypes.Hello('node', 'h', 'i', 'z', '127.0.0.1', 1, 2)
HELLO_BYTES = 1024
LINK_BYTES = CONNECTION_BYTES + HELLO_BYTES
EMPTY_FRAME = b'\x00\x00\x00\x01\x00'


class QuietSocket:
    """Takes options and does nothing."""

    def setsockopt(self, *option):
        """Take an option."""


def make_link():
    stream, _ = trio.testing.memory_stream_pair()
    return wire.Link(stream, HELLO)


async def run_link(*parts, max_hello_bytes=HELLO_BYTES):
    """Return whether a link is closed after it has received bytes."""
    left, right = trio.testing.memory_stream_pair()
    link = wire.Link(left, HELLO, max_hello_bytes=max_hello_bytes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run, lambda _link, _message: None)
        for part in parts:
            await right.send_all(part)
        await trio.testing.wait_all_tasks_blocked()
        is_closed = link.is_closed
        nursery.cancel_scope.cancel()
    return is_closed


# Memory: each connection to the port of peers could hold 4 MiB.
@pytest.mark.parametrize(
    ('parts', 'is_closed'),
    [
        ((b'\x00\x00\x08\x00x',), True),
        ((EMPTY_FRAME,), True),
        ((wire.encode_frame([HELLO]), EMPTY_FRAME), False),
        ((wire.encode_frame([HELLO]), b'\x00\x20\x00\x00x'), False),
        ((wire.encode_frame([HELLO]) + b'\x00\x20\x00\x00x',), False),
    ],
    ids=['long', 'empty', 'identified', 'long afterwards', 'long behind'],
)
def test_only_a_short_hello_opens_a_link(parts, is_closed, mock_run):
    assert mock_run(run_link, *parts) == is_closed


def test_the_oldest_pending_link_gives_way(mock_run):
    async def scenario():
        clients = BufferBudget().clients
        admission = LinkAdmission(clients, 2, HELLO_BYTES)
        links = [make_link() for _ in range(4)]
        admission.admit(links[0], QuietSocket())
        admission.identify(links[0])
        for link in links[1:]:
            admission.admit(link, QuietSocket())
        assert [link.is_closed for link in links] == [False, True, False, False]
        assert admission.evicted == 1
        assert clients.held_bytes == 2 * LINK_BYTES
        for link in links:
            admission.release(link)
        assert clients.held_bytes == 0
        assert not clients.members

    mock_run(scenario)


# Memory: what connections at this port held did not count.
def test_pending_links_give_way_when_memory_is_short(mock_run):
    async def scenario():
        clients = BufferBudget(1).clients
        room = clients.max_count * CONNECTION_BYTES // LINK_BYTES
        admission = LinkAdmission(clients, 2 * room, HELLO_BYTES)
        links = [make_link() for _ in range(room + 1)]
        for link in links:
            await trio.sleep(0.001)
            admission.admit(link, QuietSocket())
        assert links[0].is_closed
        assert not links[-1].is_closed
        assert clients.evicted > 0
        assert not clients.count_excess()
        open_count = sum(not link.is_closed for link in links)
        assert clients.held_bytes == open_count * LINK_BYTES

    mock_run(scenario)


def test_links_between_nodes_do_not_stay_pending():
    async def scenario(fleet):
        node = fleet.nodes[0]
        peer = fleet.nodes[1].membership.incarnation
        await wait_until(lambda: node.mesh.get_link(peer) is not None)
        assert not fleet.nodes[1].mesh.admission.pending_count
        assert (await fleet.call('/none/a'))[0] == 404

    run_nodes(scenario, count=2)
