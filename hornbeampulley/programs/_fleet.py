"""What a process knows of the fleet: the last word of its host's agent."""

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
    """Where a process listens for peers.

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
    """The fleet as this host's agent sees it.

    Parameters
    ----------
    process : Process
        This run of the program.

    Attributes
    ----------
    configuration : Configuration
        In force.
    hosts : tuple of HostRecord
        Hosts that live.
    leaving : frozenset of str
        Targets that are to get no new work.
    is_ready : bool
        Whether the agent has caught up with its peers.
    """

    def __init__(self, process: Process) -> None:
        self.configuration = Configuration()
        self.hosts: tuple[HostRecord, ...] = ()
        self.leaving: frozenset[str] = frozenset()
        self.is_ready = False
        self._process = process
        self._clock = Clock(trio.current_time)
        self._fresh_ms = 0.0
        self._tickets: dict[str, Ticket] = {}
        self._listed: frozenset[str] = frozenset()

    @property
    def fresh_age_ms(self) -> float:
        """Age of the last word of the configuration service."""
        return self._clock.now() - self._fresh_ms

    def update(self, view: ttypes.View) -> None:
        """Take the agent's word.

        Parameters
        ----------
        view : ttypes.View
            Fields left out have not changed.
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
        self._fresh_ms = self._clock.now() - view.fresh_age_ms

    def is_listed(self, address: str) -> bool:
        """Tell whether a peer may connect.

        Parameters
        ----------
        address : str
            IP address of the peer.

        Returns
        -------
        bool
            True for listed entry hosts, hosts that live, and this one.
        """
        if address == self._process.settings.host.address:
            return True
        return address in self._listed

    def count_entries(self) -> int:
        """Count the entries that are believed to live."""
        return sum(1 for _ in self._list_members(Role.ENTRY))

    def count_schedulers(self) -> int:
        """Count the schedulers that are believed to live."""
        return sum(1 for _ in self._list_members(Role.SCHEDULER))

    def list_entries(self) -> tuple[EntryAddress, ...]:
        """List the entries that callers can use.

        Returns
        -------
        tuple of EntryAddress
            Those of this zone first, then by load.
        """
        zone = self._process.settings.host.availability_zone
        entries = [
            _form_entry(record, member)
            for record, member in self._list_members(Role.ENTRY)
            if not member.draining
        ]
        entries.sort(
            key=lambda entry: (entry.availability_zone != zone, entry.load),
        )
        return tuple(entries)

    def find_entry(self, incarnation: str) -> EntryAddress | None:
        """Find an entry, draining ones included.

        Parameters
        ----------
        incarnation : str
            Incarnation of the entry.

        Returns
        -------
        EntryAddress or None
            None if it is not known to live.
        """
        for record, member in self._list_members(Role.ENTRY):
            if member.incarnation == incarnation:
                return _form_entry(record, member)
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
            None if it is not known to live.
        """
        entry = self.find_entry(incarnation)
        return entry.url if entry else None

    def list_ended(self) -> frozenset[str]:
        """List the processes that have ended lately, for certain.

        Returns
        -------
        frozenset of str
            Their incarnations.
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
            In order of their names.
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
            In order of their names.
        """
        return self.configuration.list_pool_targets(pool)

    def _list_members(self, role: Role) -> Iterator[tuple[HostRecord, Member]]:
        for record in self.hosts:
            for member in record.members:
                if member.role is role:
                    yield record, member


def _form_entry(record: HostRecord, member: Member) -> EntryAddress:
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
    """Keep a link to this host's agent for ever.

    Parameters
    ----------
    process : Process
        This run of the program.
    fleet : Fleet
        Takes the agent's word.
    hello : ttypes.Hello
        What this process says of itself.
    make_heartbeat : callable
        Returns its load and whether it drains.
    on_change : callable
        Called after each word.
    """
    address = process.settings.host.address
    port = process.settings.ports.agent_peer
    handle = functools.partial(_take_word, fleet, on_change)
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


def _take_word(
    fleet: Fleet,
    on_change: Callable[[], None],
    _link: wire.Link,
    message: object,
) -> None:
    if isinstance(message, ttypes.View):
        fleet.update(message)
        on_change()
