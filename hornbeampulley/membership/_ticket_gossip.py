"""Gossip of tickets and host lists between agents.

Each agent sends to a few peers per round, not to all of them.
"""

import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final

from hornbeampulley.membership._assembly import list_scopes
from hornbeampulley.membership._comparisons import ComparisonTable
from hornbeampulley.membership._contents import ContentCache, decompress
from hornbeampulley.membership._freshness import Freshness
from hornbeampulley.membership._gossip_settings import GossipSettings
from hornbeampulley.membership._joining import JoinTracker
from hornbeampulley.membership._messages import (
    GossipEvent,
    GossipOutput,
    GossipTick,
    PeerMessage,
    Read,
    ReadAnswer,
    ReadFailed,
    ReadUnchanged,
    Received,
    Report,
    Send,
    SetPeers,
    TicketBody,
    TicketNotice,
    TicketPull,
    TicketSummary,
)
from hornbeampulley.membership._outcomes import (
    Applied,
    Conflict,
    Outcome,
    Rejected,
    Same,
    Stamp,
    get_stamp,
)
from hornbeampulley.membership._peers import Peer, PeerPicker, choose_readers
from hornbeampulley.membership._pulls import PullTable
from hornbeampulley.membership._reading import ReadPlanner
from hornbeampulley.membership._store import TicketStore

_SERVICE: Final = 'service'
_Outputs = Iterator[GossipOutput]


