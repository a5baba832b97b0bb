"""Parts of the messages between homes and schedulers."""

import math
import struct
from typing import Any, Final

from hornbeampulley.errors import WireError
from hornbeampulley.identity import RequestId, SessionStamp
from hornbeampulley.wire.generated.peer import ttypes

HASH_MASK: Final = (1 << 32) - 1
"""Of a block's hash 32 bits are used; a false match only misleads a guess."""

FINGERPRINT_MASK: Final = (1 << 63) - 1
"""Fingerprints travel as signed 64-bit numbers; the top bit is dropped."""

MAX_COUNT: Final = (1 << 31) - 1

CONVERSION_ERRORS: Final = (TypeError, ValueError, IndexError, struct.error)
"""What the conversion of a malformed message raises."""

_HASH: Final = 'I'


def write_stamp(stamp: SessionStamp | None) -> ttypes.Stamp | None:
    """Convert the number of a message.

    Parameters
    ----------
    stamp : SessionStamp or None
        Its incarnations are known from the link.

    Returns
    -------
    ttypes.Stamp or None
        To send.
    """
    if stamp is None:
        return None
    return ttypes.Stamp(stamp.session, stamp.sequence, stamp.echo)


def read_stamp(
    message: ttypes.Stamp, home: str, scheduler: str
) -> SessionStamp:
    """Convert the number of a message as received.

    Parameters
    ----------
    message : ttypes.Stamp
        As received.
    home, scheduler : str
        Incarnations of the two ends of the link.

    Returns
    -------
    SessionStamp
        For the execution tracker.
    """
    return SessionStamp(
        home,
        message.session,
        message.sequence,
        message.echo,
        scheduler,
    )


def read_request_id(message: Any, home: str) -> RequestId:
    """Return the id of the request that a message is about.

    Parameters
    ----------
    message : thrift struct
        With lease and counter of the id.
    home : str
        Incarnation of the home.

    Returns
    -------
    RequestId
        The whole id.

    Raises
    ------
    WireError
        If a part is missing.
    """
    try:
        return RequestId(home, int(message.id_lease), int(message.id_counter))
    except TypeError as error:
        raise make_malformed_error(message) from error


def split_id(text: str) -> tuple[int, int]:
    """Return lease and counter of a request id."""
    request_id = RequestId.parse(text)
    return request_id.lease, request_id.counter


def round_up_ms(duration_ms: float) -> int:
    """Round a duration up to whole milliseconds."""
    return min(math.ceil(duration_ms), MAX_COUNT)


def pack_hashes(hashes: tuple[int, ...]) -> bytes:
    """Pack block hashes of 32 bits."""
    return struct.pack(f'>{len(hashes)}{_HASH}', *hashes)


def unpack_hashes(packed: bytes) -> tuple[int, ...]:
    """Return the block hashes that were packed."""
    count = len(packed) // struct.calcsize(f'>{_HASH}')
    return struct.unpack(f'>{count}{_HASH}', packed)


def make_malformed_error(message: Any) -> WireError:
    """Return the error for a message with missing or wrong fields."""
    return WireError(
        f'a peer sent a malformed {type(message).__name__}; restart it with '
        'the version that runs here',
    )
