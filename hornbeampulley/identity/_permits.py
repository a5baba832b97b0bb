"""Decides when a home may dispatch a waiting request.

A home is the entry that a request id belongs to, which alone dispatches it.
"""

import collections
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

_MAX_SENT: Final = 256


class _Session:
    """A home's record of one session with a scheduler."""

    __slots__ = (
        '_sent_messages',
        'contact_ms',
        'heartbeat_number',
        'is_ended',
        'number',
        'scheduler',
        'sequence',
    )

    def __init__(self, scheduler: str, number: int) -> None:
        self.scheduler = scheduler
        self.number = number
        self.sequence = 0
        self.heartbeat_number = 0
        self.contact_ms: float | None = None
        self.is_ended = False
        self._sent_messages: collections.deque[tuple[int, float]] = (
            collections.deque(
                maxlen=_MAX_SENT,
            )
        )

    def is_silent(self, now_ms: float, limit_ms: float) -> bool:
        """Tell whether the scheduler's last heartbeat is too old.

        False if none has been received yet.
        """
        if self.contact_ms is None:
            return False
        return now_ms - self.contact_ms >= limit_ms

    def is_binding(self, now_ms: float, binding_ms: float) -> bool:
        """Tell whether the session still restricts dispatches to its leases."""
        if self.is_ended or self.contact_ms is None:
            return False
        return not self.is_silent(now_ms, binding_ms)

    def make_stamp(self, incarnation: str, now_ms: float) -> SessionStamp:
        """Make the stamp of the next message and record its send time."""
        self.sequence += 1
        self._sent_messages.append((self.sequence, now_ms))
        return SessionStamp(
            incarnation,
            self.number,
            self.sequence,
            self.heartbeat_number,
            self.scheduler,
        )

    def find_sent_ms(self, sequence: int) -> float | None:
        """Return the send time of the latest message up to a sequence."""
        sent_ms = None
        for sent, moment_ms in self._sent_messages:
            if sent > sequence:
                break
            sent_ms = moment_ms
        return sent_ms


