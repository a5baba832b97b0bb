"""Conversions shared by the messages between home entries and schedulers."""

import math
import struct
from typing import Any, Final

from hornbeampulley.errors import WireError
from hornbeampulley.identity import RequestId, SessionStamp
from hornbeampulley.wire.generated.peer import ttypes

HASH_MASK: Final = (1 << 32) - 1
"""Block hashes are cut to 32 bits: a collision only spoils an estimate."""

FINGERPRINT_MASK: Final = (1 << 63) - 1
"""Fingerprints are sent as signed 64-bit numbers without the top bit."""

# Durations are sent as signed 32-bit integers.
MAX_DURATION_MS: Final = (1 << 31) - 1

CONVERSION_ERRORS: Final = (TypeError, ValueError, IndexError, struct.error)
"""Errors that the conversion of a malformed message raises."""

PART_MASK: Final = (1 << 64) - 1
"""Ids of parts of prompts are sent as unsigned 64-bit numbers."""

_HASH: Final = 'I'
_PART: Final = 'Q'


def write_stamp(stamp: SessionStamp | None) -> ttypes.Stamp | None:
    """Convert a session stamp to its thrift struct.

    Parameters
    ----------
    stamp : SessionStamp or None
        Stamp of the message; its incarnations are not sent, since the receiver
        knows them from the link.

    Returns
    -------
    ttypes.Stamp or None
        Struct to send; None if there is no stamp.
    """
    if stamp is None:
        return None
    return ttypes.Stamp(stamp.session, stamp.sequence, stamp.echo)


def read_stamp(
    message: ttypes.Stamp, home: str, scheduler: str
) -> SessionStamp:
    """Convert a received thrift struct to a session stamp.

    Parameters
    ----------
    message : ttypes.Stamp
        Received struct.
    home, scheduler : str
        Incarnations of the processes at the two ends of the link.

    Returns
    -------
    SessionStamp
        Stamp for the execution tracker.
    """
    return SessionStamp(
        home,
        message.session,
        message.sequence,
        message.echo,
        scheduler,
    )


def read_request_id(message: Any, home: str) -> RequestId:
    """Build the id of the request that a message refers to.

    Parameters
    ----------
    message : thrift struct
        Received message, with the lease and the counter of the id.
    home : str
        Incarnation of the home entry.

    Returns
    -------
    RequestId
        The complete id.

    Raises
    ------
    WireError
        If the lease or the counter is missing.
    """
    try:
        return RequestId(home, int(message.id_lease), int(message.id_counter))
    except TypeError as error:
        raise make_malformed_error(message) from error


def split_id(text: str) -> tuple[int, int]:
    """Return the lease and the counter of a request id."""
    request_id = RequestId.parse(text)
    return request_id.lease, request_id.counter


def round_up_ms(duration_ms: float) -> int:
    """Round a duration up to whole milliseconds, at most `MAX_DURATION_MS`."""
    return min(math.ceil(duration_ms), MAX_DURATION_MS)


def pack_hashes(hashes: tuple[int, ...]) -> bytes:
    """Pack 32-bit block hashes into big-endian bytes."""
    return struct.pack(f'>{len(hashes)}{_HASH}', *hashes)


def unpack_hashes(packed: bytes) -> tuple[int, ...]:
    """Unpack block hashes packed by ``pack_hashes``."""
    count = len(packed) // struct.calcsize(f'>{_HASH}')
    return struct.unpack(f'>{count}{_HASH}', packed)


def pack_parts(parts: tuple[int, ...]) -> bytes:
    """Pack ids of parts of prompts into big-endian bytes."""
    return struct.pack(f'>{len(parts)}{_PART}', *parts)


def unpack_parts(packed: bytes) -> tuple[int, ...]:
    """Unpack ids packed by ``pack_parts``."""
    count = len(packed) // struct.calcsize(f'>{_PART}')
    return struct.unpack(f'>{count}{_PART}', packed)


def make_malformed_error(message: Any) -> WireError:
    """Build the error for a message with missing or wrong fields."""
    return WireError(
        f'a peer sent a malformed {type(message).__name__}; restart it with '
        'the version that runs here',
    )
