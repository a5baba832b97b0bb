"""Gossip protocol between nodes over UDP.

Datagrams carry probes and their acknowledgements, news of hosts, and the
sender's position in reading the store. A node joins through a seed, which
sends it all hosts; later on both compare digests now and then.
"""

import itertools
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import HornbeamError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    AskToProbe,
    HostCondition,
    HostNews,
    SendProbe,
)
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._positions import PeerPositions
from hornbeampulley.node._questions import Questions
from hornbeampulley.node._reader_election import READERS
from hornbeampulley.node._relayed_items import read_position, write_position
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.wire import (
    decode_body,
    encode_frame,
    read_host_news,
    write_host_news,
)
from hornbeampulley.wire.generated.peer import ttypes

# Shortest time between two looks at what is due.
TICK_MS: Final = 100.0
ROUND_MS: Final = 300.0
# A tick that was planned for the end of an interval may come this much earlier.
ROUNDING_MS: Final = 0.1
# A changed position is sent in all rounds of this time, later with probes only.
REPEAT_POSITION_MS: Final = 1500.0
# Rounds sent at once after a change are at least this far apart.
PROMPT_MS: Final = 30.0
# Times after the start at which all hosts are compared, then an interval.
FIRST_SYNCS_MS: Final = (1000.0, 2000.0, 4000.0)
SYNC_MS: Final = 10_000.0
# All hosts start at the same time and learn of one another; until then, each looks
# at what is due in every tick.
SETTLE_MS: Final = 10_000.0
MAX_NEWS: Final = 24
MAX_SYNC_NEWS: Final = 60
# Relayed probes of which an acknowledgement is awaited at the same time.
MAX_RELAYED: Final = 100
MAX_DATAGRAM: Final = 65_000
_LENGTH_BYTES: Final = 4
_MALFORMED: Final = (
    HornbeamError,
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
)
_log = logging.getLogger(__name__)


