"""Which hosts are alive and which processes run there, as agents gossip it."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

import xxhash

DEAD_AFTER_MS: Final = 5000.0
FULL_RECORD_MS: Final = 10_000.0
LOAD_STEP: Final = 8
_KEY_MASK: Final = (1 << 63) - 1


class Role(enum.Enum):
    """What a process does."""

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
        What it does.
    incarnation : str
        Name of this run of it.
    caller_port, peer_port : int
        Ports for callers and for peers; 0 if it has none.
    load : int
        Requests open at it.
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
    """What an agent says of its host.

    Attributes
    ----------
    host, address, availability_zone : str
        Name, IP address and place.
    started_ms : int
        Wall time of the agent's start; a later one replaces an earlier one.
    version : int
        Grows with each beat of the agent.
    members : tuple of Member
        Processes that run there now.
    ended : tuple of str
        Incarnations of processes that have ended there lately, for certain.
    region : str
        Group of availability zones; empty if there is one only.
    """

    host: str
    address: str
    availability_zone: str
    started_ms: int
    version: int = 0
    members: tuple[Member, ...] = ()
    ended: tuple[str, ...] = ()
    region: str = ''

    @property
    def key(self) -> int:
        """Hash that names this run of the host's agent in pulses."""
        name = f'{self.host}/{self.started_ms}'.encode()
        return xxhash.xxh3_64_intdigest(name) & _KEY_MASK

    @property
    def age_order(self) -> tuple[int, int]:
        """Sorts records of one host from old to new."""
        return self.started_ms, self.version


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Word that a record is alive and unchanged.

    Attributes
    ----------
    key : int
        Key of the record.
    version : int
        Its version now.
    """

    key: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """What one agent tells another about hosts.

    Attributes
    ----------
    records : tuple of HostRecord
        Those that changed lately or were asked for.
    pulses : tuple of Pulse
        All others that are alive.
    """

    records: tuple[HostRecord, ...]
    pulses: tuple[Pulse, ...]


@dataclasses.dataclass(slots=True)
class _Entry:
    record: HostRecord
    refreshed_ms: float
    changed_ms: float


class Directory:
    """The hosts known to an agent.

    Parameters
    ----------
    own : HostRecord
        The agent's own host.
    now_ms : float
        The current time.
    """

    def __init__(self, own: HostRecord, now_ms: float) -> None:
        self._own_host = own.host
        self._entries = {own.host: _Entry(own, now_ms, now_ms)}
        self._hosts_by_key = {own.key: own.host}

    @property
    def own(self) -> HostRecord:
        """The record of this host."""
        return self._entries[self._own_host].record

    def beat(
        self,
        members: Iterable[Member],
        now_ms: float,
        ended: Iterable[str] = (),
    ) -> bool:
        """Renew the own record.

        Parameters
        ----------
        members : iterable of Member
            Processes that run on this host now.
        now_ms : float
            The current time.
        ended : iterable of str
            Incarnations of processes that have ended here lately.

        Returns
        -------
        bool
            True if more than the version changed.
        """
        renewed = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            members=tuple(members),
            ended=tuple(ended),
        )
        return self._put(renewed, now_ms)

    def merge(self, record: HostRecord, now_ms: float) -> bool:
        """Take a record from a peer if it is newer.

        Parameters
        ----------
        record : HostRecord
            As received.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if something but the version changed.
        """
        if record.host == self._own_host:
            return False
        entry = self._entries.get(record.host)
        if entry and entry.record.age_order >= record.age_order:
            return False
        return self._put(record, now_ms)

    def merge_pulse(self, pulse: Pulse, now_ms: float) -> bool:
        """Take a pulse from a peer.

        Parameters
        ----------
        pulse : Pulse
            As received.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if the record is not known and must be asked for.
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

    def compose_update(
        self,
        wanted: Iterable[int],
        now_ms: float,
    ) -> DirectoryUpdate:
        """Compose what to tell a peer.

        Parameters
        ----------
        wanted : iterable of int
            Keys that the peer asked for.
        now_ms : float
            The current time.

        Returns
        -------
        DirectoryUpdate
            Only live records.
        """
        asked = frozenset(wanted)
        records = []
        pulses = []
        for entry in self._list_live(now_ms):
            is_recent = now_ms - entry.changed_ms < FULL_RECORD_MS
            if is_recent or entry.record.key in asked:
                records.append(entry.record)
            else:
                pulses.append(Pulse(entry.record.key, entry.record.version))
        return DirectoryUpdate(tuple(records), tuple(pulses))

    def compose_all(self, now_ms: float) -> DirectoryUpdate:
        """Compose what to tell a peer that knows nothing yet.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        DirectoryUpdate
            All live records.
        """
        return DirectoryUpdate(self.list_live(now_ms), ())

    def knows(self, host: str) -> bool:
        """Tell whether a host was ever heard of.

        Parameters
        ----------
        host : str
            Its name.

        Returns
        -------
        bool
            True if there is a record of it.
        """
        return host in self._entries

    def outdo(self, record: HostRecord, now_ms: float) -> bool:
        """Replace an older run's record of the own host that peers still hold.

        The wall clock may have been set back between the two runs.

        Parameters
        ----------
        record : HostRecord
            As received.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if the own record had to become newer.
        """
        own = self.own
        is_other_run = _list_incarnations(record) != _list_incarnations(own)
        if record.host != self._own_host or not is_other_run:
            return False
        if record.started_ms < own.started_ms:
            return False
        renewed = dataclasses.replace(own, started_ms=record.started_ms + 1)
        return self._put(renewed, now_ms)

    def list_live(
        self,
        now_ms: float,
        within_ms: float = DEAD_AFTER_MS,
    ) -> tuple[HostRecord, ...]:
        """List the hosts heard of lately.

        Parameters
        ----------
        now_ms : float
            The current time.
        within_ms : float
            How long ago a host may have been heard of.

        Returns
        -------
        tuple of HostRecord
            In order of their names, the own one included.
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


def _list_incarnations(record: HostRecord) -> list[str]:
    return [member.incarnation for member in record.members]


def _get_significant_fields(record: HostRecord) -> tuple[object, ...]:
    members = tuple(
        dataclasses.replace(member, load=member.load // LOAD_STEP)
        for member in record.members
    )
    return record.address, record.started_ms, members, record.ended
