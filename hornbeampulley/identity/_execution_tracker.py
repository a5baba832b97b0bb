"""What a scheduler can say for certain of a lost home's requests."""

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
    """Where a home's session stands."""

    LIVE = 'live'
    ENDED = 'ended'
    CERTAIN = 'certain'
    UNCERTAIN = 'uncertain'


class _Home:
    """What a scheduler knows of one session of one home."""

    __slots__ = (
        '_sent',
        'changed_ms',
        'echoed_ms',
        'first',
        'heard',
        'requests',
        'session',
        'status',
    )

    def __init__(self, session: int, now_ms: float) -> None:
        self.session = session
        self.heard = 0
        self.echoed_ms: float | None = None
        self.changed_ms = now_ms
        self.status = _Status.LIVE
        self.first: int | None = None
        self.requests: dict[RequestId, bool] = {}
        self._sent: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_MAX_SENT,
        )

    def record_sent(self, number: int, now_ms: float) -> None:
        """Note when a heartbeat was sent."""
        if self.first is None:
            self.first = number
        self._sent.append((number, now_ms))

    def record_echo(self, echo: int) -> None:
        """Note that the home has heard the heartbeat of a number."""
        while self._sent and self._sent[0][0] <= echo:
            number, sent_ms = self._sent.popleft()
            if number == echo:
                self.echoed_ms = sent_ms

    def is_newer_than(self, echo: int) -> bool:
        """Tell whether a message was sent before this memory began."""
        return self.first is None or echo < self.first

    def is_bound(self, now_ms: float, certain_ms: float) -> bool:
        """Tell whether the home cannot have left this session yet."""
        if self.echoed_ms is None:
            return False
        return now_ms - self.echoed_ms < certain_ms


