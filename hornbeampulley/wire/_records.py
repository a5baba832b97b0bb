"""Converts records of the host directory to and from thrift structs."""

import ipaddress
from collections.abc import Iterable
from typing import Final

from hornbeampulley.errors import WireError
from hornbeampulley.membership import (
    DirectoryUpdate,
    HostCondition,
    HostNews,
    HostRecord,
    Member,
    Pulse,
    Role,
)
from hornbeampulley.wire.generated.peer import ttypes

# Leaves room to raise a version and to encode it in 64 bits.
MAX_ORDER: Final = 1 << 62
MAX_PORT: Final = 65_535


def write_record(record: HostRecord) -> ttypes.HostRecord:
    """Convert a host record to its thrift struct.

    Parameters
    ----------
    record : HostRecord
        Record of the directory.

    Returns
    -------
    ttypes.HostRecord
        Struct to send.
    """
    return ttypes.HostRecord(
        record.host,
        record.address,
        record.availability_zone,
        record.started_ms,
        record.version,
        [_write_member(member) for member in record.members],
        list(record.ended),
        record.region,
        record.processor_capacity,
    )


def read_record(message: ttypes.HostRecord) -> HostRecord:
    """Convert a received thrift struct to a host record.

    Parameters
    ----------
    message : ttypes.HostRecord
        Received struct.

    Returns
    -------
    HostRecord
        Record for the directory.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    try:
        return HostRecord(
            message.host,
            message.address,
            message.availability_zone,
            message.started_ms,
            message.version,
            tuple(_read_member(member) for member in message.members),
            tuple(message.ended),
            message.region or '',
            message.processor_capacity or 1,
        )
    except (TypeError, ValueError) as error:
        raise WireError(
            'a peer sent a malformed host record; restart it with the '
            'version that runs here',
        ) from error


def write_directory_update(
    update: DirectoryUpdate,
    wanted: frozenset[int],
) -> ttypes.DirectoryNews:
    """Convert a directory update to its thrift struct.

    Parameters
    ----------
    update : DirectoryUpdate
        Update built by the directory.
    wanted : frozenset of int
        Keys of records to request from the receiver.

    Returns
    -------
    ttypes.DirectoryNews
        Struct to send.
    """
    return ttypes.DirectoryNews(
        [write_record(record) for record in update.records],
        [ttypes.Pulse(pulse.key, pulse.version) for pulse in update.pulses],
        sorted(wanted),
    )


def read_directory_update(message: ttypes.DirectoryNews) -> DirectoryUpdate:
    """Convert a received thrift struct to a directory update.

    Parameters
    ----------
    message : ttypes.DirectoryNews
        Received struct.

    Returns
    -------
    DirectoryUpdate
        Update for the directory.
    """
    return DirectoryUpdate(
        tuple(read_record(record) for record in message.records or ()),
        tuple(
            Pulse(pulse.key, pulse.version) for pulse in message.pulses or ()
        ),
    )


def write_host_news(news: Iterable[HostNews]) -> ttypes.MembershipNews:
    """Convert news of hosts to their thrift struct.

    Parameters
    ----------
    news : iterable of HostNews
        News to send.

    Returns
    -------
    ttypes.MembershipNews
        Struct to send.
    """
    return ttypes.MembershipNews(
        [
            ttypes.HostNews(write_record(one.record), one.condition.value)
            for one in news
        ],
    )


def read_host_news(message: ttypes.MembershipNews) -> tuple[HostNews, ...]:
    """Convert a received thrift struct to news of hosts.

    Parameters
    ----------
    message : ttypes.MembershipNews
        Received struct.

    Returns
    -------
    tuple of HostNews
        News for the roster.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    try:
        news = tuple(
            HostNews(read_record(one.record), HostCondition(one.state))
            for one in message.news
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise WireError(
            'a peer sent malformed news of a host; restart it with the '
            'version that runs here',
        ) from error
    for one in news:
        _check_order(one)
        _check_endpoints(one.record)
    return news


def _check_order(news: HostNews) -> None:
    if not all(0 <= number <= MAX_ORDER for number in news.order):
        raise WireError(
            f'a peer sent news of {news.record.host} with a start or version '
            'out of range; check the clock of that host',
        )


def _check_endpoints(record: HostRecord) -> None:
    ports = [
        port
        for member in record.members
        for port in (member.caller_port, member.peer_port)
    ]
    try:
        ipaddress.ip_address(record.address)
    except ValueError as error:
        raise WireError(
            f'a peer sent news of {record.host!a} with no IP address; restart '
            'it with the version that runs here',
        ) from error
    if not all(0 <= port <= MAX_PORT for port in ports):
        raise WireError(
            f'a peer sent news of {record.host!a} with a port out of range; '
            'restart it with the version that runs here',
        )


def _write_member(member: Member) -> ttypes.Member:
    return ttypes.Member(
        member.role.value,
        member.incarnation,
        member.caller_port,
        member.peer_port,
        member.load,
        member.draining,
    )


def _read_member(message: ttypes.Member) -> Member:
    return Member(
        Role(message.role),
        message.incarnation,
        message.caller_port,
        message.peer_port,
        message.load,
        message.draining,
    )
