"""The platform's list of hosts, which lags behind the real hosts."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

from hornbeampulley.configuration import Target
from hornbeampulley.errors import FaultsError
from hornbeampulley.membership._fields import (
    FaultList,
    Field,
    FieldError,
    IntegerReader,
    format_value,
    make_choice_reader,
    read_address,
    read_entry,
    read_name,
)

SCOPE_HOSTS: Final = 'hosts'
MAX_VERSION: Final = 2**63 - 1


class HostRole(enum.Enum):
    """The kind of process that runs on a host."""

    ENTRY = 'entry'
    TARGET = 'target'


class HostState(enum.Enum):
    """Whether a host may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostListError(FaultsError):
    """A host list has faults."""


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A machine on the platform's list.

    Attributes
    ----------
    name : str
        Unique name.
    address : str
        IP address.
    availability_zone : str
        Its availability zone.
    role : HostRole
        The kind of process that runs on it.
    state : HostState
        Whether it may be given new work.
    """

    name: str
    address: str
    availability_zone: str
    role: HostRole
    state: HostState = HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """One version of the platform's list.

    Attributes
    ----------
    version : int
        Grows with each change of the list.
    hosts : tuple of Host
        All hosts listed.
    """

    version: int = 0
    hosts: tuple[Host, ...] = ()


_KEYS: Final = frozenset(('version', SCOPE_HOSTS))
_read_version: Final = IntegerReader(1, MAX_VERSION)
_HOST: Final = {
    field.name: field
    for field in (
        Field('name', read_name, required=True),
        Field('address', read_address, required=True),
        Field('availability_zone', read_name, required=True),
        Field('role', make_choice_reader(HostRole), required=True),
        Field('state', make_choice_reader(HostState)),
    )
}


def check_hosts(document: dict[str, object], faults: FaultList) -> HostList:
    """Check a decoded host list.

    Parameters
    ----------
    document : dict
        Decoded JSON with the keys ``version`` and ``hosts``.
    faults : FaultList
        Faults found are added to it.

    Returns
    -------
    HostList
        Valid only if no fault was added.
    """
    for extra in document.keys() - _KEYS:
        faults.add(
            'the list', f'has unknown key {format_value(extra)}', 'remove it'
        )
    entries = document.get(SCOPE_HOSTS)
    if not isinstance(entries, list) or not entries:
        faults.add(
            'hosts', f'is {format_value(entries)}', 'write a list of hosts'
        )
        entries = []
    found = (
        read_entry(entry, f'hosts[{index}]', _HOST, faults)
        for index, entry in enumerate(entries)
    )
    hosts = tuple(Host(**values) for values in found if values is not None)
    _check_duplicates(hosts, faults)
    return HostList(_check_version(document, faults), hosts)


class HostTracker:
    """Tracks the newest host list and the targets that have left it."""

    def __init__(self) -> None:
        self._current = HostList()
        self._listed_addresses: set[str] = set()

    @property
    def current(self) -> HostList:
        """The list with the highest version."""
        return self._current

    def merge(self, offered: HostList) -> bool:
        """Replace the current list if the offered one is newer.

        Parameters
        ----------
        offered : HostList
            A list from the platform or from a peer.

        Returns
        -------
        bool
            Whether the list was replaced.
        """
        if offered.version <= self._current.version:
            return False
        self._current = offered
        self._listed_addresses |= _list_addresses(offered.hosts)
        return True

    def list_excluded(self, targets: Iterable[Target]) -> frozenset[str]:
        """List the targets that must not get new work.

        A target that no list has contained yet is not excluded, since the list
        lags behind the start of new hosts.

        Parameters
        ----------
        targets : iterable of Target
            All targets of the configuration.

        Returns
        -------
        frozenset of str
            Names of targets whose host is leaving or is no longer listed.
        """
        configured = tuple(targets)
        live = _list_addresses(
            host for host in self._current.hosts if host.state is HostState.LIVE
        )
        self._drop_unused(configured)
        unavailable = self._listed_addresses - live
        return frozenset(
            target.name
            for target in configured
            if target.address in unavailable
        )

    def _drop_unused(self, targets: tuple[Target, ...]) -> None:
        used = {target.address for target in targets}
        self._listed_addresses &= used | _list_addresses(self._current.hosts)


def _list_addresses(hosts: Iterable[Host]) -> set[str]:
    return {host.address for host in hosts if host.role is HostRole.TARGET}


def _check_version(document: dict[str, object], faults: FaultList) -> int:
    try:
        return _read_version(document.get('version'))
    except FieldError as error:
        faults.add('version', error.problem, error.remedy)
        return 0


def _check_duplicates(hosts: tuple[Host, ...], faults: FaultList) -> None:
    seen: set[str] = set()
    for host in hosts:
        if host.name in seen:
            faults.add('hosts', f'name {host.name} stands twice', 'keep one')
        seen.add(host.name)
