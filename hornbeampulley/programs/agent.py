"""Agent of a host: distributes the configuration and the host directory."""

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
from hornbeampulley.programs._ticket_spread import TicketGossipRunner
from hornbeampulley.wire.generated.peer import ttypes

# Interval between renewals of the record of this host.
HEARTBEAT_INTERVAL_MS: Final = 500.0
# Largest number of peers that get a directory update in each interval.
UPDATE_FAN_OUT: Final = 3
_log = logging.getLogger(__name__)


class Agent:
    """The agent of a host.

    It keeps the change tickets and the directory of hosts in step with the
    agents of other hosts, and sends both to the processes of its own host.

    Parameters
    ----------
    process : Process
        The running agent process.
    nursery : trio.Nursery
        Nursery that runs the tasks of the agent.
    drain : trio.Event
        Event that starts the shutdown.

    Attributes
    ----------
    ticket_gossip : TicketGossipRunner
        Holds the tickets and the host list in force.
    directory : Directory
        Directory of live hosts.
    """

    def __init__(
        self,
        process: Process,
        nursery: trio.Nursery,
        drain: trio.Event,
    ) -> None:
        self.clock = Clock(trio.current_time)
        self.directory = Directory(_make_record(process), self.clock.now())
        self.ticket_gossip = TicketGossipRunner(
            process,
            nursery,
            self._send,
            self._apply_tickets,
        )
        self._process = process
        self._nursery = nursery
        self._subject = Subject(process, drain, self._describe)
        self._host_tracker = HostTracker()
        self._locals = LocalProcesses()
        self._peers = PeerLinks(process, nursery, self._handle)
        self._wanted_keys: set[int] = set()
        self._update_recipients: dict[str, None] = {}
        self._excluded_targets: frozenset[str] = frozenset()

    def is_listed(self, address: str) -> bool:
        """Return whether a peer may connect.

        Parameters
        ----------
        address : str
            IP address of the peer.

        Returns
        -------
        bool
            True for this host, seeds, entry hosts and live hosts.
        """
        return address in self._list_addresses()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a link that a peer or a process of this host has opened.

        Parameters
        ----------
        stream : trio.SocketStream
            Newly accepted connection.
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
            self._remove_link(link)

    async def run(self) -> None:
        """Renew the host record and send updates periodically, without end."""
        while True:
            self._renew_record()
            self.ticket_gossip.set_peers(self._list_peers())
            self._peers.close_idle()
            self._send_directory_update()
            self._send_local_views()
            measure_tickets(self._process.metrics, self._make_state())
            await trio.sleep(to_seconds(HEARTBEAT_INTERVAL_MS))

    def _handle(self, link: wire.Link, message: Any) -> None:
        match message:
            case ttypes.Hello():
                self._handle_hello(link)
            case ttypes.Heartbeat():
                self._locals.record_heartbeat(link, message)
            case ttypes.DirectoryNews():
                self._merge_directory_update(link, message)
            case ttypes.Query():
                link.send(answer_query(self._subject, message))
            case _:
                self.ticket_gossip.receive(link.peer.address, message)

    def _handle_hello(self, link: wire.Link) -> None:
        role = Role(link.peer.role)
        if role is Role.AGENT:
            self._peers.add(link)
        elif role is not Role.OPERATOR:
            self._locals.add(link).send_view(self._make_view())
            self._renew_record()
            number = link.peer.process_number or 0
            incarnation = link.peer.incarnation
            self._nursery.start_soon(self._watch_process, incarnation, number)

    async def _watch_process(self, incarnation: str, number: int) -> None:
        if await self._locals.wait_exit(incarnation, number):
            self._renew_record()
            self._send_directory_update()
            self._send_local_views()

    def _remove_link(self, link: wire.Link) -> None:
        if self._locals.remove(link):
            self._renew_record()
            self._send_directory_update()
        self._peers.remove(link)

    def _renew_record(self) -> None:
        self.directory.renew_own_record(
            self._locals.list_members(),
            self.clock.now(),
            self._locals.list_ended(),
        )

    def _send(self, address: str, message: Any) -> None:
        self._update_recipients[address] = None
        self._peers.send(address, message)

    def _send_directory_update(self) -> None:
        update = self.directory.build_update(
            self._wanted_keys, self.clock.now()
        )
        message = wire.write_directory_update(
            update, frozenset(self._wanted_keys)
        )
        self._wanted_keys.clear()
        recipients = tuple(self._update_recipients)[-UPDATE_FAN_OUT:]
        for address in recipients:
            self._peers.send(address, message)
        self._update_recipients = dict.fromkeys(recipients)

    def _merge_directory_update(
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
                self._wanted_keys.add(pulse.key)
        if message.wanted:
            requested = self.directory.build_update(message.wanted, now_ms)
            link.send(wire.write_directory_update(requested, frozenset()))
        if is_newcomer:
            full = self.directory.build_full_update(now_ms)
            link.send(wire.write_directory_update(full, frozenset()))
        for record in changed:
            log_event(_log, 'host_changed', subject=record.host)
        if changed:
            self._send_local_views()

    def _apply_tickets(self) -> None:
        hosts = self.ticket_gossip.store.find(SCOPE_HOSTS)
        if hosts is not None:
            self._host_tracker.merge(HostList(hosts.number, hosts.state))
        configuration = build_configuration(
            self.ticket_gossip.store.list_tickets()
        )
        targets = configuration.targets.values()
        self._excluded_targets = self._host_tracker.list_excluded(targets)
        self._send_local_views()

    def _send_local_views(self) -> None:
        self._locals.send_view(self._make_view())

    def _make_view(self) -> LocalView:
        tickets = tuple(
            ticket
            for ticket in self.ticket_gossip.store.list_tickets()
            if ticket.scope != SCOPE_HOSTS
        )
        is_ready = self.ticket_gossip.is_ready
        return LocalView(
            tickets,
            self.directory.list_live(self.clock.now()),
            self._excluded_targets,
            frozenset(self._list_addresses()),
            find_oldest_age(self.ticket_gossip.list_ages().values()),
            is_ready,
        )

    def _describe(self) -> dict[str, Any]:
        return describe_agent(self._make_state())

    def _make_state(self) -> AgentState:
        return AgentState(
            self.ticket_gossip.store,
            self.ticket_gossip.list_ages(),
            self._locals.list_members(),
            self.directory.list_live(self.clock.now()),
        )

    def _list_addresses(self) -> set[str]:
        addresses = {peer.name for peer in self._list_peers()}
        addresses.add(self._process.settings.host.address)
        return addresses

    def _list_peers(self) -> tuple[Peer, ...]:
        peers = {
            seed: Peer(seed, '') for seed in self._process.settings.peers.seeds
        }
        for host in self._host_tracker.current.hosts:
            if host.role is HostRole.ENTRY:
                peers[host.address] = Peer(host.address, host.availability_zone)
        for record in self.directory.list_live(self.clock.now()):
            peers[record.address] = Peer(
                record.address,
                record.availability_zone,
                record.region,
            )
        return tuple(peers.values())


def main() -> None:
    """Run the agent daemon."""
    run_daemon(Role.AGENT, serve_agent)


async def serve_agent(process: Process, drain: trio.Event) -> None:
    """Run an agent until it is requested to shut down.

    Parameters
    ----------
    process : Process
        The running agent process.
    drain : trio.Event
        Event that starts the shutdown.
    """
    async with trio.open_nursery() as nursery:
        agent = Agent(process, nursery, drain)
        nursery.start_soon(agent.run)
        nursery.start_soon(agent.ticket_gossip.run)
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
