"""Tracks at a scheduler whether requests of a failed home were executed.

A home is the entry that a request id belongs to, which alone dispatches it.
"""

import collections
import enum
from typing import Final

from hornbeampulley.identity._ids import RequestId
from hornbeampulley.identity._sessions import (
    DEFAULT_TIMING,
    Handover,
    LeaseStamp,
    SchedulerHeartbeat,
    SessionStamp,
    SessionTiming,
)
from hornbeampulley.identity._states import Executed

RETENTION_MS: Final = 120_000
_MAX_SENT: Final = 256


class _Status(enum.Enum):
    """State of a home's session.

    ``LIVE`` accepts messages and ``ENDED`` was handed over. Both other states
    follow the death of the home: in ``CERTAIN`` it died while the session
    still bound it, so that its requests without a lease never ran; in
    ``UNCERTAIN`` it may have dispatched them without a lease.
    """

    LIVE = 'live'
    ENDED = 'ended'
    CERTAIN = 'certain'
    UNCERTAIN = 'uncertain'


class _HomeSession:
    """A scheduler's record of its current session with one home."""

    __slots__ = (
        '_sent_heartbeats',
        'echoed_ms',
        'first_number',
        'last_sequence',
        'number',
        'requests',
        'status',
        'updated_ms',
    )

    def __init__(self, number: int, now_ms: float) -> None:
        self.number = number
        self.last_sequence = 0
        self.echoed_ms: float | None = None
        self.updated_ms = now_ms
        self.status = _Status.LIVE
        self.first_number: int | None = None
        self.requests: dict[RequestId, bool] = {}
        self._sent_heartbeats: collections.deque[tuple[int, float]] = (
            collections.deque(
                maxlen=_MAX_SENT,
            )
        )

    def record_sent(self, number: int, now_ms: float) -> None:
        """Record when a heartbeat was sent."""
        if self.first_number is None:
            self.first_number = number
        self._sent_heartbeats.append((number, now_ms))

    def record_echo(self, echo: int) -> None:
        """Record that the home has received the heartbeat of this number."""
        while self._sent_heartbeats and self._sent_heartbeats[0][0] <= echo:
            number, sent_ms = self._sent_heartbeats.popleft()
            if number == echo:
                self.echoed_ms = sent_ms

    def started_after(self, echo: int) -> bool:
        """Tell whether a message predates this record.

        It does if it echoes a heartbeat older than the first one recorded.
        """
        return self.first_number is None or echo < self.first_number

    def is_bound(self, now_ms: float, certain_ms: float) -> bool:
        """Tell whether the session certainly still binds the home.

        The session binds the home for ``binding_ms`` after each heartbeat
        that it receives, hence at least that long after the heartbeat was
        sent. ``certain_ms`` is that time reduced by clock drift.
        """
        if self.echoed_ms is None:
            return False
        return now_ms - self.echoed_ms < certain_ms


