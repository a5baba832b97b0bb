"""Client of a pool's scheduler, with a local core as fallback."""

from collections.abc import Callable, Iterable
from typing import Final, Protocol

from hornbeampulley import decisions, wire
from hornbeampulley.configuration import Configuration
from hornbeampulley.identity import (
    DispatchPermit,
    Handover,
    LeaseStamp,
    RequestId,
    SchedulerHeartbeat,
    SessionStamp,
    SessionTiming,
)
from hornbeampulley.pipeline._shares import limit_to_share
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    write_event,
    write_reserve,
)

ALONE_AFTER_MS: Final = 3000.0
TIMING: Final = SessionTiming(
    binding_ms=wire.SILENCE_MS,
    alone_ms=ALONE_AFTER_MS,
)
MAX_QUARANTINED: Final = 256
_SEED: Final = 1
_REQUEUED_OUTCOMES: Final = frozenset(
    (decisions.Outcome.NOT_SENT, decisions.Outcome.PREEMPTED),
)


class OpenRequests(Protocol):
    """The open requests of a home, as used by its scheduler clients."""

    incarnation: str

    def list_reserves(self, pool: str) -> Iterable[decisions.Reserve]:
        """List a ``Reserve`` event for each open request of a pool."""

    def was_dispatched(self, request_id: RequestId) -> bool:
        """Tell whether an open request was ever dispatched."""

    def apply_action(self, action: decisions.Action) -> None:
        """Apply a decision of the scheduler to a request."""