class ExecutionTracker:
    """Certifies that requests left waiting on a dead home never ran.

    Parameters
    ----------
    incarnation : str
        Incarnation of the scheduler.
    timing : SessionTiming
        The same at all processes.
    """

    def __init__(
        self,
        incarnation: str,
        timing: SessionTiming = DEFAULT_TIMING,
    ) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._number = 0
        self._homes: dict[str, _Home] = {}

    @property
    def home_count(self) -> int:
        """Number of homes remembered."""
        return len(self._homes)

    def hear(self, stamp: SessionStamp, now_ms: float) -> bool:
        """Take a home's heartbeat.

        Parameters
        ----------
        stamp : SessionStamp
            The heartbeat.
        now_ms : float
            The current time at the scheduler.

        Returns
        -------
        bool
            False if it is old or its home is dead.
        """
        return self._accept(stamp, now_ms) is not None

    def make_heartbeat(
        self,
        incarnation: str,
        now_ms: float,
    ) -> SchedulerHeartbeat | None:
        """Make the next heartbeat to a home.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.
        now_ms : float
            The current time at the scheduler, read before it is sent.

        Returns
        -------
        SchedulerHeartbeat or None
            The heartbeat, or None if the home has no session here.
        """
        home = self._homes.get(incarnation)
        if home is None or home.status is not _Status.LIVE:
            return None
        self._number += 1
        home.record_sent(self._number, now_ms)
        return SchedulerHeartbeat(
            self._incarnation,
            home.session,
            self._number,
        )

    def announce(
        self,
        stamp: SessionStamp,
        request_id: RequestId,
        now_ms: float,
        dispatched: bool = False,
    ) -> bool:
        """Take a home's word that it holds a request.

        Parameters
        ----------
        stamp : SessionStamp
            Stamp of the message.
        request_id : RequestId
            The request.
        now_ms : float
            The current time at the scheduler.
        dispatched : bool
            Whether it was ever dispatched.

        Returns
        -------
        bool
            False if the message is old, its home is dead, or it was sent
            before this scheduler's memory of the home began.
        """
        home = self._accept(stamp, now_ms)
        if home is None or home.is_newer_than(stamp.echo):
            return False
        if request_id.incarnation != stamp.incarnation:
            return False
        may_have_run = home.requests.get(request_id, False)
        home.requests[request_id] = dispatched or may_have_run
        return True

    def release(
        self,
        stamp: SessionStamp,
        request_id: RequestId,
        now_ms: float,
    ) -> bool:
        """Take a home's word that a request has ended.

        Parameters
        ----------
        stamp : SessionStamp
            Stamp of the message.
        request_id : RequestId
            The request.
        now_ms : float
            The current time at the scheduler.

        Returns
        -------
        bool
            False if the message is old or its home is dead.
        """
        home = self._accept(stamp, now_ms)
        if home is None:
            return False
        home.requests.pop(request_id, None)
        return True

    def lease(self, request_id: RequestId) -> LeaseStamp | None:
        """Record a lease; call it before the lease is sent.

        Parameters
        ----------
        request_id : RequestId
            An announced request.

        Returns
        -------
        LeaseStamp or None
            Stamp of the lease, or None if the request is not announced in the
            home's session or its home is dead.
        """
        home = self._homes.get(request_id.incarnation)
        if home is None or home.status is not _Status.LIVE:
            return None
        if request_id not in home.requests:
            return None
        home.requests[request_id] = True
        return LeaseStamp(self._incarnation, home.session, home.heard)

    def hand_over(self, incarnation: str) -> Handover | None:
        """End a home's session, so that it can go to another scheduler.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.

        Returns
        -------
        Handover or None
            Message to the home, or None if it has no session here.
        """
        home = self._homes.get(incarnation)
        if home is None or home.status is not _Status.LIVE:
            return None
        home.status = _Status.ENDED
        home.requests.clear()
        return Handover(self._incarnation, home.session)

    def confirm_death(self, incarnation: str, now_ms: float) -> None:
        """Take proof that a home's process has ended.

        Silence, a refused connection or another process at the same address
        is no proof.

        Parameters
        ----------
        incarnation : str
            Incarnation of the home.
        now_ms : float
            The current time at the scheduler, read after the proof arrived.
        """
        home = self._homes.get(incarnation)
        if home is None or home.status is not _Status.LIVE:
            return
        certain = home.is_bound(now_ms, self._timing.certain_ms)
        home.status = _Status.CERTAIN if certain else _Status.UNCERTAIN
        home.changed_ms = now_ms

    def judge(self, request_id: RequestId) -> Executed:
        """Tell whether a request ran, as far as this scheduler is certain.

        Parameters
        ----------
        request_id : RequestId
            Any id.

        Returns
        -------
        Executed
            ``NO`` only if it did not run and never will; else ``UNKNOWN``.
        """
        home = self._homes.get(request_id.incarnation)
        if home is None or home.status is not _Status.CERTAIN:
            return Executed.UNKNOWN
        may_have_run = home.requests.get(request_id, True)
        return Executed.UNKNOWN if may_have_run else Executed.NO

    def sweep(self, now_ms: float, retention_ms: float = RETENTION_MS) -> None:
        """Forget the homes of which nothing was heard for long.

        Parameters
        ----------
        now_ms : float
            The current time at the scheduler.
        retention_ms : float
            How long they are remembered.
        """
        for incarnation, home in tuple(self._homes.items()):
            if now_ms - home.changed_ms >= retention_ms:
                self._homes.pop(incarnation)

    def _accept(self, stamp: SessionStamp, now_ms: float) -> _Home | None:
        if stamp.scheduler != self._incarnation:
            return None
        home = self._homes.get(stamp.incarnation)
        if home is None or _is_later_session(home, stamp):
            home = _Home(stamp.session, now_ms)
            self._homes[stamp.incarnation] = home
        if home.status is not _Status.LIVE or stamp.session != home.session:
            return None
        if stamp.sequence <= home.heard:
            return None
        home.heard = stamp.sequence
        home.changed_ms = now_ms
        home.record_echo(stamp.echo)
        return home


def _is_later_session(home: _Home, stamp: SessionStamp) -> bool:
    if home.status not in {_Status.LIVE, _Status.ENDED}:
        return False
    return stamp.session > home.session