class DispatchPermit:
    """Decides at a home whether a request may be dispatched now.

    A request that was announced to a scheduler is bound to that session: for
    ``binding_ms`` after the scheduler's last heartbeat, only leases of that
    session permit its dispatch. The scheduler's ``ExecutionTracker`` relies
    on this.

    Parameters
    ----------
    incarnation : str
        Incarnation of the home.
    now_ms : float
        The current time at the home.
    timing : SessionTiming
        Session timeouts; all processes must use the same.
    """

    def __init__(
        self,
        incarnation: str,
        now_ms: float,
        timing: SessionTiming = DEFAULT_TIMING,
    ) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._contact_ms = now_ms
        self._session_number = 0
        self._session: _Session | None = None
        self._earlier_sessions: list[_Session] = []
        self._bindings: dict[RequestId, _Session] = {}

    def open_session(self, scheduler: str, now_ms: float) -> int:
        """Open a session with a scheduler, replacing the current one.

        Parameters
        ----------
        scheduler : str
            Incarnation of the scheduler.
        now_ms : float
            The current time at the home.

        Returns
        -------
        int
            Number of the new session.
        """
        binding_ms = self._timing.binding_ms
        if self._session is not None:
            self._earlier_sessions.append(self._session)
        self._earlier_sessions = [
            earlier
            for earlier in self._earlier_sessions
            if earlier.is_binding(now_ms, binding_ms)
        ]
        self._session_number += 1
        self._session = _Session(scheduler, self._session_number)
        return self._session_number

    def is_session_open(self, now_ms: float) -> bool:
        """Tell whether the current session can still be used.

        Parameters
        ----------
        now_ms : float
            The current time at the home.

        Returns
        -------
        bool
            False if a new session must be opened.
        """
        session = self._session
        if session is None or session.is_ended:
            return False
        return not session.is_silent(now_ms, self._timing.binding_ms)

    def make_heartbeat(self, now_ms: float) -> SessionStamp | None:
        """Make the next heartbeat of the current session.

        Parameters
        ----------
        now_ms : float
            The current time at the home.

        Returns
        -------
        SessionStamp or None
            Stamp of the heartbeat, or None if no session is open.
        """
        session = self._session
        if session is None or not self.is_session_open(now_ms):
            return None
        return session.make_stamp(self._incarnation, now_ms)

    def handle_heartbeat(
        self, heartbeat: SchedulerHeartbeat, now_ms: float
    ) -> bool:
        """Process a heartbeat from a scheduler.

        Parameters
        ----------
        heartbeat : SchedulerHeartbeat
            The heartbeat received.
        now_ms : float
            The current time at the home, read after the heartbeat arrived.

        Returns
        -------
        bool
            False if it is stale, or came too late to keep its session open.
        """
        session = self._session
        if session is None or not self.is_session_open(now_ms):
            return False
        if (heartbeat.scheduler, heartbeat.session) != (
            session.scheduler,
            session.number,
        ):
            return False
        if heartbeat.number <= session.heartbeat_number:
            return False
        session.heartbeat_number = heartbeat.number
        session.contact_ms = now_ms
        self._contact_ms = now_ms
        self._end_earlier_sessions(session.scheduler)
        return True

    def accept_handover(self, handover: Handover) -> None:
        """Mark the sessions that a scheduler has handed over as ended.

        Parameters
        ----------
        handover : Handover
            The scheduler's message. All sessions with it up to this number
            end.
        """
        sessions = list(self._earlier_sessions)
        if self._session is not None:
            sessions.append(self._session)
        for session in sessions:
            if session.scheduler != handover.scheduler:
                continue
            if session.number <= handover.session:
                session.is_ended = True

    def announce(
        self, request_id: RequestId, now_ms: float
    ) -> SessionStamp | None:
        """Bind a request to the current session.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request.
        now_ms : float
            The current time at the home.

        Returns
        -------
        SessionStamp or None
            Stamp of the announcement, or None if no session is open, the
            scheduler has sent no heartbeat in it yet, or an earlier session
            still binds the request; retry later.
        """
        session = self._session
        if session is None or not self.is_session_open(now_ms):
            return None
        if session.contact_ms is None:
            return None
        bound = self._bindings.get(request_id)
        if bound is not session and self._is_bound(request_id, now_ms):
            return None
        self._bindings[request_id] = session
        return session.make_stamp(self._incarnation, now_ms)

    def release(
        self, request_id: RequestId, now_ms: float
    ) -> SessionStamp | None:
        """Unbind a request that has ended.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.
        now_ms : float
            The current time at the home.

        Returns
        -------
        SessionStamp or None
            Stamp of the message to the scheduler, or None if there is no
            session.
        """
        self._bindings.pop(request_id, None)
        if self._session is None:
            return None
        return self._session.make_stamp(self._incarnation, now_ms)

    def consume_lease(
        self,
        request_id: RequestId,
        lease: LeaseStamp,
        valid_ms: float,
        now_ms: float,
    ) -> bool:
        """Tell whether a lease permits a dispatch now, and consume it if so.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request.
        lease : LeaseStamp
            Stamp of the request's lease.
        valid_ms : float
            How long the lease is valid, in ms.
        now_ms : float
            The current time at the home, read just before the dispatch.

        Returns
        -------
        bool
            False if the lease has expired, was used before or belongs to
            another session.
        """
        session = self._bindings.get(request_id)
        if session is None:
            return False
        if (lease.scheduler, lease.session) != (
            session.scheduler,
            session.number,
        ):
            return False
        sent_ms = session.find_sent_ms(lease.heard)
        if sent_ms is None or now_ms - sent_ms >= valid_ms:
            return False
        self._bindings.pop(request_id)
        return True

    def allow_without_lease(self, request_id: RequestId, now_ms: float) -> bool:
        """Tell whether a request may be dispatched now without a lease.

        That is the case after ``alone_ms`` without a scheduler's heartbeat.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request. It is unbound if the result is True.
        now_ms : float
            The current time at the home, read just before the dispatch.

        Returns
        -------
        bool
            False if a scheduler's heartbeat was received recently or a
            session still binds the request.
        """
        if now_ms - self._contact_ms < self._timing.alone_ms:
            return False
        if self._is_bound(request_id, now_ms):
            return False
        self._bindings.pop(request_id, None)
        return True

    def _is_bound(self, request_id: RequestId, now_ms: float) -> bool:
        session = self._bindings.get(request_id)
        if session is None:
            return False
        return session.is_binding(now_ms, self._timing.binding_ms)

    def _end_earlier_sessions(self, scheduler: str) -> None:
        for earlier in self._earlier_sessions:
            if earlier.scheduler == scheduler:
                earlier.is_ended = True