class TicketGossip:
    """State machine of the gossip of one agent, free of input and output.

    It takes events and returns the messages to send, the reads to make and the
    outcomes to report.

    Parameters
    ----------
    own : Peer
        This agent.
    store : TicketStore
        Holds the tickets in force.
    settings : GossipSettings
        Intervals and fan-out.
    generator : random.Random
        Source of random choices.
    now_ms : float
        The current time, in ms.
    """

    def __init__(
        self,
        own: Peer,
        store: TicketStore,
        settings: GossipSettings,
        generator: random.Random,
        now_ms: float,
    ) -> None:
        self._own = own
        self._store = store
        self._settings = settings
        self._picker = PeerPicker(own, generator)
        self._freshness = Freshness()
        reading = settings.reading
        ages = self._freshness
        self._planner = ReadPlanner(reading, ages, generator, now_ms)
        self._pulls = PullTable(settings.pull_ms)
        self._join_tracker = JoinTracker(settings.join, now_ms)
        self._contents = ContentCache()
        self._changed_until_ms: dict[str, float] = {}
        self._rejected: dict[str, Stamp] = {}
        self._comparisons = ComparisonTable(settings.compare_ms)
        self._scopes = list_scopes(store.list_tickets())

    @property
    def is_ready(self) -> bool:
        """Whether the tickets held may be served to other processes."""
        return self._join_tracker.is_ready

    def get_confirmed_age_ms(self, scope: str, now_ms: float) -> float:
        """Return the time since the service last confirmed a ticket in force.

        Parameters
        ----------
        scope : str
            The scope.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        float
            In ms; infinite if it never did.
        """
        return self._freshness.get_age_ms(scope, now_ms)

    def handle(
        self,
        event: GossipEvent,
        now_ms: float,
    ) -> tuple[GossipOutput, ...]:
        """Process an event.

        Parameters
        ----------
        event : GossipEvent
            The event.
        now_ms : float
            The current time, in ms; must not decrease between calls.

        Returns
        -------
        tuple of GossipOutput
            Messages to send, reads to make and outcomes to report.

        Raises
        ------
        WireError
            If a peer sent a ticket that cannot be decompressed; it is pulled
            again later.
        """
        outputs = tuple(_HANDLERS[type(event)](self, event, now_ms))
        conflicts = self._store.pop_new_conflicts()
        return (*outputs, *map(Report, conflicts))

    def _on_set_peers(self, event: SetPeers, now_ms: float) -> _Outputs:
        peers = {peer.name: peer for peer in event.peers}
        peers[self._own.name] = self._own
        self._picker.set_peers(peers.values())
        self._comparisons.keep_only(peers)
        self._pulls.keep_only(peers)
        count = self._settings.readers_per_region
        readers = choose_readers(peers.values(), count)
        self._planner.set_share(
            len(peers),
            len(readers),
            now_ms,
            is_reader=self._own.name in readers,
        )
        return iter(())

    def _on_tick(self, event: GossipTick, now_ms: float) -> _Outputs:
        self._expire_changes(now_ms)
        self._join_tracker.update(
            self._picker.count,
            now_ms,
            is_pulling=self._pulls.is_waiting,
        )
        for peer in self._picker.pick(self._settings.fan_out):
            yield Send(peer, self._make_notice(now_ms))
            if not self.is_ready:
                yield Send(peer, self._make_summary(wants_answer=True))
        for holder, scopes in self._pulls.retry(now_ms).items():
            yield Send(holder, TicketPull(scopes))
        yield from self._plan_reads(now_ms)

    def _on_received(self, event: Received, now_ms: float) -> _Outputs:
        respond = _RESPONDERS[type(event.message)]
        return respond(self, event.peer, event.message, now_ms)

    def _on_read_answer(self, event: ReadAnswer, now_ms: float) -> _Outputs:
        outcome = self._store.offer(event.text, _SERVICE, now_ms)
        is_useful = _is_of_scope(outcome, event.scope)
        self._planner.finish(event.scope, now_ms, is_useful=is_useful)
        if isinstance(outcome, Same):
            self._freshness.confirm(outcome.scope, event.as_of_ms)
        yield from self._process_outcome(outcome, event.as_of_ms, now_ms)
        yield from self._plan_reads(now_ms)

    def _on_read_unchanged(
        self,
        event: ReadUnchanged,
        now_ms: float,
    ) -> _Outputs:
        self._freshness.confirm(event.scope, event.as_of_ms)
        self._planner.finish(event.scope, now_ms, is_useful=True)
        yield from self._plan_reads(now_ms)

    def _on_read_failed(self, event: ReadFailed, now_ms: float) -> _Outputs:
        self._planner.finish(event.scope, now_ms, is_useful=False)
        return iter(())

    def _respond_to_notice(
        self,
        peer: str,
        message: TicketNotice,
        now_ms: float,
    ) -> _Outputs:
        if message.serial == self._store.get_serial():
            self._renew(message, now_ms)
            return
        newer = self._find_newer(peer, message.changed)
        if newer:
            yield from self._pull(peer, newer, now_ms)
        elif self._changed_until_ms and not message.is_answer:
            yield Send(peer, self._make_notice(now_ms, is_answer=True))
        else:
            yield from self._compare(peer, message.serial, now_ms)

    def _respond_to_summary(
        self,
        peer: str,
        message: TicketSummary,
        now_ms: float,
    ) -> _Outputs:
        if message.is_ready:
            self._join_tracker.record_answer(peer)
        newer = self._find_newer(peer, message.stamps)
        yield from self._pull(peer, newer, now_ms)
        if message.wants_answer:
            yield Send(peer, self._make_summary(wants_answer=False))

    def _respond_to_pull(
        self,
        peer: str,
        message: TicketPull,
        now_ms: float,
    ) -> _Outputs:
        for scope in message.scopes:
            ticket = self._store.find(scope)
            if ticket is not None:
                age_ms = self.get_confirmed_age_ms(scope, now_ms)
                content = self._contents.compress(ticket)
                yield Send(peer, TicketBody(get_stamp(ticket), age_ms, content))

    def _respond_to_body(
        self,
        peer: str,
        message: TicketBody,
        now_ms: float,
    ) -> _Outputs:
        stamp = message.stamp
        known = self._store.compare(stamp, peer)
        if known is None:
            text = decompress(message.content)
            outcome = self._store.offer(text, peer, now_ms)
            if isinstance(outcome, Rejected):
                self._rejected[stamp.scope] = stamp
            confirmed_ms = now_ms - message.age_ms - self._settings.transit_ms
            yield from self._process_outcome(outcome, confirmed_ms, now_ms)
        self._pulls.finish(stamp.scope)

    def _process_outcome(
        self,
        outcome: Outcome,
        confirmed_ms: float,
        now_ms: float,
    ) -> _Outputs:
        if not isinstance(outcome, Same | Conflict):
            yield Report(outcome)
        if not isinstance(outcome, Applied):
            return
        scope = outcome.ticket.scope
        self._scopes = list_scopes(self._store.list_tickets())
        self._freshness.replace(scope, confirmed_ms)
        self._pulls.finish(scope)
        self._changed_until_ms[scope] = now_ms + self._settings.changed_ms
        for peer in self._picker.pick(self._settings.fan_out):
            if peer != outcome.source:
                yield Send(peer, self._make_notice(now_ms))

    def _find_newer(self, peer: str, stamps: Iterable[Stamp]) -> list[Stamp]:
        return [
            stamp
            for stamp in stamps
            if self._store.compare(stamp, peer) is None
            and self._rejected.get(stamp.scope) != stamp
        ]

    def _pull(
        self,
        peer: str,
        newer: Iterable[Stamp],
        now_ms: float,
    ) -> _Outputs:
        wanted = self._pulls.start(peer, newer, now_ms)
        if wanted:
            yield Send(peer, TicketPull(wanted))

    def _make_notice(
        self, now_ms: float, *, is_answer: bool = False
    ) -> TicketNotice:
        stamps = self._store.get_stamps()
        ages_ms = self._freshness.list_ages_ms(sorted(stamps), now_ms)
        changed = tuple(stamps[scope] for scope in self._changed_until_ms)
        return TicketNotice(
            self._store.get_serial(), ages_ms, changed, is_answer
        )

    def _make_summary(self, *, wants_answer: bool) -> TicketSummary:
        stamps = tuple(self._store.get_stamps().values())
        return TicketSummary(stamps, wants_answer, self.is_ready)

    def _renew(self, notice: TicketNotice, now_ms: float) -> None:
        if self._settings.renews:
            sent_ms = now_ms - self._settings.transit_ms
            held = sorted(self._store.get_stamps())
            self._freshness.adopt_ages(held, notice.ages_ms, sent_ms)

    def _compare(self, peer: str, serial: int, now_ms: float) -> _Outputs:
        serials = (self._store.get_serial(), serial)
        if self._comparisons.is_due(peer, serials, now_ms):
            self._comparisons.record(peer, serials, now_ms)
            yield Send(peer, self._make_summary(wants_answer=True))

    def _expire_changes(self, now_ms: float) -> None:
        for scope, until_ms in tuple(self._changed_until_ms.items()):
            if now_ms >= until_ms:
                self._changed_until_ms.pop(scope)
                self._contents.drop(scope)

    def _plan_reads(self, now_ms: float) -> _Outputs:
        stamps = self._store.get_stamps()
        for scope in self._planner.plan(self._scopes, now_ms):
            yield Read(scope, stamps.get(scope), self._planner.watch_ms)


def _is_of_scope(outcome: Outcome, scope: str) -> bool:
    if isinstance(outcome, Applied):
        return outcome.ticket.scope == scope
    return isinstance(outcome, Same) and outcome.scope == scope


_Handle = Callable[[TicketGossip, Any, float], _Outputs]
_Respond = Callable[[TicketGossip, str, Any, float], _Outputs]
_HANDLERS: Final[Mapping[type, _Handle]] = {
    GossipTick: TicketGossip._on_tick,
    SetPeers: TicketGossip._on_set_peers,
    Received: TicketGossip._on_received,
    ReadAnswer: TicketGossip._on_read_answer,
    ReadUnchanged: TicketGossip._on_read_unchanged,
    ReadFailed: TicketGossip._on_read_failed,
}
_RESPONDERS: Final[Mapping[type[PeerMessage], _Respond]] = {
    TicketNotice: TicketGossip._respond_to_notice,
    TicketSummary: TicketGossip._respond_to_summary,
    TicketPull: TicketGossip._respond_to_pull,
    TicketBody: TicketGossip._respond_to_body,
}
