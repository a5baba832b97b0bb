"""Converts messages of the ticket gossip to and from thrift structs."""

from collections.abc import Callable
from typing import Any, Final

from hornbeampulley.errors import WireError
from hornbeampulley.membership import (
    PeerMessage,
    Stamp,
    TicketBody,
    TicketNotice,
    TicketPull,
    TicketSummary,
)
from hornbeampulley.registry import Registry
from hornbeampulley.wire.generated.peer import ttypes

_SERIAL_BITS: Final = 64
# Serials are unsigned; they are shifted into the range of a signed integer.
_SIGN: Final = 1 << (_SERIAL_BITS - 1)

_READERS: Final[Registry[Callable[[Any], PeerMessage]]] = Registry('message')


def write_peer_message(message: PeerMessage) -> Any:
    """Convert a message of the ticket gossip to its thrift struct.

    Parameters
    ----------
    message : TicketNotice, TicketSummary, TicketPull or TicketBody
        Message to send.

    Returns
    -------
    thrift struct
        Struct to send.
    """
    match message:
        case TicketNotice():
            return ttypes.TicketNotice(
                message.serial - _SIGN,
                list(message.ages_ms),
                list(map(write_ticket_stamp, message.changed)),
                message.is_answer,
            )
        case TicketSummary():
            return ttypes.TicketSummary(
                list(map(write_ticket_stamp, message.stamps)),
                message.wants_answer,
                message.is_ready,
            )
        case TicketPull():
            return ttypes.TicketPull(list(message.scopes))
    return ttypes.TicketBody(
        write_ticket_stamp(message.stamp),
        message.age_ms,
        message.content,
    )


def read_peer_message(message: Any) -> PeerMessage | None:
    """Convert a received thrift struct to a message of the ticket gossip.

    Parameters
    ----------
    message : thrift struct
        Any received message of the peer protocol.

    Returns
    -------
    PeerMessage or None
        None if the struct is of another type.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    kind = type(message).__name__
    readers = dict(_READERS)
    if kind not in readers:
        return None
    try:
        return readers[kind](message)
    except TypeError as error:
        raise WireError(
            f'a peer sent a malformed {kind}; restart it with the version '
            'that runs here',
        ) from error


def write_ticket_stamp(stamp: Stamp) -> ttypes.TicketStamp:
    """Convert the stamp of a ticket to its thrift struct.

    Parameters
    ----------
    stamp : Stamp
        Stamp of a ticket.

    Returns
    -------
    ttypes.TicketStamp
        Struct to send.
    """
    return ttypes.TicketStamp(stamp.scope, stamp.number, stamp.digest)


def read_ticket_stamp(message: ttypes.TicketStamp) -> Stamp:
    """Convert a received thrift struct to the stamp of a ticket.

    Parameters
    ----------
    message : ttypes.TicketStamp
        Received struct.

    Returns
    -------
    Stamp
        Stamp of a ticket.
    """
    return Stamp(message.scope, int(message.number), message.digest)


@_READERS.register('TicketNotice')
def _read_notice(message: ttypes.TicketNotice) -> TicketNotice:
    return TicketNotice(
        message.serial + _SIGN,
        tuple(message.ages_ms),
        tuple(map(read_ticket_stamp, message.changed)),
        bool(message.is_answer),
    )


@_READERS.register('TicketSummary')
def _read_summary(message: ttypes.TicketSummary) -> TicketSummary:
    return TicketSummary(
        tuple(map(read_ticket_stamp, message.stamps)),
        bool(message.wants_answer),
        bool(message.is_ready),
    )


@_READERS.register('TicketPull')
def _read_pull(message: ttypes.TicketPull) -> TicketPull:
    return TicketPull(tuple(message.scopes))


@_READERS.register('TicketBody')
def _read_body(message: ttypes.TicketBody) -> TicketBody:
    return TicketBody(
        read_ticket_stamp(message.stamp),
        float(message.age_ms),
        message.content,
    )
