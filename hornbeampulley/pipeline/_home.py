"""The home of requests, which admits, dispatches and answers each once."""

import logging
from collections.abc import Iterable
from typing import Protocol

import trio

from hornbeampulley import decisions
from hornbeampulley.configuration import Configuration
from hornbeampulley.identity import (
    Admission,
    LeaseStamp,
    Ledger,
    RequestId,
    State,
)
from hornbeampulley.logs import log_event
from hornbeampulley.metrics import Metrics
from hornbeampulley.pipeline._admissions import refuse_admission
from hornbeampulley.pipeline._answers import Answer, decode_answer
from hornbeampulley.pipeline._problems import Problem, ProblemError
from hornbeampulley.pipeline._requests import IncomingRequest, Request
from hornbeampulley.pipeline._scheduler_client import SchedulerClient
from hornbeampulley.pipeline._targets import TargetClient

_log = logging.getLogger(__name__)


class FleetView(Protocol):
    """A home's view of the fleet."""

    configuration: Configuration
    leaving: frozenset[str]
    is_ready: bool

    def count_entries(self) -> int:
        """Count the entries that are assumed to be alive."""


class Home:
    """Holds the open requests of one entry process.

    An entry is the home of the request ids that it grants: it alone
    dispatches their requests.

    Parameters
    ----------
    ledger : Ledger
        Records the ids and answers of this home.
    view : FleetView
        Configuration and state of the fleet.
    client : TargetClient
        Client for calls to targets.
    metrics : Metrics
        Receives the counters and timings; not recorded if omitted.

    Attributes
    ----------
    is_draining : bool
        Whether new requests are refused.
    """

    def __init__(
        self,
        ledger: Ledger,
        view: FleetView,
        client: TargetClient,
        metrics: Metrics | None = None,
    ) -> None:
        self.ledger = ledger
        self.view = view
        self.client = client
        self.metrics = metrics or Metrics()
        self.clock = client.clock
        self.is_draining = False
        self._requests: dict[str, Request] = {}
        self._scheduler_clients: dict[str, SchedulerClient] = {}
        self._emptied = trio.Event()

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self.ledger.incarnation

    @property
    def open_count(self) -> int:
        """Number of open requests."""
        return len(self._requests)

    def admit(self, incoming: IncomingRequest) -> Request | Answer:
        """Admit a request, or return the answer of one admitted before.

        Parameters
        ----------
        incoming : IncomingRequest
            The caller's request.

        Returns
        -------
        Request or Answer
            A new request to run, or the answer of a request that is open or
            has a stored answer.

        Raises
        ------
        ProblemError
            If the request is refused.
        """
        if not incoming.id_text:
            return self._assign(incoming)
        request_id = RequestId.parse(incoming.id_text)
        now_ms = self.clock.now()
        admission = self.ledger.admit(request_id, incoming.workspace, now_ms)
        match admission:
            case Admission.NEW:
                return self._open(request_id, incoming)
            case Admission.RUNNING:
                return self._requests[str(request_id)].answer
            case Admission.KEPT:
                return decode_answer(self.ledger.find_answer(request_id))
        raise refuse_admission(admission)

    def close(self, request: Request) -> None:
        """Remove a request whose answer is complete.

        Parameters
        ----------
        request : Request
            A request that has ended in the ledger.
        """
        self._requests.pop(str(request.request_id), None)
        if not self._requests:
            self._emptied.set()

    def find(self, request_id: str) -> Request | None:
        """Find an open request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        Request or None
            The request, or None if no request with this id is open.
        """
        return self._requests.get(request_id)

    def find_scheduler_client(self, pool: str) -> SchedulerClient:
        """Return the scheduler client of a pool, created on first use.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        SchedulerClient
            The client that receives the pool's events.
        """
        if pool not in self._scheduler_clients:
            self._scheduler_clients[pool] = SchedulerClient(
                pool, self, self.clock.now
            )
        return self._scheduler_clients[pool]

    def cancel(self, request_id: str) -> bool:
        """Cancel an open request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        bool
            False if no request with this id is open.
        """
        request = self.find(request_id)
        if request is None:
            return False
        request.is_cancelled = True
        request.decided.set()
        if request.call is not None:
            request.call.scope.cancel()
        return True

    def list_reserves(self, pool: str) -> Iterable[decisions.Reserve]:
        """List a ``Reserve`` event for each open request of a pool.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Yields
        ------
        Reserve
            The event, which names the target if the request is running.
        """
        now_ms = self.clock.now()
        for request in self._requests.values():
            if request.pool == pool:
                yield request.to_reserve(self.incarnation, now_ms)

    def was_dispatched(self, request_id: RequestId) -> bool:
        """Tell whether an open request was ever dispatched.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.

        Returns
        -------
        bool
            True from just before the first byte is written to a target.
        """
        return self.ledger.find_state(request_id) is not State.WAITING

    def apply_action(
        self,
        action: decisions.Action,
        stamp: LeaseStamp | None = None,
    ) -> None:
        """Apply a decision of the scheduler to a request.

        Parameters
        ----------
        action : Action
            A lease, refusal or preemption. It is ignored if it arrives too
            late.
        stamp : LeaseStamp, optional
            Stamp of the lease, if a scheduler granted it.
        """
        match action:
            case decisions.Lease():
                self._apply_lease(action, stamp)
            case decisions.Refuse():
                self._apply_refusal(action)
            case decisions.Preempt():
                self._apply_preemption(action)

    def tick(self) -> None:
        """Do periodic work; call this a few times per second."""
        self.ledger.sweep(self.clock.now())
        for scheduler_client in self._scheduler_clients.values():
            scheduler_client.tick(
                self.view.configuration,
                self.view.leaving,
                self.view.count_entries(),
            )

    async def drain(self) -> None:
        """Refuse new requests and wait until none is open."""
        self.is_draining = True
        while self._requests:
            self._emptied = trio.Event()
            await self._emptied.wait()

    def _assign(self, incoming: IncomingRequest) -> Request:
        service = self.view.configuration.services.get(incoming.service)
        if service is not None and not service.repeatable:
            raise ProblemError(
                Problem(
                    400,
                    'id needed',
                    f'calls of service {service.name} may not be repeated; '
                    'ask /v1/entries for a lease of ids and send one',
                ),
            )
        now_ms = self.clock.now()
        request_id = self.ledger.assign(incoming.workspace, now_ms)
        return self._open(request_id, incoming)

    def _open(
        self, request_id: RequestId, incoming: IncomingRequest
    ) -> Request:
        now_ms = self.clock.now()
        request = Request(request_id, incoming, now_ms, Answer())
        self._requests[str(request_id)] = request
        log_event(
            _log,
            'request_admitted',
            request=request_id,
            workspace=incoming.workspace,
            service=incoming.service,
        )
        return request

    def _apply_lease(
        self,
        lease: decisions.Lease,
        stamp: LeaseStamp | None,
    ) -> None:
        request = self._requests.get(lease.request_id)
        if request is None or request.call is not None:
            log_event(_log, 'lease_unused', request=lease.request_id)
            return
        request.lease = lease
        request.lease_stamp = stamp
        request.decided.set()

    def _apply_refusal(self, refusal: decisions.Refuse) -> None:
        request = self._requests.get(refusal.request_id)
        if request is not None and request.call is None:
            request.refusal = refusal
            request.decided.set()

    def _apply_preemption(self, preemption: decisions.Preempt) -> None:
        request = self._requests.get(preemption.request_id)
        if request is not None and request.call is not None:
            request.call.stop()