class Gossip:
    """Exchanges datagrams with other nodes.

    Parameters
    ----------
    membership : Membership
        Known nodes and the failure detector.
    store_view : StoreView
        Its position is sent along.
    positions : PeerPositions
        Receives the positions of peers.
    endpoint : Endpoint
        Address and port of this node; all nodes use the same port.
    clock : Clock
        Monotonic clock.
    generator : random.Random
        Chooses seeds and peers.
    open_socket : callable, optional
        Opens a UDP socket with the interface of ``trio.socket``.

    Attributes
    ----------
    seeds : tuple of Endpoint
        Configured nodes, contacted even while they are not known as live.
    """

    def __init__(
        self,
        membership: Membership,
        store_view: StoreView,
        positions: PeerPositions,
        endpoint: Endpoint,
        clock: Clock,
        generator: random.Random,
        open_socket: Callable[[], Any] | None = None,
    ) -> None:
        self._open_socket = open_socket or _open_socket
        self.seeds: tuple[Endpoint, ...] = ()
        self._membership = membership
        self._store_view = store_view
        self._positions = positions
        self._questions = Questions(clock)
        self._endpoint = endpoint
        self._clock = clock
        self._generator = generator
        self._socket: trio.socket.SocketType | None = None
        self._changed = trio.Event()
        self._sent_position = Position()
        self._position_changed_ms = clock.now()
        self._started_ms = clock.now()
        self._round_ms = 0.0
        self._syncs_ms = iter(
            [clock.now() + delay_ms for delay_ms in FIRST_SYNCS_MS],
        )
        self._next_sync_ms = next(self._syncs_ms)
        self._is_joined = False
        self._helper = ''
        # Addresses that wait for an acknowledgement of a relayed probe.
        self._relayed: dict[int, tuple[str, int]] = {}
        self._relay_numbers = itertools.count(-1, -1)
        self._ticked_ms = 0.0
        self._ticked_changes = -1
        self._pause = trio.CancelScope()

    async def run(self) -> None:
        """Gossip until cancelled."""
        sock = self._open_socket()
        with sock:
            await sock.bind((self._endpoint.address, self._endpoint.port))
            self._socket = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_all)
                nursery.start_soon(self._announce_changes)
                await self._run_ticks()

    def announce(self) -> None:
        """Send a round soon, as something has changed."""
        if self._store_view.position != self._sent_position:
            self._sent_position = self._store_view.position
            self._position_changed_ms = self._clock.now()
            self._changed.set()
            self._replan()

    async def send_round(self) -> None:
        """Send the position and news of hosts to some peers."""
        self._round_ms = self._clock.now()
        for node in self._membership.pick_peers():
            await self._send(node.peers.address)
        self._replan()

    async def _announce_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await self.send_round()
            await trio.sleep(to_seconds(PROMPT_MS))

    async def _run_ticks(self) -> None:
        while True:
            await self._tick()
            with trio.CancelScope() as pause:
                self._pause = pause
                self._replan()
                await trio.sleep_forever()

    def _replan(self) -> None:
        """Wait until something is due, as known now."""
        due_ms = self._find_due()
        self._membership.prober.expect_tick(due_ms)
        left_ms = due_ms - self._clock.now()
        self._pause.deadline = trio.current_time() + to_seconds(left_ms)

    def _find_due(self) -> float:
        """Return when the next tick has something to do, in ms.

        Each change comes with a datagram or a call, after which this is found
        again; so a host that has nothing to tell sleeps until its next probe.
        """
        now_ms = self._clock.now()
        roster = self._membership.roster
        soonest_ms = self._ticked_ms + TICK_MS
        is_settling = now_ms < self._started_ms + SETTLE_MS
        if is_settling or roster.has_suspects:
            return soonest_ms
        if roster.changes != self._ticked_changes:
            return soonest_ms
        due_ms = min(
            self._membership.prober.plan(now_ms),
            self._positions.next_question_ms,
            self._next_sync_ms,
        )
        is_joining = not self._is_joined and self._list_contacts()
        if is_joining or self._has_to_tell(now_ms):
            due_ms = min(due_ms, self._round_ms + ROUND_MS)
        return max(due_ms, soonest_ms)

    async def _tick(self) -> None:
        now_ms = self._clock.now()
        self._ticked_ms = now_ms
        self._ticked_changes = self._membership.roster.changes
        for step in self._membership.detect_failures():
            await self._send_step(step)
        if self._positions.has_to_ask_reader():
            await self._ask_reader()
        if now_ms - self._round_ms + ROUNDING_MS >= ROUND_MS:
            if not self._is_joined:
                await self._join()
            if self._has_to_tell(now_ms):
                await self.send_round()
        if now_ms >= self._next_sync_ms:
            self._schedule_sync(now_ms)
            await self._sync()

    def _has_to_tell(self, now_ms: float) -> bool:
        changed_ms = now_ms - self._position_changed_ms
        return (
            changed_ms < REPEAT_POSITION_MS or self._membership.roster.has_news
        )

    async def _send_step(self, step: SendProbe | AskToProbe) -> None:
        hosts = {node.host: node for node in self._membership.live}
        if isinstance(step, SendProbe) and step.host in hosts:
            address = hosts[step.host].peers.address
            await self._probe(address, step.number)
        elif step.host in hosts and step.helper in hosts:
            await self._send(
                hosts[step.helper].peers.address,
                ttypes.ProbeRequest(
                    step.number, hosts[step.host].peers.address
                ),
            )

    async def _join(self) -> None:
        """Ask a seed for all hosts; it learns of this one by that.

        A host that has sent something is asked as well: the seeds may be down.
        """
        self._round_ms = self._clock.now()
        addresses = self._list_contacts()
        if addresses:
            await self._request_sync(self._generator.choice(addresses))

    def _list_contacts(self) -> list[str]:
        own = self._endpoint.address
        known = {self._helper, *(seed.address for seed in self.seeds)}
        return sorted(known - {own, ''})

    def _schedule_sync(self, now_ms: float) -> None:
        jitter_ms = SYNC_MS * self._generator.uniform(0.8, 1.2)
        self._next_sync_ms = next(self._syncs_ms, now_ms + jitter_ms)

    async def _sync(self) -> None:
        """Compare all hosts with a live one, and look for a lost one."""
        own = self._membership.incarnation
        others = [
            node.peers.address
            for node in self._membership.live
            if node.incarnation != own
        ]
        if others:
            await self._request_sync(self._generator.choice(others))
        await self._contact_lost_host()

    async def _contact_lost_host(self) -> None:
        dead = self._membership.roster.list_records(HostCondition.DEAD)
        if dead:
            record = self._generator.choice(dead)
            # The host refutes it if it is alive.
            news = HostNews(record, HostCondition.DEAD)
            await self._request_sync(record.address, news)
            return
        find = self._membership.find_by_address
        lost = [seed.address for seed in self.seeds if not find(seed.address)]
        if lost:
            await self._request_sync(self._generator.choice(lost))

    async def _request_sync(self, address: str, *news: HostNews) -> None:
        roster = self._membership.roster
        own = HostNews(roster.own)
        await self._send(
            address,
            write_host_news((own, *news)),
            ttypes.SyncRequest(roster.compute_digest()),
        )

    async def _receive_all(self) -> None:
        while True:
            try:
                received, sender = await self._socket.recvfrom(MAX_DATAGRAM)
            except OSError as error:
                # The receiver of an earlier datagram was unreachable, which
                # the system reports on the next call.
                log_event(
                    _log,
                    'datagram_failed',
                    severity=logging.DEBUG,
                    error=error,
                )
                continue
            await self._handle_datagram(received, sender[0])

    async def _handle_datagram(self, received: bytes, address: str) -> None:
        try:
            frame = decode_body(received[_LENGTH_BYTES:])
            self._membership.record_heard()
            self._helper = address
            asked_ms = self._find_question(frame.messages)
            for message in frame.messages:
                await self._handle_message(message, address, asked_ms)
        except _MALFORMED as error:
            log_event(
                _log,
                'datagram_refused',
                severity=logging.WARNING,
                sender=address,
                error=repr(error),
            )
        self._replan()

    def _find_question(self, messages: Iterable[Any]) -> float | None:
        """Return when the question was sent that a datagram answers, in ms."""
        for message in messages:
            if isinstance(message, ttypes.ProbeAck):
                return self._questions.pop(message.number)
        return None

    async def _handle_message(
        self, message: Any, address: str, asked_ms: float | None
    ) -> None:
        match message:
            case ttypes.MembershipNews():
                self._merge(message)
            case ttypes.SyncRequest():
                await self._answer_sync(message, address)
            case ttypes.Probe():
                await self._send(address, ttypes.ProbeAck(message.number))
            case ttypes.ProbeAck():
                await self._handle_ack(message.number)
            case ttypes.ProbeRequest():
                await self._relay_probe(message, address)
            case ttypes.Position():
                self._positions.record(
                    address, read_position(message), message.age_ms, asked_ms
                )

    async def _ask_reader(self) -> None:
        readers = self._membership.list_readers(READERS)
        own = self._membership.incarnation
        if readers and all(node.incarnation != own for node in readers):
            address = self._generator.choice(readers).peers.address
            await self._probe(address, next(self._relay_numbers))

    async def _probe(self, address: str, number: int) -> None:
        self._questions.record(number)
        await self._send(address, ttypes.Probe(number))

    def _merge(self, message: ttypes.MembershipNews) -> None:
        is_sync = bool(message.is_sync)
        self._is_joined = self._is_joined or is_sync
        self._membership.merge(
            read_host_news(message), is_passed_on=not is_sync
        )

    async def _answer_sync(
        self, message: ttypes.SyncRequest, address: str
    ) -> None:
        roster = self._membership.roster
        news = roster.list_news()
        if message.digest == roster.compute_digest():
            news = (HostNews(roster.own),)
        for start in range(0, len(news), MAX_SYNC_NEWS):
            answer = write_host_news(news[start : start + MAX_SYNC_NEWS])
            answer.is_sync = True
            await self._send(address, answer)

    async def _handle_ack(self, number: int) -> None:
        relayed = self._relayed.pop(number, None)
        if relayed is None:
            self._membership.prober.acknowledge(number)
            return
        asker, asked_number = relayed
        await self._send(asker, ttypes.ProbeAck(asked_number))

    async def _relay_probe(
        self, message: ttypes.ProbeRequest, address: str
    ) -> None:
        number = next(self._relay_numbers)
        self._relayed[number] = (address, message.number)
        if len(self._relayed) > MAX_RELAYED:
            self._relayed.pop(next(iter(self._relayed)))
        await self._probe(message.address, number)

    async def _send(self, address: str, *messages: Any) -> None:
        news = self._membership.roster.pick_news(MAX_NEWS)
        extra = (write_host_news(news),) if news else ()
        frame = encode_frame((*messages, *extra, self._make_position()))
        try:
            await self._socket.sendto(frame, (address, self._endpoint.port))
        except OSError as error:
            log_event(
                _log,
                'datagram_failed',
                severity=logging.DEBUG,
                receiver=address,
                error=error,
            )

    def _make_position(self) -> ttypes.Position:
        return write_position(
            self._store_view.position, self._store_view.freshness.age_ms
        )


def _open_socket() -> trio.socket.SocketType:
    return trio.socket.socket(type=trio.socket.SOCK_DGRAM)
