"""Runs the ticket gossip: sends messages to peers and reads the service."""

import logging
import random
from collections.abc import Callable
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import FaultsError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    SCOPE_HOSTS,
    Applied,
    GossipEvent,
    GossipOutput,
    GossipSettings,
    GossipTick,
    Peer,
    Read,
    ReadAnswer,
    ReadFailed,
    ReadUnchanged,
    Received,
    Report,
    Send,
    SetPeers,
    Stale,
    Stamp,
    TicketGossip,
    TicketStore,
    get_stamp,
    parse_document,
)
from hornbeampulley.programs._platform import PlatformError, PlatformReader
from hornbeampulley.programs._process import Process

# Pause before each read of the host list.
HOSTS_INTERVAL_MS: Final = 1000.0
_log = logging.getLogger(__name__)


class TicketGossipRunner:
    """Executes the outputs of the ticket gossip.

    Parameters
    ----------
    process : Process
        The running agent process.
    nursery : trio.Nursery
        Nursery that runs the reads.
    send : callable
        Sends a thrift struct to the agent at an address.
    on_change : callable
        Called after a ticket or a host list has been applied.

    Attributes
    ----------
    store : TicketStore
        Tickets and host list in force.
    reader : PlatformReader
        Client of the configuration service.
    """

    def __init__(
        self,
        process: Process,
        nursery: trio.Nursery,
        send: Callable[[str, Any], None],
        on_change: Callable[[], None],
    ) -> None:
        self.store = TicketStore()
        self.reader = PlatformReader(process.settings)
        self._nursery = nursery
        self._send = send
        self._on_change = on_change
        self._clock = Clock(trio.current_time)
        self._settings = GossipSettings()
        host = process.settings.host
        self._ticket_gossip = TicketGossip(
            Peer(host.address, host.availability_zone, host.region),
            self.store,
            self._settings,
            random.Random(process.incarnation),
            self._clock.now(),
        )
        self._versions: dict[str, tuple[int, Stamp]] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the tickets may be served to other processes."""
        return self._ticket_gossip.is_ready

    def list_ages(self) -> dict[str, float]:
        """List the ages of the tickets in force.

        Returns
        -------
        dict
            Maps scopes to the time since the configuration service confirmed
            the ticket, in ms.
        """
        now_ms = self._clock.now()
        return {
            ticket.scope: self._ticket_gossip.get_confirmed_age_ms(
                ticket.scope, now_ms
            )
            for ticket in self.store.list_tickets()
        }

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replace the list of known agents.

        Parameters
        ----------
        peers : tuple of Peer
            Known agents, named by their addresses.
        """
        self._handle(SetPeers(peers))

    def receive(self, address: str, message: Any) -> None:
        """Handle a message of a peer.

        Parameters
        ----------
        address : str
            Address of the peer's host.
        message : thrift struct
            Message of the peer; ignored if it is not about tickets.

        Raises
        ------
        WireError
            If the message is malformed.
        """
        converted = wire.read_peer_message(message)
        if converted is not None:
            self._handle(Received(address, converted))

    async def run(self) -> None:
        """Send ticks to the gossip periodically, without end."""
        while True:
            self._handle(GossipTick())
            await trio.sleep(to_seconds(self._settings.tick_ms))

    def _handle(self, event: GossipEvent) -> None:
        for output in self._ticket_gossip.handle(event, self._clock.now()):
            self._execute(output)

    def _execute(self, output: GossipOutput) -> None:
        match output:
            case Send():
                message = wire.write_peer_message(output.message)
                self._send(output.peer, message)
            case Read():
                self._nursery.start_soon(self._read, output)
            case Report():
                self._report(output)

    def _report(self, report: Report) -> None:
        outcome = report.outcome
        if isinstance(outcome, Applied):
            ticket = outcome.ticket
            log_event(
                _log,
                'ticket_applied',
                scope=ticket.scope,
                number=ticket.number,
                source=outcome.source,
            )
            self._on_change()
        else:
            name = type(outcome).__name__.lower()
            severity = logging.WARNING
            if isinstance(outcome, Stale):
                severity = logging.DEBUG
            log_event(
                _log,
                f'ticket_{name}',
                severity=severity,
                detail=outcome,
            )

    async def _read(self, read: Read) -> None:
        as_of_ms = self._clock.now()
        try:
            event = await self._read_scope(read, as_of_ms)
        except PlatformError as error:
            log_event(
                _log,
                'platform_unreadable',
                severity=logging.DEBUG,
                scope=read.scope,
                error=error,
            )
            event = ReadFailed(read.scope)
        self._handle(event)

    async def _read_scope(self, read: Read, as_of_ms: float) -> GossipEvent:
        if read.scope == SCOPE_HOSTS:
            return await self._read_hosts(as_of_ms)
        watched = self._find_watched(read)
        answer = await self.reader.read_ticket(
            read.scope,
            watched,
            read.watch_ms,
        )
        if answer is None:
            return ReadUnchanged(read.scope, as_of_ms)
        self._store_version(read.scope, answer.version, answer.text)
        if watched is not None:
            as_of_ms = self._clock.now()
        return ReadAnswer(read.scope, answer.text, as_of_ms)

    async def _read_hosts(self, as_of_ms: float) -> GossipEvent:
        # The host list cannot be watched for changes, so it is polled.
        await trio.sleep(to_seconds(HOSTS_INTERVAL_MS))
        text = await self.reader.read_hosts()
        return ReadAnswer(SCOPE_HOSTS, text, as_of_ms)

    def _find_watched(self, read: Read) -> int | None:
        if not read.watch_ms:
            return None
        if read.held is None:
            return 0
        version, stamp = self._versions.get(read.scope, (0, None))
        return version if stamp == read.held else None

    def _store_version(self, scope: str, version: int, text: bytes) -> None:
        held = self.store.find(scope)
        if held is not None and held.text == text:
            self._versions[scope] = (version, get_stamp(held))
            return
        try:
            self._versions[scope] = (version, get_stamp(parse_document(text)))
        except FaultsError:
            self._versions.pop(scope, None)