class SchedulerClient:
    """Sends the events of one pool to its current scheduler.

    Without a link, events are dropped, as all open requests are announced to
    the next scheduler anyway. After `ALONE_AFTER_MS` without a link, a core
    in this process grants leases within this home's share of each target.

    Parameters
    ----------
    pool : str
        Name of the pool.
    requests : OpenRequests
        The open requests of the home.
    read_now : Callable
        Returns the current time in ms.
    """

    def __init__(
        self,
        pool: str,
        requests: OpenRequests,
        read_now: Callable[[], float],
    ) -> None:
        self.link: wire.Link | None = None
        self._pool = pool
        self._requests = requests
        self._read_now = read_now
        self._permit = DispatchPermit(
            requests.incarnation,
            read_now(),
            TIMING,
        )
        self._unannounced: set[str] = set()
        self._quarantined: dict[int, None] = {}
        self._core: decisions.Policy | None = None
        self._link_lost_ms = read_now()

    @property
    def is_alone(self) -> bool:
        """Whether this process grants the leases itself."""
        return self._core is not None

    def send(self, event: decisions.Event) -> None:
        """Send an event to the scheduler or to the local core.

        Parameters
        ----------
        event : Event
            A Reserve, Withdraw, Progress or Release event.
        """
        if self._core is not None:
            self._handle(event)
        elif isinstance(event, decisions.Reserve):
            self._announce(event)
        else:
            self._send_event(event)

    def attach(self, link: wire.Link) -> None:
        """Start a session on a link whose peer is known.

        Parameters
        ----------
        link : Link
            The link to the scheduler.
        """
        self._core = None
        self.link = link
        self._permit.open_session(link.peer.incarnation, self._read_now())
        self._unannounced = {
            event.request_id
            for event in self._requests.list_reserves(self._pool)
        }
        for fingerprint in self._quarantined:
            link.send(ttypes.Quarantine(fingerprint))

    def quarantine(self, fingerprint: int) -> None:
        """Store the hash of a content that crashes targets.

        It is passed on to the next scheduler or to the local core.

        Parameters
        ----------
        fingerprint : int
            Hash of the content. Beyond `MAX_QUARANTINED` hashes the oldest is
            dropped.
        """
        self._quarantined.pop(fingerprint, None)
        self._quarantined[fingerprint] = None
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.pop(next(iter(self._quarantined)))

    def detach(self, link: wire.Link) -> None:
        """Stop using a link that has closed.

        Parameters
        ----------
        link : Link
            The closed link.
        """
        if self.link is link:
            self.link = None
            self._link_lost_ms = self._read_now()

    def make_stamp(self) -> SessionStamp | None:
        """Make the stamp of a heartbeat.

        Returns
        -------
        SessionStamp or None
            The stamp, or None if no session is open.
        """
        return self._permit.make_heartbeat(self._read_now())

    def handle_heartbeat(self, heartbeat: SchedulerHeartbeat) -> None:
        """Process a heartbeat and announce the pending requests.

        Parameters
        ----------
        heartbeat : SchedulerHeartbeat
            The heartbeat received.
        """
        self._permit.handle_heartbeat(heartbeat, self._read_now())
        if self._unannounced:
            self._announce_pending()

    def accept_handover(self, handover: Handover) -> None:
        """End the session that the scheduler has handed over.

        Parameters
        ----------
        handover : Handover
            The message received.
        """
        self._permit.accept_handover(handover)

    def permit_dispatch(
        self,
        request_id: RequestId,
        stamp: LeaseStamp | None,
        valid_ms: float,
    ) -> bool:
        """Tell whether a request may be dispatched now.

        This consumes the permission: call it once per lease.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request.
        stamp : LeaseStamp or None
            Stamp of the scheduler's lease; None if this process granted the
            lease itself.
        valid_ms : float
            How long the lease is valid, in ms.

        Returns
        -------
        bool
            False if the request needs another lease.
        """
        now_ms = self._read_now()
        if stamp is None:
            return self._permit.allow_without_lease(request_id, now_ms)
        return self._permit.consume_lease(request_id, stamp, valid_ms, now_ms)

    def tick(
        self,
        configuration: Configuration,
        leaving: frozenset[str],
        entry_count: int,
    ) -> None:
        """Do periodic work; start the local core after a long disconnection.

        Parameters
        ----------
        configuration : Configuration
            The configuration in force.
        leaving : frozenset of str
            Names of the targets that get no new requests.
        entry_count : int
            Number of entries assumed to be alive, including this one.
        """
        if self.link is not None:
            self._announce_pending()
        elif self._core is not None:
            self._handle(decisions.TargetsLeaving(leaving))
            self._handle(decisions.Tick())
        elif self._read_now() - self._link_lost_ms >= ALONE_AFTER_MS:
            self._start_core(
                limit_to_share(configuration, entry_count), leaving
            )

    def _announce(self, event: decisions.Reserve) -> None:
        request_id = RequestId.parse(event.request_id)
        now_ms = self._read_now()
        stamp = None
        if self.link is not None:
            stamp = self._permit.announce(request_id, now_ms)
        if stamp is None:
            self._unannounced.add(event.request_id)
            return
        self._unannounced.discard(event.request_id)
        self.link.send(
            write_reserve(
                event,
                stamp,
                now_ms,
                dispatched=self._requests.was_dispatched(request_id),
            ),
        )

    def _announce_pending(self) -> None:
        if not self._unannounced:
            return
        waiting, self._unannounced = self._unannounced, set()
        for event in self._requests.list_reserves(self._pool):
            if event.request_id in waiting:
                self._announce(event)

    def _send_event(self, event: decisions.Event) -> None:
        stamp = None
        if _is_end(event):
            request_id = RequestId.parse(event.request_id)
            stamp = self._permit.release(request_id, self._read_now())
            self._unannounced.discard(event.request_id)
        if self.link is not None:
            self.link.send(write_event(event, stamp))

    def _start_core(
        self,
        configuration: Configuration,
        leaving: frozenset[str],
    ) -> None:
        self._core = decisions.policies.find('hornbeam')(self._pool, _SEED)
        self._handle(decisions.Configure(configuration))
        self._handle(decisions.TargetsLeaving(leaving))
        for fingerprint in self._quarantined:
            self._handle(decisions.Quarantine(fingerprint))
        for event in tuple(self._requests.list_reserves(self._pool)):
            self._handle(event)

    def _handle(self, event: decisions.Event) -> None:
        for action in self._core.handle(event, self._read_now()):
            self._requests.apply_action(action)


def _is_end(event: decisions.Event) -> bool:
    if isinstance(event, decisions.Release):
        return event.outcome not in _REQUEUED_OUTCOMES
    return isinstance(event, decisions.Withdraw)
