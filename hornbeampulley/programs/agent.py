"""The agent: reads the configuration and the hosts and spreads both."""

import functools
import logging
import os
import random
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import FaultsError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    Applied,
    Directory,
    HostBook,
    HostList,
    HostRecord,
    HostRole,
    Member,
    Role,
    TicketStore,
    parse_hosts,
    rank_owners,
)
from hornbeampulley.programs._agent_reports import (
    AgentState,
    describe_agent,
    measure_tickets,
)
from hornbeampulley.programs._platform import PlatformError, PlatformReader
from hornbeampulley.programs._process import Process, run_daemon
from hornbeampulley.programs._queries import Subject, answer_query
from hornbeampulley.wire.generated.peer import ttypes

GOSSIP_MS: Final = 500.0
READ_MS: Final = 1000.0
MAX_PEERS: Final = 4
KEEP_ENDED_MS: Final = 120_000.0
_log = logging.getLogger(__name__)


class Agent:
    """What the agent of a host holds.

    Parameters
    ----------
    process : Process
        This run of the program.
    nursery : trio.Nursery
        Runs its tasks.
    drain : trio.Event
        Set when it is to shut down.
    """

    def __init__(
        self,
        process: Process,
        nursery: trio.Nursery,
        drain: trio.Event,
    ) -> None:
        self.process = process
        self._nursery = nursery
        self.clock = Clock(trio.current_time)
        self.store = TicketStore()
        self.book = HostBook()
        self.directory = Directory(_make_record(process), self.clock.now())
        self.fresh_ms = self.clock.now()
        self._subject = Subject(
            process,
            drain,
            lambda: describe_agent(self.describe()),
        )
        self._ended: dict[str, float] = {}
        self._locals: list[wire.Link] = []
        self._heartbeats: dict[str, ttypes.Heartbeat] = {}
        self._peers: dict[str, wire.Link] = {}
        self._wanted: set[int] = set()
        self._told: dict[int, tuple[Any, ...]] = {}

    def is_listed(self, address: str) -> bool:
        """Tell whether a peer may connect.

        Parameters
        ----------
        address : str
            IP address of the peer.

        Returns
        -------
        bool
            True for this host, seeds and listed entry hosts.
        """
        settings = self.process.settings
        if address in {settings.host.address, *settings.peers.seeds}:
            return True
        return address in self.list_addresses()

    def list_addresses(self) -> set[str]:
        """List the addresses of all entry hosts known.

        Returns
        -------
        set of str
            From the host list and from peers.
        """
        listed = {
            host.address
            for host in self.book.current.hosts
            if host.role is HostRole.ENTRY
        }
        records = self.directory.list_live(self.clock.now())
        return listed | {record.address for record in records}

    def describe(self) -> AgentState:
        """Describe what the agent holds.

        Returns
        -------
        AgentState
            As of now.
        """
        now_ms = self.clock.now()
        return AgentState(
            self.store,
            now_ms - self.fresh_ms,
            len(self._locals),
            self.directory.list_live(now_ms),
        )

    def list_members(self) -> tuple[Member, ...]:
        """List the processes of this host.

        Returns
        -------
        tuple of Member
            Those whose links to this agent are open.
        """
        members = []
        for link in self._locals:
            hello = link.peer
            beat = self._heartbeats.get(hello.incarnation, ttypes.Heartbeat())
            members.append(
                Member(
                    Role(hello.role),
                    hello.incarnation,
                    hello.caller_port or 0,
                    hello.peer_port or 0,
                    beat.load or 0,
                    bool(beat.draining),
                ),
            )
        return tuple(members)

    def offer_ticket(self, text: bytes, source: str) -> bool:
        """Take a ticket if it is newer than the one in force.

        Parameters
        ----------
        text : bytes
            Its text.
        source : str
            Where it comes from.

        Returns
        -------
        bool
            Whether it is in force now and was not before.
        """
        outcome = self.store.offer(text, source, self.clock.now())
        if isinstance(outcome, Applied):
            log_event(
                _log,
                'ticket_applied',
                scope=outcome.ticket.scope,
                number=outcome.ticket.number,
                source=source,
            )
        return isinstance(outcome, Applied)

    def offer_hosts(self, text: bytes) -> bool:
        """Take a host list if it is fresher.

        Parameters
        ----------
        text : bytes
            As the platform wrote it.

        Returns
        -------
        bool
            Whether it was fresher.
        """
        try:
            ticket = parse_hosts(text)
        except FaultsError as error:
            log_event(
                _log,
                'host_list_refused',
                severity=logging.WARNING,
                error=error,
            )
            return False
        return self.book.merge(HostList(ticket.number, ticket.state))

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a link that a peer or a process of this host opened.

        Parameters
        ----------
        stream : trio.SocketStream
            Just accepted.
        """
        await self._run_link(stream)

    async def meet(self, address: str) -> None:
        """Keep a link to the agent of another host until it breaks.

        Parameters
        ----------
        address : str
            Address of the host.
        """
        own_address = self.process.settings.host.address
        port = self.process.settings.ports.agent_peer
        try:
            stream = await wire.open_stream(address, port, own_address)
        except OSError:
            self._peers.pop(address, None)
            return
        await self._run_link(stream)

    async def watch_process(self, incarnation: str, number: int) -> None:
        """Wait for the end of a process of this host and tell of it.

        A closed link proves nothing, since its process may have closed it.

        Parameters
        ----------
        incarnation : str
            Incarnation of the process.
        number : int
            Its process number.
        """
        try:
            handle = os.pidfd_open(number)
        except OSError:
            return
        try:
            await trio.lowlevel.wait_readable(handle)
        finally:
            os.close(handle)
        log_event(_log, 'process_gone', subject=incarnation)
        self._ended[incarnation] = self.clock.now()
        self._beat()
        self._tell_peers(self.clock.now())
        self.tell_locals()

    async def gossip(self) -> None:
        """Tell peers and the processes of this host, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                self._beat()
                for address in self._choose_addresses():
                    nursery.start_soon(self.meet, address)
                self._tell_peers(self.clock.now())
                self.tell_locals()
                measure_tickets(self.process.metrics, self.describe())
                await trio.sleep(to_seconds(GOSSIP_MS))

    def tell_locals(self) -> None:
        """Send the view to the processes of this host, what changed of it."""
        for link in self._locals:
            link.send(self._form_view(link))

    async def _run_link(self, stream: trio.SocketStream) -> None:
        link = wire.Link(
            stream,
            self.process.make_hello(self.process.settings.ports.agent_peer),
            hybrid=self.process.hybrid,
        )
        try:
            await link.run(self._handle)
        finally:
            self._drop(link)

    def _beat(self) -> None:
        now_ms = self.clock.now()
        self._ended = {
            incarnation: ended_ms
            for incarnation, ended_ms in self._ended.items()
            if now_ms - ended_ms < KEEP_ENDED_MS
        }
        self.directory.beat(self.list_members(), now_ms, self._ended)

    def _drop(self, link: wire.Link) -> None:
        self._told.pop(id(link), None)
        if link in self._locals:
            self._locals.remove(link)
            self._beat()
        if link.peer is not None:
            address = link.peer.address
            if self._peers.get(address) is link:
                self._peers.pop(address)

    def _handle(self, link: wire.Link, message: Any) -> None:
        match message:
            case ttypes.Hello():
                self._greet(link)
            case ttypes.Heartbeat():
                self._heartbeats[link.peer.incarnation] = message
            case ttypes.DirectoryNews():
                self._take_news(message)
            case ttypes.TicketText():
                self.offer_ticket(message.text, link.peer.host)
            case ttypes.Query():
                link.send(answer_query(self._subject, message))

    def _greet(self, link: wire.Link) -> None:
        role = Role(link.peer.role)
        if role is Role.AGENT:
            self._peers[link.peer.address] = link
            for ticket in self.store.list_newer_than({}):
                link.send(ttypes.TicketText(ticket.scope, ticket.text))
        elif role is not Role.OPERATOR:
            self._locals.append(link)
            link.send(self._form_view(link))
            self._nursery.start_soon(
                self.watch_process,
                link.peer.incarnation,
                link.peer.process_number or 0,
            )

    def _take_news(self, message: ttypes.DirectoryNews) -> None:
        now_ms = self.clock.now()
        news = wire.read_news(message)
        changed = [
            record
            for record in news.records
            if self.directory.merge(record, now_ms)
        ]
        for record in changed:
            self._wanted.discard(record.key)
            log_event(_log, 'host_changed', subject=record.host)
        if changed:
            self.tell_locals()
        for pulse in news.pulses:
            if not self.directory.merge_pulse(pulse, now_ms):
                self._wanted.add(pulse.key)

    def _tell_peers(self, now_ms: float) -> None:
        news = self.directory.compose_news(self._wanted, now_ms)
        message = wire.write_news(news, frozenset(self._wanted))
        self._wanted.clear()
        for link in self._peers.values():
            link.send(message)

    def _choose_addresses(self) -> list[str]:
        own = self.process.settings.host.address
        known = self.list_addresses() | set(self.process.settings.peers.seeds)
        ranked = rank_owners(own, known - {own})[:MAX_PEERS]
        return [address for address in ranked if address not in self._peers]

    def _form_view(self, link: wire.Link) -> ttypes.View:
        now_ms = self.clock.now()
        view = ttypes.View(fresh_age_ms=now_ms - self.fresh_ms, ready=True)
        hosts = self.directory.list_live(now_ms)
        tickets = self.store.list_newer_than({})
        targets = [
            entry
            for ticket in tickets
            if ticket.scope.startswith('targets/')
            for entry in ticket.state
        ]
        leaving = self.book.list_excluded(targets)
        listed = self.list_addresses()
        told = self._told.get(id(link), (None, None, None, None))
        if told[0] != self.store.digest():
            view.tickets = [
                ttypes.TicketText(ticket.scope, ticket.text)
                for ticket in tickets
            ]
        if told[1] != hosts:
            view.hosts = [wire.write_record(record) for record in hosts]
        if told[2] != leaving:
            view.leaving = sorted(leaving)
        if told[3] != listed:
            view.listed = sorted(listed)
        self._told[id(link)] = (self.store.digest(), hosts, leaving, listed)
        return view


