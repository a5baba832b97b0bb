"""Scheduling of one pool: its decision core and its links to home entries."""

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

TAKEOVER_SETTLE_MS: Final = 300.0
QUARANTINED: Final = 'quarantined'
_log = logging.getLogger(__name__)


class PoolScheduler:
    """Feeds the decision core of a pool and sends its actions to the homes.

    Parameters
    ----------
    pool : str
        Name of the pool.
    incarnation : str
        Incarnation of this scheduler.
    fleet : Fleet
        Source of the configuration and of the leaving targets.
    clock : Clock
        Source of the current time in milliseconds.
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
        self._last_incomplete_ms = clock.now()
        self.configure()

    @property
    def is_used(self) -> bool:
        """Whether at least one home is linked."""
        return bool(self._links)

    def configure(self) -> None:
        """Apply the ended processes, configuration and leaving targets seen last."""
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
        """Run the periodic work of the tracker and the core."""
        now_ms = self._clock.now()
        self._execution_tracker.sweep(now_ms)
        if self._is_takeover and self._has_all_homes(now_ms):
            self._is_takeover = False
            self.handle(decisions.TakeoverEnded())
        self.handle(decisions.Tick())

    def receive(self, link: wire.Link, message: Any) -> None:
        """Handle a message from a home.

        Parameters
        ----------
        link : Link
            Link to the home.
        message : thrift struct
            The message.
        """
        home = link.peer.incarnation
        now_ms = self._clock.now()
        match message:
            case ttypes.Heartbeat():
                self._handle_heartbeat(link, message)
            case ttypes.Leave():
                self._hand_over(link)
            case ttypes.FateQuery():
                self._answer_execution_query(link, message.request_id)
            case ttypes.Reserve():
                self._handle_reserve(link, message)
            case ttypes.Quarantine():
                self.handle(decisions.Quarantine(int(message.fingerprint)))
            case ttypes.Withdraw() | ttypes.Progress() | ttypes.Release():
                self._record_release(home, message)
                self.handle(read_event(message, home, now_ms))

    def remove_link(self, link: wire.Link) -> None:
        """Remove the link of a home and report the home as lost to the core.

        Does nothing if the home has linked again meanwhile.

        Parameters
        ----------
        link : Link
            Link that has closed or been handed over.
        """
        home = link.peer.incarnation
        if self._links.get(home) is link:
            self._links.pop(home)
            self.handle(decisions.HomeLost(home))

    def handle(self, event: decisions.Event) -> None:
        """Pass an event to the core and execute the resulting actions.

        Parameters
        ----------
        event : Event
            Input of the core.
        """
        for action in self.core.handle(event, self._clock.now()):
            self._execute_action(action)

    def make_heartbeat(self, link: wire.Link) -> ttypes.Heartbeat:
        """Build the next heartbeat for a home.

        Parameters
        ----------
        link : Link
            Link to the home.

        Returns
        -------
        ttypes.Heartbeat
            Carries a number for the home to echo; empty without a session.
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

    def _has_all_homes(self, now_ms: float) -> bool:
        if len(self._links) < max(self._fleet.count_entries(), 1):
            self._last_incomplete_ms = now_ms
        return now_ms - self._last_incomplete_ms >= TAKEOVER_SETTLE_MS

    def _handle_heartbeat(
        self, link: wire.Link, message: ttypes.Heartbeat
    ) -> None:
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

    def _handle_reserve(self, link: wire.Link, message: ttypes.Reserve) -> None:
        home = link.peer.incarnation
        now_ms = self._clock.now()
        is_accepted = self._execution_tracker.announce(
            self._read_stamp(home, message),
            read_request_id(message, home),
            now_ms,
            bool(message.dispatched),
        )
        if is_accepted:
            self.handle(read_event(message, home, now_ms))
        else:
            # The home starts a new session and announces all its requests.
            link.close()

    def _record_release(self, home: str, message: Any) -> None:
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
        self.remove_link(link)

    def _answer_execution_query(self, link: wire.Link, id_text: str) -> None:
        executed = self._execution_tracker.find_executed(
            RequestId.parse(id_text)
        )
        log_event(_log, 'fate_judged', request=id_text, ran=executed.value)
        link.send(ttypes.FateAnswer(id_text, executed is Executed.NO))

    def _broadcast_quarantine(self, fingerprint: int) -> None:
        # The homes pass the quarantine on to the next owner of the pool.
        for link in self._links.values():
            link.send(ttypes.Quarantine(fingerprint))

    def _execute_action(self, action: decisions.Action) -> None:
        if isinstance(action, decisions.Warn):
            log_event(
                _log,
                action.event,
                severity=logging.WARNING,
                pool=self.pool,
                subject=action.subject,
            )
            if action.event == QUARANTINED:
                self._broadcast_quarantine(int(action.subject))
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
