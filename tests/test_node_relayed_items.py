"""Tests of items of the store as messages for peers."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.errors import WireError
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._relayed_items import (
    MAX_CONTENT_BYTES,
    ItemWriter,
    read_position,
    read_relayed_item,
    write_position,
)
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.routing import RunStamp
from hornbeampulley.wire import decode_body, encode_frame
from hornbeampulley.wire.generated.peer import ttypes
from tests.stored import at


def relay(item):
    """Write an item, send it through a frame, and read it."""
    message = ttypes.StoredItems(0, [ItemWriter().write(item)], 0)
    (received,) = decode_body(encode_frame([message])[4:]).messages
    return read_relayed_item(received.items[0])


STAMPS = st.builds(RunStamp, st.integers(0, 1 << 60), st.integers(0, 1 << 60))


@given(
    st.binary(max_size=4000),
    st.integers(0, 9),
    st.booleans(),
    st.integers(0, 5000),
    st.none() | STAMPS,
)
def test_an_item_arrives_as_it_was_read(
    content, epoch, is_deleted, held_ms, stamp
):
    item = StoredItem(
        'servers/a', content, at(7, epoch), is_deleted, held_ms, stamp
    )
    assert relay(item) == item


@given(st.tuples(*[st.integers(0, 1 << 60)] * 5))
def test_a_position_arrives_as_it_was(numbers):
    targets, epoch, routing, routing_epoch, version = numbers
    position = Position(at(routing, routing_epoch), at(targets, epoch), version)
    (received,) = decode_body(
        encode_frame([write_position(position, 12)])[4:]
    ).messages
    assert read_position(received) == position


def test_what_many_peers_ask_for_is_compressed_once():
    writer = ItemWriter()
    item = StoredItem('op/config', b'{"routes": []}' * 500, at(7))
    assert writer.write(item).content is writer.write(item).content


@pytest.mark.parametrize(
    'content',
    [
        b'not compressed',
        zlib.compress(b'x' * 5000)[:-9],
        zlib.compress(b'0' * (MAX_CONTENT_BYTES + 1)),
    ],
    ids=['damaged', 'cut off', 'too large'],
)
def test_a_content_that_can_not_be_read_is_refused(content):
    message = ttypes.StoredItem('op/config', content, 1, False, 0, True)
    with pytest.raises(WireError):
        read_relayed_item(message)
