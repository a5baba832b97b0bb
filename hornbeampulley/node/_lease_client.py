"""Client of a home for the schedulers that own the pools."""

import dataclasses
import itertools
import logging
from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.clock import Clock
from hornbeampulley.identity import RequestId, SessionStamp
from hornbeampulley.logs import log_event
from hornbeampulley.node._load_reports import (
    read_load_report,
    write_load_report,
)
from hornbeampulley.node._mesh import Mesh
from hornbeampulley.node._owners import OwnerFinder
from hornbeampulley.node._reservations import Reservation
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._stream_origin_messages import write_stream_origins
from hornbeampulley.node._stream_origins import StreamOrigin
from hornbeampulley.node.dialect import ResponseMetadata
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    write_event,
    write_reserve,
    write_target_signals,
)

_NO_STAMP: Final = SessionStamp('', 0, 0, 0, '')
_log = logging.getLogger(__name__)


class LeaseClient:
    """Announces requests to the owners of their pools and receives leases.

    The owner of a pool is the highest-ranked node that can be reached; this
    node acts as the owner if no other can. If the owner changes, the open
    reservations move to the new one. While a link to an owner is being
    opened, reservations wait without an owner.

    Parameters
    ----------
    owners : OwnerFinder
        Finds the owner of a pool.
    mesh : Mesh
        Links to the other nodes.
    scheduling : Scheduling
        Scheduler of this node.
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self,
        owners: OwnerFinder,
        mesh: Mesh,
        scheduling: Scheduling,
        clock: Clock,
    ) -> None:
        self._finder = owners
        self._mesh = mesh
        self._scheduling = scheduling
        self._clock = clock
        self._numbers = itertools.count()
        self._reservations: dict[str, Reservation] = {}
        self._owners: dict[str, str] = {}

    @property
    def own_incarnation(self) -> str:
        """Incarnation of this node."""
        return self._finder.own_incarnation

    @property
    def open_count(self) -> int:
        """Number of reservations."""
        return len(self._reservations)

    @property
    def is_idle(self) -> bool:
        """Whether there are no reservations and no owners to keep links to."""
        return not (self._reservations or self._finder.is_used)

    def make_id(self) -> str:
        """Return a new id for a reservation.

        Returns
        -------
        str
            Id that is unique over all nodes.
        """
        return str(RequestId(self.own_incarnation, 0, next(self._numbers)))

    def reserve(
        self,
        event: decisions.Reserve,
        opened_ms: float,
    ) -> Reservation:
        """Request a lease.

        Parameters
        ----------
        event : Reserve
            The request, with an id from `make_id`.
        opened_ms : float
            Time when the request began to wait, in ms.

        Returns
        -------
        Reservation
            Its event `decided` is set once the scheduler has decided.
        """
        reservation = Reservation(event, opened_ms)
        self._reservations[event.request_id] = reservation
        owner = self._find_owner(reservation.pool, is_used=True)
        self._announce(reservation, owner)
        return reservation

    def report_progress(
        self, reservation: Reservation, first_ms: float
    ) -> None:
        """Report that a running request has produced its first token.

        Parameters
        ----------
        reservation : Reservation
            The running request.
        first_ms : float
            Time from dispatch to the first token, in ms.
        """
        self._send_to_owner(
            reservation,
            decisions.Progress(reservation.reserve.request_id, 1, first_ms),
        )

    def release(
        self, reservation: Reservation, event: decisions.Release
    ) -> None:
        """Report the end of a lease.

        Parameters
        ----------
        reservation : Reservation
            The request that held the lease.
        event : Release
            Outcome of the request.
        """
        self._reservations.pop(event.request_id, None)
        self._send_to_owner(reservation, event)

    def withdraw(self, reservation: Reservation) -> None:
        """Withdraw a waiting request, or return its lease.

        Parameters
        ----------
        reservation : Reservation
            Request without a finished attempt.
        """
        request_id = reservation.reserve.request_id
        self._reservations.pop(request_id, None)
        event: decisions.Event = decisions.Withdraw(request_id)
        if reservation.lease is not None:
            event = decisions.Release(request_id, decisions.Outcome.CANCELLED)
        self._send_to_owner(reservation, event)

    def report_target(
        self,
        target: str,
        load: ResponseMetadata | None,
        *,
        is_down: bool = False,
    ) -> None:
        """Report the load or failure of a target to the owner of its pool.

        Parameters
        ----------
        target : str
            Name of the target.
        load : ResponseMetadata or None
            What the target has just reported of its load.
        is_down : bool
            Whether the target can't be connected to.
        """
        message = write_load_report(target, load, is_down=is_down)
        owner = self._get_target_owner(target)
        if owner == self.own_incarnation:
            self.handle_report(message)
        else:
            self._send_message(owner, message)

    def report_signals(self, signals: decisions.TargetSignals) -> None:
        """Report what a target has said of itself to the owner of its pool.

        Parameters
        ----------
        signals : TargetSignals
            News of a target.
        """
        owner = self._get_target_owner(signals.target)
        if owner != self.own_incarnation:
            self._send_message(owner, write_target_signals(signals))

    def report_stream(self, pool: str, origin: StreamOrigin) -> None:
        """Tell where a stream began to the nodes that may own its pool next.

        What is sent before there is a link is told once the link is ready.

        Parameters
        ----------
        pool : str
            Pool that serves it.
        origin : StreamOrigin
            The stream and its software version.
        """
        self._scheduling.keep_origin(origin)
        message = write_stream_origins((origin,))
        for keeper in self._finder.list_keepers(f'pool/{pool}'):
            self._send_message(keeper, message)

    def find_software(self, stream: int) -> str | None:
        """Return the version that began a stream, if this node knows it.

        Parameters
        ----------
        stream : int
            Name of the stream.

        Returns
        -------
        str or None
            None if the owner of the pool has to be asked.
        """
        return self._scheduling.origins.find(stream)

    def handle_report(self, message: ttypes.TargetReport) -> None:
        """Pass a report about a target to the scheduler of this node.

        Parameters
        ----------
        message : ttypes.TargetReport
            Report of this node or of a peer.
        """
        pool = self._scheduling.find_target_pool(message.target)
        self._scheduling.handle_report(pool, read_load_report(message))

    def handle_action(self, action: decisions.Action, source: str) -> None:
        """Apply a decision of a scheduler.

        A lease for a request that no longer waits is returned at once.

        Parameters
        ----------
        action : Lease, Refuse or Preempt
            The decision.
        source : str
            Incarnation of the scheduler that decided.
        """
        reservation = self._reservations.get(action.request_id)
        if reservation is None or reservation.lease is not None:
            log_event(_log, 'lease_unused', request=action.request_id)
            if isinstance(action, decisions.Lease):
                ended = decisions.Outcome.CANCELLED
                release = decisions.Release(action.request_id, ended)
                self._send_event(source, release)
            return
        match action:
            case decisions.Lease():
                reservation.lease = action
            case decisions.Refuse():
                reservation.refusal = action
                self._reservations.pop(action.request_id)
            case _:
                return
        reservation.decided.set()

    def update_owners(self) -> None:
        """Keep links to the owners, and move requests to new owners."""
        self._finder.keep_links()
        self._move_to_current_owners()

    def handle_link_ready(self) -> None:
        """Move requests to a scheduler to which a link has been opened."""
        self._move_to_current_owners()

    def handle_scheduler_lost(self, incarnation: str) -> None:
        """Announce the requests of a lost scheduler to its successor.

        Parameters
        ----------
        incarnation : str
            Incarnation of the lost scheduler.
        """
        for reservation in tuple(self._reservations.values()):
            if reservation.owner == incarnation:
                owner = self._find_owner(reservation.pool)
                self._announce(reservation, owner)

    def _move_to_current_owners(self) -> None:
        pools = {one.pool for one in self._reservations.values()}
        owners = {pool: self._find_owner(pool) for pool in pools}
        for reservation in tuple(self._reservations.values()):
            owner = owners[reservation.pool]
            if owner and owner != reservation.owner:
                self._move(reservation, owner)

    def _move(self, reservation: Reservation, owner: str) -> None:
        if not reservation.owner:
            self._announce(reservation, owner)
            return
        request_id = reservation.reserve.request_id
        if reservation.lease is None:
            self._send_to_owner(reservation, decisions.Withdraw(request_id))
        else:
            ended = decisions.Outcome.CANCELLED
            self._send_to_owner(
                reservation, decisions.Release(request_id, ended)
            )
        self._assign_new_id(reservation)
        self._announce(reservation, owner)

    def _assign_new_id(self, reservation: Reservation) -> None:
        """Assign a new id, since a scheduler ignores ids that have ended."""
        self._reservations.pop(reservation.reserve.request_id)
        reservation.reserve = dataclasses.replace(
            reservation.reserve,
            request_id=self.make_id(),
        )
        self._reservations[reservation.reserve.request_id] = reservation

    def _find_owner(self, pool: str, *, is_used: bool = False) -> str:
        """Find the owner of a pool; empty while a link is being opened."""
        key = f'pool/{pool}'
        find = self._finder.use if is_used else self._finder.find
        owner = find(key) or ''
        if owner and self._owners.get(pool) != owner:
            log_event(_log, 'owner_chosen', pool=pool, owner=owner)
            self._owners[pool] = owner
        return owner

    def _announce(self, reservation: Reservation, owner: str) -> None:
        reservation.owner = owner
        if not owner:
            return
        now_ms = self._clock.now()
        event = dataclasses.replace(
            reservation.reserve,
            target=reservation.lease.target if reservation.lease else '',
            waited_ms=now_ms - reservation.opened_ms,
        )
        self._send_event(owner, event)

    def _send_to_owner(
        self, reservation: Reservation, event: decisions.Event
    ) -> None:
        self._send_event(reservation.owner, event)

    def _send_event(self, owner: str, event: decisions.Event) -> None:
        if not owner:
            return
        if owner == self.own_incarnation:
            self._scheduling.handle_event(event)
            return
        self._send_message(owner, self._encode(event))

    def _get_target_owner(self, target: str) -> str:
        pool = self._scheduling.find_target_pool(target)
        return self._owners.get(pool, self.own_incarnation)

    def _send_message(self, owner: str, message: Any) -> None:
        link = self._mesh.get_link(owner)
        if link is not None:
            link.send(message)

    def _encode(self, event: decisions.Event) -> Any:
        if isinstance(event, decisions.Reserve):
            return write_reserve(event, _NO_STAMP, self._clock.now())
        return write_event(event)