class ExecutionTracker:
    """Determines whether requests of a dead home can have been executed.

    Parameters
    ----------
    incarnation : str
        Incarnation of the scheduler.
    timing : SessionTiming
        Session timeouts; all processes must use the same.
    """

    def __init__(
        self,
        incarnation: str,
        timing: SessionTiming = DEFAULT_TIMING,
    ) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._heartbeat_number = 0
        self._sessions: dict[str, _HomeSession] = {}

    @property
    def home_count(self) -> int:
        """Number of homes with a recorded session."""
        return len(self._sessions)

    def handle_heartbeat(self, stamp: SessionStamp, now_ms: float) -> bool:
        """Process a heartbeat from a home.

        Parameters
        ----------
        stamp : SessionStamp
            Stamp of the heartbeat.
        now_ms : float
            The current time at the scheduler.

        Returns
        -------
        bool
            False if it is stale or its session is not live.
        """
        return self._accept(stamp, now_ms) is not None

    def make_heartbeat(
        self,
        incarnation: str,
        now_ms: float,
    ) -> SchedulerHeartbeat | None:
        """Make the next heartbeat for a home.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.
        now_ms : float
            The current time at the scheduler, read before sending.

        Returns
        -------
        SchedulerHeartbeat or None
            The heartbeat, or None if the home has no live session.
        """
        session = self._sessions.get(incarnation)
        if session is None or session.status is not _Status.LIVE:
            return None
        self._heartbeat_number += 1
        session.record_sent(self._heartbeat_number, now_ms)
        return SchedulerHeartbeat(
            self._incarnation,
            session.number,
            self._heartbeat_number,
        )

    def announce(
        self,
        stamp: SessionStamp,
        request_id: RequestId,
        now_ms: float,
        dispatched: bool = False,
    ) -> bool:
        """Record that a home holds an open request.

        Parameters
        ----------
        stamp : SessionStamp
            Stamp of the home's message.
        request_id : RequestId
            The request's id.
        now_ms : float
            The current time at the scheduler.
        dispatched : bool
            Whether the home has ever dispatched it.

        Returns
        -------
        bool
            False if the message is stale, its session is not live, or it was
            sent before this scheduler's record of the session began.
        """
        session = self._accept(stamp, now_ms)
        if session is None or session.started_after(stamp.echo):
            return False
        if request_id.incarnation != stamp.incarnation:
            return False
        may_have_run = session.requests.get(request_id, False)
        session.requests[request_id] = dispatched or may_have_run
        return True

    def release(
        self,
        stamp: SessionStamp,
        request_id: RequestId,
        now_ms: float,
    ) -> bool:
        """Remove a request that has ended at its home.

        Parameters
        ----------
        stamp : SessionStamp
            Stamp of the home's message.
        request_id : RequestId
            The request's id.
        now_ms : float
            The current time at the scheduler.

        Returns
        -------
        bool
            False if the message is stale or its session is not live.
        """
        session = self._accept(stamp, now_ms)
        if session is None:
            return False
        session.requests.pop(request_id, None)
        return True

    def record_lease(self, request_id: RequestId) -> LeaseStamp | None:
        """Record that a request gets a lease; call before sending the lease.

        Parameters
        ----------
        request_id : RequestId
            Id of an announced request.

        Returns
        -------
        LeaseStamp or None
            Stamp of the lease, or None if the request was not announced in
            the home's session or the session is not live.
        """
        session = self._sessions.get(request_id.incarnation)
        if session is None or session.status is not _Status.LIVE:
            return None
        if request_id not in session.requests:
            return None
        session.requests[request_id] = True
        return LeaseStamp(
            self._incarnation, session.number, session.last_sequence
        )

    def hand_over(self, incarnation: str) -> Handover | None:
        """End a home's session so that it can move to another scheduler.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.

        Returns
        -------
        Handover or None
            Message to the home, or None if it has no live session.
        """
        session = self._sessions.get(incarnation)
        if session is None or session.status is not _Status.LIVE:
            return None
        session.status = _Status.ENDED
        session.requests.clear()
        return Handover(self._incarnation, session.number)

    def confirm_death(self, incarnation: str, now_ms: float) -> None:
        """Record proof that a home's process has ended.

        Missing heartbeats, a refused connection or another process at the
        same address do not prove it.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.
        now_ms : float
            The current time at the scheduler, read after the proof
            arrived.
        """
        session = self._sessions.get(incarnation)
        if session is None or session.status is not _Status.LIVE:
            return
        certain = session.is_bound(now_ms, self._timing.certain_ms)
        session.status = _Status.CERTAIN if certain else _Status.UNCERTAIN
        session.updated_ms = now_ms

    def find_executed(self, request_id: RequestId) -> Executed:
        """Tell whether a request was executed, as far as is certain here.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.

        Returns
        -------
        Executed
            ``NO`` only if it was not executed and never will be, otherwise
            ``UNKNOWN``.
        """
        session = self._sessions.get(request_id.incarnation)
        if session is None or session.status is not _Status.CERTAIN:
            return Executed.UNKNOWN
        may_have_run = session.requests.get(request_id, True)
        return Executed.UNKNOWN if may_have_run else Executed.NO

    def sweep(self, now_ms: float, retention_ms: float = RETENTION_MS) -> None:
        """Remove the sessions that have been idle for the retention time.

        Parameters
        ----------
        now_ms : float
            The current time at the scheduler.
        retention_ms : float
            Time in ms after which an idle session is removed.
        """
        for incarnation, session in tuple(self._sessions.items()):
            if now_ms - session.updated_ms >= retention_ms:
                self._sessions.pop(incarnation)

    def _accept(
        self, stamp: SessionStamp, now_ms: float
    ) -> _HomeSession | None:
        if stamp.scheduler != self._incarnation:
            return None
        session = self._sessions.get(stamp.incarnation)
        if session is None or _is_later_session(session, stamp):
            session = _HomeSession(stamp.session, now_ms)
            self._sessions[stamp.incarnation] = session
        if (
            session.status is not _Status.LIVE
            or stamp.session != session.number
        ):
            return None
        if stamp.sequence <= session.last_sequence:
            return None
        session.last_sequence = stamp.sequence
        session.updated_ms = now_ms
        session.record_echo(stamp.echo)
        return session


def _is_later_session(session: _HomeSession, stamp: SessionStamp) -> bool:
    if session.status not in {_Status.LIVE, _Status.ENDED}:
        return False
    return stamp.session > session.number
