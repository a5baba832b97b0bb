"""When a home may dispatch a waiting request."""

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
    """One session of a home with a scheduler."""

    __slots__ = (
        '_sent',
        'contact_ms',
        'heard',
        'is_ended',
        'number',
        'scheduler',
        'sequence',
    )

    def __init__(self, scheduler: str, number: int) -> None:
        self.scheduler = scheduler
        self.number = number
        self.sequence = 0
        self.heard = 0
        self.contact_ms: float | None = None
        self.is_ended = False
        self._sent: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_MAX_SENT,
        )

    def is_silent(self, now_ms: float, limit_ms: float) -> bool:
        """Tell whether the scheduler was heard, but not for so long."""
        if self.contact_ms is None:
            return False
        return now_ms - self.contact_ms >= limit_ms

    def is_binding(self, now_ms: float, binding_ms: float) -> bool:
        """Tell whether the scheduler may count on this session."""
        if self.is_ended or self.contact_ms is None:
            return False
        return not self.is_silent(now_ms, binding_ms)

    def make_stamp(self, incarnation: str, now_ms: float) -> SessionStamp:
        """Make the stamp of the next message and note when it was sent."""
        self.sequence += 1
        self._sent.append((self.sequence, now_ms))
        return SessionStamp(
            incarnation,
            self.number,
            self.sequence,
            self.heard,
            self.scheduler,
        )

    def find_sent_ms(self, sequence: int) -> float | None:
        """Return when the latest message up to a sequence was sent."""
        sent_ms = None
        for sent, moment_ms in self._sent:
            if sent > sequence:
                break
            sent_ms = moment_ms
        return sent_ms


class DispatchPermit:
    """Decides at a home which permission allows a dispatch now.

    A request that was announced to a scheduler is bound to that session: for
    ``binding_ms`` after the scheduler was last heard, only its leases allow
    the dispatch. The scheduler's ``ExecutionTracker`` relies on that.

    Parameters
    ----------
    incarnation : str
        Incarnation of the home.
    now_ms : float
        The current time at the home.
    timing : SessionTiming
        The same at all processes.
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
        self._number = 0
        self._session: _Session | None = None
        self._earlier: list[_Session] = []
        self._bindings: dict[RequestId, _Session] = {}

    def open_session(self, scheduler: str, now_ms: float) -> int:
        """Start a session with a scheduler in place of the current one.

        Parameters
        ----------
        scheduler : str
            Incarnation of the scheduler.
        now_ms : float
            The current time at the home.

        Returns
        -------
        int
            Number of the session.
        """
        binding_ms = self._timing.binding_ms
        if self._session is not None:
            self._earlier.append(self._session)
        self._earlier = [
            earlier
            for earlier in self._earlier
            if earlier.is_binding(now_ms, binding_ms)
        ]
        self._number += 1
        self._session = _Session(scheduler, self._number)
        return self._number

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
            The heartbeat, or None if no session is open.
        """
        session = self._session
        if session is None or not self.is_session_open(now_ms):
            return None
        return session.make_stamp(self._incarnation, now_ms)

    def hear(self, heartbeat: SchedulerHeartbeat, now_ms: float) -> bool:
        """Take a scheduler's heartbeat.

        Parameters
        ----------
        heartbeat : SchedulerHeartbeat
            The heartbeat.
        now_ms : float
            The current time at the home, read after the heartbeat arrived.

        Returns
        -------
        bool
            False if it is old, or came too late to keep its session open.
        """
        session = self._session
        if session is None or not self.is_session_open(now_ms):
            return False
        if (heartbeat.scheduler, heartbeat.session) != (
            session.scheduler,
            session.number,
        ):
            return False
        if heartbeat.number <= session.heard:
            return False
        session.heard = heartbeat.number
        session.contact_ms = now_ms
        self._contact_ms = now_ms
        self._end_earlier(session.scheduler)
        return True

    def accept_handover(self, handover: Handover) -> None:
        """Take a scheduler's word that it has ended a session.

        Parameters
        ----------
        handover : Handover
            The session that it ended.
        """
        sessions = list(self._earlier)
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
            A waiting request.
        now_ms : float
            The current time at the home.

        Returns
        -------
        SessionStamp or None
            Stamp of the message that announces it, or None if the scheduler
            was not heard yet, no session is open, or an earlier one still
            binds the request; try again later.
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
        """Forget a request that has ended.

        Parameters
        ----------
        request_id : RequestId
            Any request.
        now_ms : float
            The current time at the home.

        Returns
        -------
        SessionStamp or None
            Stamp of the message that says so, or None if there is no session.
        """
        self._bindings.pop(request_id, None)
        if self._session is None:
            return None
        return self._session.make_stamp(self._incarnation, now_ms)

    def use_lease(
        self,
        request_id: RequestId,
        lease: LeaseStamp,
        valid_ms: float,
        now_ms: float,
    ) -> bool:
        """Tell whether a lease allows a dispatch now; it is then used up.

        Parameters
        ----------
        request_id : RequestId
            A waiting request.
        lease : LeaseStamp
            Stamp of its lease.
        valid_ms : float
            How long the lease is valid.
        now_ms : float
            The current time at the home, read just before the dispatch.

        Returns
        -------
        bool
            False if the lease is late, used, or of another session.
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

    def use_silence(self, request_id: RequestId, now_ms: float) -> bool:
        """Tell whether a request may be dispatched without a lease now.

        Parameters
        ----------
        request_id : RequestId
            A waiting request; it is bound to no session afterwards.
        now_ms : float
            The current time at the home, read just before the dispatch.

        Returns
        -------
        bool
            False if a scheduler was heard lately.
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

    def _end_earlier(self, scheduler: str) -> None:
        for earlier in self._earlier:
            if earlier.scheduler == scheduler:
                earlier.is_ended = True
