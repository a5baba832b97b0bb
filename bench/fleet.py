"""Agents on a virtual network, in virtual time, before a fake service."""

import dataclasses
import heapq
import itertools
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from hornbeampulley.errors import FaultsError
from hornbeampulley.membership import (
    Applied,
    GossipEvent,
    GossipSettings,
    GossipTick,
    Peer,
    PeerMessage,
    Read,
    ReadAnswer,
    ReadFailed,
    ReadUnchanged,
    Received,
    Report,
    Send,
    SetPeers,
    Stamp,
    TicketBody,
    TicketGossip,
    TicketNotice,
    TicketPull,
    TicketStore,
    TicketSummary,
    get_stamp,
    parse_document,
)

NEAR_MS: Final = 1.0
FAR_MS: Final = 80.0
CALL_MS: Final = 3.0
MESSAGE_BYTES: Final = 100
STAMP_BYTES: Final = 36
AGE_BYTES: Final = 2
SCOPE_BYTES: Final = 16
PARSE_MS_PER_BYTE: Final = 430 / 1_048_576
REGIONS: Final = 12
ZONES: Final = 46
SMALL_FLEET: Final = 8


def write_ticket(number: int, scope: str = 'tiers', rank: int = 0) -> bytes:
    """Return the text of a small ticket."""
    entries: dict[str, dict[str, object]] = {
        'tiers': {'name': 'gold', 'rank': rank},
        'workspaces': {'name': 'shop'},
        'services': {'name': 'tag', 'pool': 'pool-0'},
        'rules': {'workspace': '*', 'service': '*', 'tier': 'gold'},
    }
    entry = entries.get(scope, make_target(0))
    document = {'ticket': number, 'scope': scope, 'state': [entry]}
    return json.dumps(document).encode()


def make_target(index: int) -> dict[str, object]:
    """Return one target as a ticket names it."""
    low = index % 250 + 1
    return {
        'name': f'm{index}',
        'address': f'10.0.{index // 250}.{low}',
        'port': 8000,
        'availability_zone': f'zone-{index % ZONES}',
        'model': 'grinder-2',
    }


def write_hosts(version: int) -> bytes:
    """Return the text of a small host list."""
    host = {
        'name': 'h1',
        'address': '10.0.0.1',
        'availability_zone': 'zone-1',
        'role': 'target',
    }
    return json.dumps({'version': version, 'hosts': [host]}).encode()


def make_peers(count: int) -> tuple[Peer, ...]:
    """Return agents: 8 in one region with 4 zones, more in 12 with 46."""
    regions = 1 if count == SMALL_FLEET else REGIONS
    zones = 4 if count == SMALL_FLEET else ZONES
    return tuple(
        Peer(
            f'agent-{index}',
            f'zone-{index % zones}',
            f'region-{index % zones % regions}',
        )
        for index in range(count)
    )


class FakeService:
    """The platform's configuration service."""

    def __init__(self) -> None:
        self.texts: dict[str, bytes] = {}
        self.stamps: dict[str, Stamp | None] = {}
        self.is_up = True
        self.calls: list[float] = []

    def write(self, text: bytes, scope: str) -> None:
        """Replace the value of a scope."""
        self.texts[scope] = text
        try:
            self.stamps[scope] = get_stamp(parse_document(text))
        except FaultsError:
            self.stamps[scope] = None


@dataclasses.dataclass(slots=True)
class Agent:
    """One agent and what it has used."""

    peer: Peer
    store: TicketStore
    ticket_gossip: TicketGossip
    is_alive: bool = True
    busy_until_ms: float = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    bodies: Counter = dataclasses.field(default_factory=Counter)


