"""The scheduling of one pool: its core, its homes and what they are told."""

import logging
from typing import Any, Final

from hornbeampulley import decisions, wire
from hornbeampulley.clock import Clock
from hornbeampulley.configuration import Configuration
from hornbeampulley.identity import (
    Executed,
    ExecutionTracker,
    RequestId,
    SessionStamp,
)
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline import TIMING
from hornbeampulley.programs._fleet import Fleet
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    read_event,
    read_request_id,
    read_stamp,
    write_action,
)

ANNOUNCED_AFTER_MS: Final = 300.0
QUARANTINED: Final = 'quarantined'
_log = logging.getLogger(__name__)


class PoolScheduler:
    """Runs the core of one pool and talks for it to the homes.

    Parameters
    ----------
    pool : str
        Name of the pool.
    incarnation : str
        Incarnation of this scheduler.
    fleet : Fleet
        Configuration and leaving targets.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        pool: str,
        incarnation: str,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.core = decisions.Core(pool, seed=1, is_takeover=True)
        self._incarnation = incarnation
        self._execution_tracker = ExecutionTracker(incarnation, TIMING)
        self._fleet = fleet
        self._clock = clock
        self._links: dict[str, wire.Link] = {}
        self._configuration: Configuration | None = None
        self._leaving: frozenset[str] = frozenset()
        self._is_takeover = True
        self._incomplete_ms = clock.now()
        self.configure()

    @property
    def is_used(self) -> bool:
        """Whether a home is linked."""
        return bool(self._links)

    def configure(self) -> None:
        """Take the agent's latest word."""
        now_ms = self._clock.now()
        for incarnation in self._fleet.list_ended():
            self._execution_tracker.confirm_death(incarnation, now_ms)
        if self._configuration is not self._fleet.configuration:
            self._configuration = self._fleet.configuration
            self.handle(decisions.Configure(self._configuration))
        if self._leaving != self._fleet.leaving:
            self._leaving = self._fleet.leaving
            self.handle(decisions.TargetsLeaving(self._leaving))

    def tick(self) -> None:
        """Let time pass."""
        now_ms = self._clock.now()
        self._execution_tracker.sweep(now_ms)
        if self._is_takeover and self._knows_all_homes(now_ms):
            self._is_takeover = False
            self.handle(decisions.TakeoverEnded())
        self.handle(decisions.Tick())

    def receive(self, link: wire.Link, message: Any) -> None:
        """Take a message of a home.

        Parameters
        ----------
        link : Link
            To the home.
        message : thrift struct
            What it sent.
        """
        home = link.peer.incarnation
        now_ms = self._clock.now()
        match message:
            case ttypes.Heartbeat():
                self._hear(link, message)
            case ttypes.Leave():
                self._hand_over(link)
            case ttypes.FateQuery():
                self._answer_fate(link, message.request_id)
            case ttypes.Reserve():
                self._announce(link, message)
            case ttypes.Quarantine():
                self.handle(decisions.Quarantine(int(message.fingerprint)))
            case ttypes.Withdraw() | ttypes.Progress() | ttypes.Release():
                self._record_end(home, message)
                self.handle(read_event(message, home, now_ms))

    def lose(self, link: wire.Link) -> None:
        """Forget a home whose link has closed.

        Parameters
        ----------
        link : Link
            The link.
        """
        home = link.peer.incarnation
        if self._links.get(home) is link:
            self._links.pop(home)
            self.handle(decisions.HomeLost(home))

    def handle(self, event: decisions.Event) -> None:
        """Pass an event to the core and send what it decides.

        Parameters
        ----------
        event : Event
            What happened.
        """
        for action in self.core.handle(event, self._clock.now()):
            self._carry_out(action)

    def make_heartbeat(self, link: wire.Link) -> ttypes.Heartbeat:
        """Make the next heartbeat to a home.

        Parameters
        ----------
        link : Link
            To the home.

        Returns
        -------
        ttypes.Heartbeat
            With a number that the home echoes.
        """
        heartbeat = self._execution_tracker.make_heartbeat(
            link.peer.incarnation,
            self._clock.now(),
        )
        if heartbeat is None:
            return ttypes.Heartbeat()
        return ttypes.Heartbeat(
            session=heartbeat.session,
            number=heartbeat.number,
        )

    def _knows_all_homes(self, now_ms: float) -> bool:
        if len(self._links) < max(self._fleet.count_entries(), 1):
            self._incomplete_ms = now_ms
        return now_ms - self._incomplete_ms >= ANNOUNCED_AFTER_MS

    def _hear(self, link: wire.Link, message: ttypes.Heartbeat) -> None:
        if message.stamp is None:
            return
        home = link.peer.incarnation
        is_new = self._links.get(home) is not link
        self._links[home] = link
        self._execution_tracker.handle_heartbeat(
            self._read_stamp(home, message), self._clock.now()
        )
        if is_new:
            link.send(self.make_heartbeat(link))

    def _announce(self, link: wire.Link, message: ttypes.Reserve) -> None:
        home = link.peer.incarnation
        now_ms = self._clock.now()
        is_taken = self._execution_tracker.announce(
            self._read_stamp(home, message),
            read_request_id(message, home),
            now_ms,
            bool(message.dispatched),
        )
        if is_taken:
            self.handle(read_event(message, home, now_ms))
        else:
            # The home starts a new session and announces all again.
            link.close()

    def _record_end(self, home: str, message: Any) -> None:
        stamp = getattr(message, 'stamp', None)
        if stamp is not None:
            self._execution_tracker.release(
                self._read_stamp(home, message),
                read_request_id(message, home),
                self._clock.now(),
            )

    def _read_stamp(self, home: str, message: Any) -> SessionStamp:
        return read_stamp(message.stamp, home, self._incarnation)

    def _hand_over(self, link: wire.Link) -> None:
        handover = self._execution_tracker.hand_over(link.peer.incarnation)
        if handover is not None:
            link.send(ttypes.Handover(handover.session))
        self.lose(link)

    def _answer_fate(self, link: wire.Link, id_text: str) -> None:
        ran = self._execution_tracker.find_executed(RequestId.parse(id_text))
        log_event(_log, 'fate_judged', request=id_text, ran=ran.value)
        link.send(ttypes.FateAnswer(id_text, ran is Executed.NO))

    def _spread_finding(self, fingerprint: int) -> None:
        # The homes carry it to whichever scheduler comes next.
        for link in self._links.values():
            link.send(ttypes.Quarantine(fingerprint))

    def _carry_out(self, action: decisions.Action) -> None:
        if isinstance(action, decisions.Warn):
            log_event(
                _log,
                action.event,
                severity=logging.WARNING,
                pool=self.pool,
                subject=action.subject,
            )
            if action.event == QUARANTINED:
                self._spread_finding(int(action.subject))
            return
        link = self._links.get(action.home)
        if link is None:
            return
        stamp = None
        if isinstance(action, decisions.Lease):
            stamp = self._execution_tracker.record_lease(
                RequestId.parse(action.request_id)
            )
        log_event(
            _log,
            f'{type(action).__name__.lower()}_sent',
            request=action.request_id,
            target=getattr(action, 'target', None),
        )
        link.send(write_action(action, stamp))
