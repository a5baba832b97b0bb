"""The agent: reads the configuration and the hosts and spreads both."""

import logging
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    SCOPE_HOSTS,
    Directory,
    HostList,
    HostRecord,
    HostRole,
    HostTracker,
    Peer,
    Role,
    build_configuration,
)
from hornbeampulley.programs._agent_reports import (
    AgentState,
    describe_agent,
    measure_tickets,
)
from hornbeampulley.programs._locals import (
    LocalProcesses,
    LocalView,
    find_oldest_age,
)
from hornbeampulley.programs._peer_links import PeerLinks
from hornbeampulley.programs._process import Process, run_daemon
from hornbeampulley.programs._queries import Subject, answer_query
from hornbeampulley.programs._ticket_spread import TicketSpread
from hornbeampulley.wire.generated.peer import ttypes

BEAT_MS: Final = 500.0
NEWS_FAN_OUT: Final = 3
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

    Attributes
    ----------
    spread : TicketSpread
        Tickets and host list in force.
    directory : Directory
        Hosts that live.
    """

    def __init__(
        self,
        process: Process,
        nursery: trio.Nursery,
        drain: trio.Event,
    ) -> None:
        self.clock = Clock(trio.current_time)
        self.directory = Directory(_make_record(process), self.clock.now())
        self.spread = TicketSpread(
            process,
            nursery,
            self._send,
            self._apply,
        )
        self._process = process
        self._nursery = nursery
        self._subject = Subject(process, drain, self._describe)
        self._host_tracker = HostTracker()
        self._locals = LocalProcesses()
        self._peers = PeerLinks(process, nursery, self._handle)
        self._wanted: set[int] = set()
        self._news_to: dict[str, None] = {}
        self._leaving: frozenset[str] = frozenset()

    def is_listed(self, address: str) -> bool:
        """Tell whether a peer may connect.

        Parameters
        ----------
        address : str
            IP address of the peer.

        Returns
        -------
        bool
            True for this host, seeds and entry hosts.
        """
        return address in self._list_addresses()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a link that a peer or a process of this host has opened.

        Parameters
        ----------
        stream : trio.SocketStream
            Just accepted.
        """
        link = wire.Link(
            stream,
            self._process.make_hello(self._process.settings.ports.agent_peer),
            hybrid=self._process.hybrid,
            timing=wire.SLOW_TIMING,
        )
        try:
            await link.run(self._handle)
        finally:
            self._drop(link)

    async def run(self) -> None:
        """Beat for ever, and tell peers and the processes of this host."""
        while True:
            self._beat()
            self.spread.set_peers(self._list_peers())
            self._peers.close_idle()
            self._tell_peers()
            self._tell_locals()
            measure_tickets(self._process.metrics, self._form_state())
            await trio.sleep(to_seconds(BEAT_MS))

    def _handle(self, link: wire.Link, message: Any) -> None:
        match message:
            case ttypes.Hello():
                self._greet(link)
            case ttypes.Heartbeat():
                self._locals.hear(link, message)
            case ttypes.DirectoryNews():
                self._take_directory_update(link, message)
            case ttypes.Query():
                link.send(answer_query(self._subject, message))
            case _:
                self.spread.receive(link.peer.address, message)

    def _greet(self, link: wire.Link) -> None:
        role = Role(link.peer.role)
        if role is Role.AGENT:
            self._peers.add(link)
        elif role is not Role.OPERATOR:
            self._locals.add(link).tell(self._form_view())
            self._beat()
            number = link.peer.process_number or 0
            incarnation = link.peer.incarnation
            self._nursery.start_soon(self._watch, incarnation, number)

    async def _watch(self, incarnation: str, number: int) -> None:
        if await self._locals.wait_end(incarnation, number):
            self._beat()
            self._tell_peers()
            self._tell_locals()

    def _drop(self, link: wire.Link) -> None:
        if self._locals.remove(link):
            self._beat()
            self._tell_peers()
        self._peers.remove(link)

    def _beat(self) -> None:
        self.directory.renew_own_record(
            self._locals.list_members(),
            self.clock.now(),
            self._locals.list_ended(),
        )

    def _send(self, address: str, message: Any) -> None:
        self._news_to[address] = None
        self._peers.send(address, message)

    def _tell_peers(self) -> None:
        update = self.directory.build_update(self._wanted, self.clock.now())
        message = wire.write_directory_update(update, frozenset(self._wanted))
        self._wanted.clear()
        told = tuple(self._news_to)[-NEWS_FAN_OUT:]
        for address in told:
            self._peers.send(address, message)
        self._news_to = dict.fromkeys(told)

    def _take_directory_update(
        self,
        link: wire.Link,
        message: ttypes.DirectoryNews,
    ) -> None:
        now_ms = self.clock.now()
        update = wire.read_directory_update(message)
        is_newcomer = not self.directory.has_host(link.peer.host)
        changed = [
            record
            for record in update.records
            if self.directory.merge(record, now_ms)
        ]
        for pulse in update.pulses:
            if not self.directory.merge_pulse(pulse, now_ms):
                self._wanted.add(pulse.key)
        if message.wanted:
            asked = self.directory.build_update(message.wanted, now_ms)
            link.send(wire.write_directory_update(asked, frozenset()))
        if is_newcomer:
            whole = self.directory.build_full_update(now_ms)
            link.send(wire.write_directory_update(whole, frozenset()))
        for record in changed:
            log_event(_log, 'host_changed', subject=record.host)
        if changed:
            self._tell_locals()

    def _apply(self) -> None:
        hosts = self.spread.store.find(SCOPE_HOSTS)
        if hosts is not None:
            self._host_tracker.merge(HostList(hosts.number, hosts.state))
        configuration = build_configuration(self.spread.store.list_tickets())
        targets = configuration.targets.values()
        self._leaving = self._host_tracker.list_excluded(targets)
        self._tell_locals()

    def _tell_locals(self) -> None:
        self._locals.tell(self._form_view())

    def _form_view(self) -> LocalView:
        tickets = tuple(
            ticket
            for ticket in self.spread.store.list_tickets()
            if ticket.scope != SCOPE_HOSTS
        )
        is_ready = self.spread.is_ready
        return LocalView(
            tickets,
            self.directory.list_live(self.clock.now()),
            self._leaving,
            frozenset(self._list_addresses()),
            find_oldest_age(self.spread.list_ages().values()),
            is_ready,
        )

    def _describe(self) -> dict[str, Any]:
        return describe_agent(self._form_state())

    def _form_state(self) -> AgentState:
        return AgentState(
            self.spread.store,
            self.spread.list_ages(),
            self._locals.list_members(),
            self.directory.list_live(self.clock.now()),
        )

    def _list_addresses(self) -> set[str]:
        addresses = {peer.name for peer in self._list_peers()}
        addresses.add(self._process.settings.host.address)
        return addresses

    def _list_peers(self) -> tuple[Peer, ...]:
        known = {
            seed: Peer(seed, '') for seed in self._process.settings.peers.seeds
        }
        for host in self._host_tracker.current.hosts:
            if host.role is HostRole.ENTRY:
                known[host.address] = Peer(host.address, host.availability_zone)
        for record in self.directory.list_live(self.clock.now()):
            known[record.address] = Peer(
                record.address,
                record.availability_zone,
                record.region,
            )
        return tuple(known.values())


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
    async with trio.open_nursery() as nursery:
        agent = Agent(process, nursery, drain)
        nursery.start_soon(agent.run)
        nursery.start_soon(agent.spread.run)
        nursery.start_soon(
            wire.serve_links,
            process.settings.host.address,
            process.settings.ports.agent_peer,
            agent.accept,
            agent.is_listed,
        )
        await drain.wait()
        nursery.cancel_scope.cancel()


def _make_record(process: Process) -> HostRecord:
    host = process.settings.host
    return HostRecord(
        host.name,
        host.address,
        host.availability_zone,
        process.started_ms,
        region=host.region,
    )


if __name__ == '__main__':
    main()