def main() -> None:
    """Run the program."""
    run_daemon(Role.AGENT, serve_agent)


async def serve_agent(process: Process, drain: trio.Event) -> None:
    """Read, spread and serve until told to end.

    Parameters
    ----------
    process : Process
        This run of the program.
    drain : trio.Event
        Set when it is to shut down.
    """
    reader = PlatformReader(process.settings)
    async with trio.open_nursery() as nursery:
        agent = Agent(process, nursery, drain)
        nursery.start_soon(agent.gossip)
        nursery.start_soon(_read_tickets, agent, reader)
        nursery.start_soon(_read_hosts, agent, reader)
        nursery.start_soon(
            functools.partial(
                wire.serve_links,
                process.settings.host.address,
                process.settings.ports.agent_peer,
                agent.accept,
                agent.is_listed,
            ),
        )
        await drain.wait()
        nursery.cancel_scope.cancel()


async def _read_tickets(agent: Agent, reader: PlatformReader) -> None:
    known: dict[str, int] = {}
    watched = None
    while True:
        try:
            listed = await reader.list_keys(watched)
            if listed is not None:
                watched = listed.version
                await _read_changed(agent, reader, known, listed.keys)
            agent.fresh_ms = agent.clock.now()
        except PlatformError as error:
            log_event(_log, 'platform_unreadable', error=error)
            watched = None
            await trio.sleep(to_seconds(READ_MS * (1 + random.random())))


async def _read_changed(
    agent: Agent,
    reader: PlatformReader,
    known: dict[str, int],
    keys: tuple[Any, ...],
) -> None:
    for item in keys:
        if known.get(item.key) == item.version:
            continue
        text = await reader.read_ticket(item.key)
        known[item.key] = item.version
        agent.offer_ticket(text, 'service')
    agent.tell_locals()


async def _read_hosts(agent: Agent, reader: PlatformReader) -> None:
    while True:
        try:
            if agent.offer_hosts(await reader.read_hosts()):
                agent.tell_locals()
        except PlatformError as error:
            log_event(_log, 'platform_unreadable', error=error)
        await trio.sleep(to_seconds(READ_MS))


def _make_record(process: Process) -> HostRecord:
    host = process.settings.host
    return HostRecord(
        host.name,
        host.address,
        host.availability_zone,
        process.started_ms,
    )


if __name__ == '__main__':
    main()