class Fleet:
    """Runs agents in virtual time.

    Parameters
    ----------
    count : int
        Number of agents.
    settings : GossipSettings
        Settings of each.
    seed : int
        Seeds all random choices.
    texts : tuple of bytes
        Tickets that the service and each agent hold at first.
    """

    def __init__(
        self,
        count: int,
        settings: GossipSettings,
        seed: int,
        texts: tuple[bytes, ...] = (),
    ) -> None:
        self.generator = random.Random(seed)
        self.settings = settings
        self.service = FakeService()
        self.now_ms = 0.0
        self.handled_seconds = 0.0
        self.reports: list[tuple[str, Report]] = []
        self.applied_ms: dict[tuple[str, str, int], float] = {}
        self.is_cut: Callable[[Peer, Peer], bool] = lambda first, second: False
        self.loss = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.peers = make_peers(count)
        self.agents: dict[str, Agent] = {}
        for peer in self.peers:
            self.start(peer, texts)
        for text in texts:
            self.service.write(text, parse_document(text).scope)

    @property
    def living(self) -> list[Agent]:
        """The agents that run."""
        return [agent for agent in self.agents.values() if agent.is_alive]

    def start(self, peer: Peer, texts: tuple[bytes, ...] = ()) -> Agent:
        """Start an agent, or start it anew with nothing remembered."""
        store = TicketStore()
        for text in texts:
            store.offer(text, 'service', self.now_ms)
        generator = random.Random(self.generator.random())
        ticket_gossip = TicketGossip(
            peer,
            store,
            self.settings,
            generator,
            self.now_ms,
        )
        agent = Agent(peer, store, ticket_gossip)
        self.agents[peer.name] = agent
        self.give(agent, SetPeers(self.peers))
        first_ms = generator.random() * self.settings.tick_ms
        self.schedule(first_ms, lambda: self._tick(agent))
        return agent

    def kill(self, name: str) -> None:
        """End an agent without notice."""
        self.agents[name].is_alive = False

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call an action later."""
        moment_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (moment_ms, next(self._order), action))

    def run_until(
        self,
        moment_ms: float,
        is_done: Callable[[], bool] | None = None,
    ) -> None:
        """Let time pass, until a moment or a condition."""
        while self._queue and self._queue[0][0] <= moment_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
            if is_done and is_done():
                return
        self.now_ms = moment_ms

    def give(self, agent: Agent, event: GossipEvent) -> None:
        """Let an agent handle an event and carry out what it returns."""
        if not agent.is_alive:
            return
        started = time.perf_counter()
        outputs = agent.ticket_gossip.handle(event, self.now_ms)
        self.handled_seconds += time.perf_counter() - started
        for output in outputs:
            if isinstance(output, Send):
                self._send(agent, output)
            elif isinstance(output, Read):
                self._read(agent, output)
            else:
                self._note(agent, output)

    def holds(self, scope: str, number: int) -> bool:
        """Tell whether all living agents hold a ticket or a newer one."""
        return all(
            (ticket := agent.store.find(scope)) is not None
            and ticket.number >= number
            for agent in self.living
        )

    def _tick(self, agent: Agent) -> None:
        if agent.is_alive:
            self.give(agent, GossipTick())
            self.schedule(self.settings.tick_ms, lambda: self._tick(agent))

    def _note(self, agent: Agent, report: Report) -> None:
        self.reports.append((agent.peer.name, report))
        if isinstance(report.outcome, Applied):
            ticket = report.outcome.ticket
            key = (agent.peer.name, ticket.scope, ticket.number)
            self.applied_ms[key] = self.now_ms
            agent.busy_until_ms = (
                self.now_ms + len(ticket.text) * PARSE_MS_PER_BYTE
            )

    def _send(self, agent: Agent, output: Send) -> None:
        size = estimate_bytes(output.message)
        agent.bytes_sent += size
        receiver = self.agents[output.peer]
        is_near = receiver.peer.region == agent.peer.region
        delay_ms = NEAR_MS if is_near else FAR_MS
        delay_ms += max(agent.busy_until_ms - self.now_ms, 0)
        if self.is_cut(agent.peer, receiver.peer):
            return
        if self.generator.random() < self.loss:
            return
        event = Received(agent.peer.name, output.message)
        self.schedule(delay_ms, lambda: self._deliver(receiver, event, size))

    def _deliver(self, agent: Agent, event: Received, size: int) -> None:
        if not agent.is_alive:
            return
        wait_ms = agent.busy_until_ms - self.now_ms
        if wait_ms > 0:
            self.schedule(wait_ms, lambda: self._deliver(agent, event, size))
            return
        agent.bytes_received += size
        if isinstance(event.message, TicketBody):
            agent.bodies[event.message.stamp] += 1
        self.give(agent, event)

    def _read(self, agent: Agent, read: Read) -> None:
        issued_ms = self.now_ms
        self.service.calls.append(issued_ms)
        until_ms = issued_ms + read.watch_ms
        self.schedule(
            CALL_MS,
            lambda: self._answer(agent, read, issued_ms, until_ms),
        )

    def _answer(
        self,
        agent: Agent,
        read: Read,
        issued_ms: float,
        until_ms: float,
    ) -> None:
        service = self.service
        if not service.is_up or read.scope not in service.texts:
            self.give(agent, ReadFailed(read.scope))
            return
        is_same = service.stamps[read.scope] == read.held
        if read.watch_ms and is_same:
            if self.now_ms >= until_ms:
                event = ReadUnchanged(read.scope, self.now_ms - CALL_MS)
                self.give(agent, event)
                return
            self.schedule(
                min(50.0, max(until_ms - self.now_ms, 1)),
                lambda: self._answer(agent, read, issued_ms, until_ms),
            )
            return
        text = service.texts[read.scope]
        self.give(agent, ReadAnswer(read.scope, text, issued_ms))


def estimate_bytes(message: PeerMessage) -> int:
    """Estimate the size of a message with its headers on the wire."""
    match message:
        case TicketNotice():
            ages = AGE_BYTES * len(message.ages_ms)
            return MESSAGE_BYTES + ages + STAMP_BYTES * len(message.changed)
        case TicketSummary():
            return MESSAGE_BYTES + STAMP_BYTES * len(message.stamps)
        case TicketPull():
            return MESSAGE_BYTES + SCOPE_BYTES * len(message.scopes)
        case TicketBody():
            return MESSAGE_BYTES + STAMP_BYTES + len(message.content)
