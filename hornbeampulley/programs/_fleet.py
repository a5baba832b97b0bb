"""State of the fleet, as last sent by the agent of this host."""

import dataclasses
import functools
import logging
from collections.abc import Callable, Iterator
from typing import Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.configuration import Configuration, Target
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    HostRecord,
    Member,
    Role,
    Ticket,
    build_configuration,
    parse_ticket,
    rank_owners,
)
from hornbeampulley.pipeline import EntryAddress
from hornbeampulley.programs._process import Process
from hornbeampulley.wire.generated.peer import ttypes

RECONNECT_MS: Final = 200.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Address at which a process listens for peers.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    incarnation : str
        Incarnation of the process.
    """

    address: str
    port: int
    incarnation: str


class Fleet:
    """State of the fleet, as last sent by the agent of this host.

    Parameters
    ----------
    process : Process
        The running process.

    Attributes
    ----------
    configuration : Configuration
        Configuration in force.
    hosts : tuple of HostRecord
        Live hosts.
    leaving : frozenset of str
        Targets that get no new work.
    is_ready : bool
        Whether the agent has asked its peers for tickets since its start.
    """

    def __init__(self, process: Process) -> None:
        self.configuration = Configuration()
        self.hosts: tuple[HostRecord, ...] = ()
        self.leaving: frozenset[str] = frozenset()
        self.is_ready = False
        self._process = process
        self._clock = Clock(trio.current_time)
        self._confirmed_ms = 0.0
        self._tickets: dict[str, Ticket] = {}
        self._listed: frozenset[str] = frozenset()

    @property
    def fresh_age_ms(self) -> float:
        """Time since the configuration service confirmed the tickets, in ms."""
        return self._clock.now() - self._confirmed_ms

    def update(self, view: ttypes.View) -> None:
        """Apply a view sent by the agent.

        Parameters
        ----------
        view : ttypes.View
            View of the agent; fields left out have not changed.
        """
        if view.tickets:
            for ticket in view.tickets:
                self._tickets[ticket.scope] = parse_ticket(ticket.text)
            self.configuration = build_configuration(self._tickets.values())
        if view.hosts is not None:
            self.hosts = tuple(map(wire.read_record, view.hosts))
        if view.listed is not None:
            self._listed = frozenset(view.listed)
        if view.leaving is not None:
            self.leaving = frozenset(view.leaving)
        self.is_ready = bool(view.ready)
        self._confirmed_ms = self._clock.now() - view.fresh_age_ms

    def is_listed(self, address: str) -> bool:
        """Return whether a peer may connect.

        Parameters
        ----------
        address : str
            IP address of the peer.

        Returns
        -------
        bool
            True for this host and the addresses listed by the agent.
        """
        if address == self._process.settings.host.address:
            return True
        return address in self._listed

    def count_entries(self) -> int:
        """Count the entries on live hosts."""
        return sum(1 for _ in self._list_members(Role.ENTRY))

    def count_schedulers(self) -> int:
        """Count the schedulers on live hosts."""
        return sum(1 for _ in self._list_members(Role.SCHEDULER))

    def list_entries(self) -> tuple[EntryAddress, ...]:
        """List the entries that callers can use.

        Returns
        -------
        tuple of EntryAddress
            Entries of this availability zone first, then by load.
        """
        zone = self._process.settings.host.availability_zone
        entries = [
            _make_entry(record, member)
            for record, member in self._list_members(Role.ENTRY)
            if not member.draining
        ]
        entries.sort(
            key=lambda entry: (entry.availability_zone != zone, entry.load),
        )
        return tuple(entries)

    def find_entry(self, incarnation: str) -> EntryAddress | None:
        """Find an entry, including draining ones.

        Parameters
        ----------
        incarnation : str
            Incarnation of the entry.

        Returns
        -------
        EntryAddress or None
            None if no live host lists the entry.
        """
        for record, member in self._list_members(Role.ENTRY):
            if member.incarnation == incarnation:
                return _make_entry(record, member)
        return None

    def find_entry_url(self, incarnation: str) -> str | None:
        """Find the base URL of an entry.

        Parameters
        ----------
        incarnation : str
            Incarnation of the entry.

        Returns
        -------
        str or None
            None if no live host lists the entry.
        """
        entry = self.find_entry(incarnation)
        return entry.url if entry else None

    def list_ended(self) -> frozenset[str]:
        """List the processes whose recent end is certain.

        Returns
        -------
        frozenset of str
            Incarnations of the processes.
        """
        return frozenset(
            incarnation for record in self.hosts for incarnation in record.ended
        )

    def rank_schedulers(self, pool: str) -> tuple[Place, ...]:
        """Rank the schedulers for a pool.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        tuple of Place
            The owner first, then its successors.
        """
        places = {
            member.incarnation: Place(
                record.address,
                member.peer_port,
                member.incarnation,
            )
            for record, member in self._list_members(Role.SCHEDULER)
            if not member.draining
        }
        return tuple(places[name] for name in rank_owners(pool, places))

    def list_pools(self) -> tuple[str, ...]:
        """List the pools that services use.

        Returns
        -------
        tuple of str
            Names of the pools, sorted.
        """
        services = self.configuration.services.values()
        return tuple(sorted({service.pool for service in services}))

    def list_targets(self, pool: str) -> tuple[Target, ...]:
        """List the targets of a pool.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        tuple of Target
            Targets, sorted by name.
        """
        return self.configuration.list_pool_targets(pool)

    def _list_members(self, role: Role) -> Iterator[tuple[HostRecord, Member]]:
        for record in self.hosts:
            for member in record.members:
                if member.role is role:
                    yield record, member


def _make_entry(record: HostRecord, member: Member) -> EntryAddress:
    return EntryAddress(
        url=f'http://{record.address}:{member.caller_port}',
        incarnation=member.incarnation,
        availability_zone=record.availability_zone,
        load=member.load,
    )


async def follow_agent(
    process: Process,
    fleet: Fleet,
    hello: ttypes.Hello,
    make_heartbeat: Callable[[wire.Link], ttypes.Heartbeat],
    on_change: Callable[[], None],
) -> None:
    """Keep a link to the agent of this host, reconnecting without end.

    Parameters
    ----------
    process : Process
        The running process.
    fleet : Fleet
        Fleet state to update with each view of the agent.
    hello : ttypes.Hello
        Hello message of this process.
    make_heartbeat : callable
        Returns a heartbeat with the load and the draining state.
    on_change : callable
        Called after each update of the fleet state.
    """
    address = process.settings.host.address
    port = process.settings.ports.agent_peer
    handle = functools.partial(_handle_message, fleet, on_change)
    while True:
        try:
            stream = await wire.open_stream(address, port, address)
        except OSError as error:
            log_event(_log, 'agent_unreachable', error=error)
        else:
            link = wire.Link(
                stream,
                hello,
                make_heartbeat,
                process.hybrid,
                wire.SLOW_TIMING,
            )
            await link.run(handle)
        await trio.sleep(to_seconds(RECONNECT_MS))


def _handle_message(
    fleet: Fleet,
    on_change: Callable[[], None],
    _link: wire.Link,
    message: object,
) -> None:
    if isinstance(message, ttypes.View):
        fleet.update(message)
        on_change()
