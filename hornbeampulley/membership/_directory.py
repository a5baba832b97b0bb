"""Directory of live hosts and their processes, replicated by gossip."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

import xxhash

# Time without a renewal after which a host counts as dead.
DEAD_AFTER_MS: Final = 5000.0
# Time after a change during which a record is sent in full, not as a pulse.
FULL_RECORD_MS: Final = 10_000.0
# Changes of load within a step of this size do not count as changes.
LOAD_STEP: Final = 8
# Keys are sent as signed 64-bit integers.
_KEY_MASK: Final = (1 << 63) - 1


class Role(enum.Enum):
    """The kind of a process."""

    ENTRY = 'entry'
    SCHEDULER = 'scheduler'
    AGENT = 'agent'
    OPERATOR = 'operator'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process on a host.

    Attributes
    ----------
    role : Role
        Its kind.
    incarnation : str
        Unique name of this run of the process.
    caller_port, peer_port : int
        Ports for callers and for peers; 0 if it has none.
    load : int
        Number of its open requests.
    draining : bool
        Whether it is shutting down.
    """

    role: Role
    incarnation: str
    caller_port: int
    peer_port: int
    load: int = 0
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """Record of a host, published by the agent that runs on it.

    Attributes
    ----------
    host, address, availability_zone : str
        Name, IP address and availability zone of the host.
    started_ms : int
        Wall-clock time of the agent's start, in ms; records of a later start
        replace those of an earlier one.
    version : int
        Grows each time the agent renews the record.
    members : tuple of Member
        Processes that run on the host now.
    ended : tuple of str
        Incarnations of processes that are known for certain to have ended
        there recently.
    region : str
        Group of availability zones; empty if there is only one region.
    processor_capacity : float
        Processor time per second that the host has, in cores of the slowest
        kind of host.
    """

    host: str
    address: str
    availability_zone: str
    started_ms: int
    version: int = 0
    members: tuple[Member, ...] = ()
    ended: tuple[str, ...] = ()
    region: str = ''
    processor_capacity: float = 1

    @property
    def key(self) -> int:
        """Hash that identifies this run of the host's agent in pulses."""
        name = f'{self.host}/{self.started_ms}'.encode()
        return xxhash.xxh3_64_intdigest(name) & _KEY_MASK

    @property
    def age_order(self) -> tuple[int, int]:
        """Sort key that orders records of one host from old to new."""
        return self.started_ms, self.version


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Heartbeat of a host whose record is unchanged but for its version.

    Attributes
    ----------
    key : int
        Key of the record.
    version : int
        Current version of the record.
    """

    key: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """Update of the directory, sent from one agent to another.

    Attributes
    ----------
    records : tuple of HostRecord
        Live records that changed recently or that the receiver asked for.
    pulses : tuple of Pulse
        One for each other live record.
    """

    records: tuple[HostRecord, ...]
    pulses: tuple[Pulse, ...]


@dataclasses.dataclass(slots=True)
class _Entry:
    record: HostRecord
    refreshed_ms: float
    changed_ms: float


class Directory:
    """The hosts that an agent knows.

    Parameters
    ----------
    own : HostRecord
        Record of the agent's own host.
    now_ms : float
        The current time, in ms.
    """

    def __init__(self, own: HostRecord, now_ms: float) -> None:
        self._own_host = own.host
        self._entries = {own.host: _Entry(own, now_ms, now_ms)}
        self._hosts_by_key = {own.key: own.host}

    @property
    def own(self) -> HostRecord:
        """The record of this host."""
        return self._entries[self._own_host].record

    def renew_own_record(
        self,
        members: Iterable[Member],
        now_ms: float,
        ended: Iterable[str] = (),
    ) -> bool:
        """Renew the record of this host.

        Parameters
        ----------
        members : iterable of Member
            Processes that run on this host now.
        now_ms : float
            The current time, in ms.
        ended : iterable of str
            Incarnations of processes that have ended here recently.

        Returns
        -------
        bool
            Whether the record changed, apart from its version and small
            changes of load.
        """
        renewed = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            members=tuple(members),
            ended=tuple(ended),
        )
        return self._put(renewed, now_ms)

    def merge(self, record: HostRecord, now_ms: float) -> bool:
        """Store a record from a peer if it is newer than the known one.

        Parameters
        ----------
        record : HostRecord
            Record received from a peer.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        bool
            Whether the record changed, apart from its version and small
            changes of load; False if it is of the own host or not newer.
        """
        if record.host == self._own_host:
            return False
        entry = self._entries.get(record.host)
        if entry and entry.record.age_order >= record.age_order:
            return False
        return self._put(record, now_ms)

    def merge_pulse(self, pulse: Pulse, now_ms: float) -> bool:
        """Mark a host as alive on a pulse from a peer.

        Parameters
        ----------
        pulse : Pulse
            Pulse received from a peer; ignored unless its version is newer.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        bool
            False if the record is unknown and has to be requested in full.
        """
        host = self._hosts_by_key.get(pulse.key)
        if host is None:
            return False
        entry = self._entries[host]
        if pulse.version > entry.record.version:
            entry.record = dataclasses.replace(
                entry.record,
                version=pulse.version,
            )
            entry.refreshed_ms = now_ms
        return True

    def build_update(
        self,
        wanted: Iterable[int],
        now_ms: float,
    ) -> DirectoryUpdate:
        """Build the update to send to a peer.

        Parameters
        ----------
        wanted : iterable of int
            Keys of the records that the peer asked for.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        DirectoryUpdate
            Covers the live hosts only: full records of those that changed
            within `FULL_RECORD_MS` or were asked for, pulses of the others.
        """
        requested = frozenset(wanted)
        records = []
        pulses = []
        for entry in self._list_live(now_ms):
            is_recent = now_ms - entry.changed_ms < FULL_RECORD_MS
            if is_recent or entry.record.key in requested:
                records.append(entry.record)
            else:
                pulses.append(Pulse(entry.record.key, entry.record.version))
        return DirectoryUpdate(tuple(records), tuple(pulses))

    def build_full_update(self, now_ms: float) -> DirectoryUpdate:
        """Build the update to send to a peer that knows no host yet.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        DirectoryUpdate
            The full records of all live hosts.
        """
        return DirectoryUpdate(self.list_live(now_ms), ())

    def has_host(self, host: str) -> bool:
        """Tell whether the directory has a record of a host.

        Parameters
        ----------
        host : str
            Name of the host.

        Returns
        -------
        bool
            True also if the host is no longer live.
        """
        return host in self._entries

    def list_live(
        self,
        now_ms: float,
        within_ms: float = DEAD_AFTER_MS,
    ) -> tuple[HostRecord, ...]:
        """List the hosts whose records were renewed recently.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.
        within_ms : float
            Age of the last renewal up to which a host counts as live, in ms.

        Returns
        -------
        tuple of HostRecord
            Sorted by name; includes the own host.
        """
        records = [entry.record for entry in self._list_live(now_ms, within_ms)]
        return tuple(sorted(records, key=lambda record: record.host))

    def _list_live(
        self,
        now_ms: float,
        within_ms: float = DEAD_AFTER_MS,
    ) -> list[_Entry]:
        return [
            entry
            for host, entry in self._entries.items()
            if host == self._own_host or now_ms - entry.refreshed_ms < within_ms
        ]

    def _put(self, record: HostRecord, now_ms: float) -> bool:
        previous = self._entries.get(record.host)
        changed = previous is None or _get_significant_fields(
            record
        ) != _get_significant_fields(
            previous.record,
        )
        changed_ms = now_ms if changed else previous.changed_ms
        if previous is not None:
            self._hosts_by_key.pop(previous.record.key, None)
        self._entries[record.host] = _Entry(record, now_ms, changed_ms)
        self._hosts_by_key[record.key] = record.host
        return changed


def _get_significant_fields(record: HostRecord) -> tuple[object, ...]:
    members = tuple(
        dataclasses.replace(member, load=member.load // LOAD_STEP)
        for member in record.members
    )
    return record.address, record.started_ms, members, record.ended
