"""Converts items of the store to and from messages for peers.

Large contents are compressed, since a routing table of thousands of routes would
fill the links of the hosts that read it for seconds.
"""

import zlib
from typing import Final

from hornbeampulley.errors import WireError
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node.stored import Revision, StoredItem
from hornbeampulley.routing import RunStamp
from hornbeampulley.wire.generated.peer import ttypes

MIN_PACKED_BYTES: Final = 1024
MAX_CONTENT_BYTES: Final = 16 << 20
# Fast; higher levels save little on such documents.
LEVEL: Final = 1


class ItemWriter:
    """Writes items; keeps the last large content, which many peers ask for."""

    def __init__(self) -> None:
        self._last = b''
        self._last_packed = b''

    def write(self, item: StoredItem) -> ttypes.StoredItem:
        """Convert an item to a message.

        Parameters
        ----------
        item : StoredItem
            Item as read from the store.

        Returns
        -------
        ttypes.StoredItem
            Message to send.
        """
        content = item.content
        is_packed = len(content) >= MIN_PACKED_BYTES
        stamp = item.removed_stamp
        return ttypes.StoredItem(
            item.key,
            self._pack(content) if is_packed else content,
            item.revision.number,
            item.is_deleted,
            round(item.held_ms),
            is_packed,
            item.revision.epoch or None,
            stamp.born_ms if stamp else None,
            stamp.sequence if stamp else None,
        )

    def _pack(self, content: bytes) -> bytes:
        if content != self._last:
            self._last = content
            self._last_packed = zlib.compress(content, LEVEL)
        return self._last_packed


def read_relayed_item(message: ttypes.StoredItem) -> StoredItem:
    """Convert a message to an item.

    Parameters
    ----------
    message : ttypes.StoredItem
        Received message.

    Returns
    -------
    StoredItem
        The item, as a peer has read it.

    Raises
    ------
    WireError
        If its content can't be read or is too large.
    """
    content = bytes(message.content)
    return StoredItem(
        message.key,
        _unpack(content) if message.is_packed else content,
        Revision(message.epoch or 0, message.revision),
        bool(message.deleted),
        message.held_ms or 0,
        _read_stamp(message),
    )


def write_position(
    position: Position, age_ms: float | None = None
) -> ttypes.Position:
    """Convert a position to a message.

    Parameters
    ----------
    position : Position
        How much of the store a node has applied.
    age_ms : float, optional
        Time in ms since its view was up to date; not sent if not given.

    Returns
    -------
    ttypes.Position
        Message to send.
    """
    return ttypes.Position(
        position.targets.number,
        position.routing.number,
        None if age_ms is None else round(age_ms),
        position.targets.epoch or None,
        position.routing.epoch or None,
        position.version or None,
    )


def read_position(message: ttypes.Position) -> Position:
    """Convert a message to a position.

    Parameters
    ----------
    message : ttypes.Position
        Received message.

    Returns
    -------
    Position
        How much of the store the sender has applied.
    """
    return Position(
        Revision(message.routing_epoch or 0, message.routing_version),
        Revision(message.epoch or 0, message.revision),
        message.table_version or 0,
    )


def _read_stamp(message: ttypes.StoredItem) -> RunStamp | None:
    if message.born_ms is None or message.sequence is None:
        return None
    return RunStamp(message.born_ms, message.sequence)


def _unpack(packed: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(packed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise _make_unreadable_error() from error
    if not reader.eof:
        raise _make_unreadable_error()
    return content


def _make_unreadable_error() -> WireError:
    return WireError(
        'a peer sent an item whose content is cut off, damaged or too large; '
        'restart it with the version that runs here',
    )
