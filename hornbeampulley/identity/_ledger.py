"""A home's record of its request ids and their answers.

A home is the entry that a request id belongs to, which alone dispatches it.
"""

from typing import Final

from hornbeampulley.errors import (
    AlreadyDispatchedError,
    LedgerFullError,
    RequestStateError,
)
from hornbeampulley.identity._answers import AnswerCache
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._leases import (
    DEFAULT_LIMITS,
    GrantedLeases,
    LedgerLimits,
)
from hornbeampulley.identity._states import Admission, Executed, State

_STATE_BY_EXECUTED: Final = {
    Executed.NO: State.REFUSED,
    Executed.YES: State.DONE,
    Executed.UNKNOWN: State.UNKNOWN,
}
_EXECUTED_BY_STATE: Final = {
    State.DONE: Executed.YES,
    State.REFUSED: Executed.NO,
}


class Ledger:
    """Admits each request id of one home at most once.

    A home updates it before every step of a request: it admits ids, records
    that a request is about to be dispatched, and stores final answers for a
    limited time. Its memory use grows with the open requests and the stored
    answers, not with the number of requests ever handled.

    Parameters
    ----------
    incarnation : str
        Incarnation of this home.
    limits : LedgerLimits
        Limits on what it grants and stores.
    """

    def __init__(
        self,
        incarnation: str,
        limits: LedgerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.incarnation = incarnation
        self._limits = limits
        self._leases = GrantedLeases(incarnation, limits)
        self._answers = AnswerCache(
            limits.retention_ms, limits.max_answer_bytes
        )
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of open requests (waiting or dispatched)."""
        return self._open_count

    @property
    def lease_count(self) -> int:
        """Number of stored id leases."""
        return len(self._leases)

    @property
    def answer_bytes(self) -> int:
        """Total size of the stored answers, overhead included."""
        return self._answers.size_bytes

    def grant(self, workspace: str, now_ms: float) -> IdLease:
        """Grant an id lease to a caller.

        Parameters
        ----------
        workspace : str
            Workspace of the caller; no other can use the lease.
        now_ms : float
            The current time at this home.

        Returns
        -------
        IdLease
            The new lease.

        Raises
        ------
        LedgerFullError
            If the workspace has reached its limit of leases.
        """
        return self._leases.grant(workspace, now_ms)

    def admit(
        self,
        request_id: RequestId,
        workspace: str,
        now_ms: float,
    ) -> Admission:
        """Decide what to do with a request id; a new one becomes waiting.

        Parameters
        ----------
        request_id : RequestId
            The id that the caller sent.
        workspace : str
            Workspace of the caller.
        now_ms : float
            The current time at this home.

        Returns
        -------
        Admission
            How to handle the request.
        """
        if request_id.incarnation != self.incarnation:
            return Admission.FOREIGN
        lease = self._leases.find(request_id.lease)
        if lease is None:
            return self._classify_missing_lease(request_id)
        if lease.workspace != workspace:
            return Admission.WRONG_WORKSPACE
        admission = lease.classify(request_id.counter, now_ms)
        if admission is not Admission.NEW:
            return admission
        if self._open_count >= self._limits.max_open:
            return Admission.WINDOW_FULL
        lease.mark_used(request_id.counter)
        self._open_count += 1
        return Admission.NEW

    def find_workspace(self, request_id: RequestId) -> str | None:
        """Return the workspace that an id lease was granted to.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.

        Returns
        -------
        str or None
            The workspace, or None if the id's lease is not stored here.
        """
        if request_id.incarnation != self.incarnation:
            return None
        lease = self._leases.find(request_id.lease)
        return None if lease is None else lease.workspace

    def assign(self, workspace: str, now_ms: float) -> RequestId:
        """Assign an id to a request without one and mark it as waiting.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        now_ms : float
            The current time at this home.

        Returns
        -------
        RequestId
            A new id, already admitted.

        Raises
        ------
        LedgerFullError
            If there are too many open requests or id leases.
        """
        if self._open_count >= self._limits.max_open:
            raise LedgerFullError(
                f'{self._open_count} requests are open at this entry; ask '
                '/v1/entries for another one',
            )
        request_id = self._leases.make_own_id(workspace, now_ms)
        self.admit(request_id, workspace, now_ms)
        return request_id

    def mark_dispatched(self, request_id: RequestId) -> None:
        """Record a dispatch; call before writing the first byte.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request.

        Raises
        ------
        AlreadyDispatchedError
            If the request was already dispatched or has ended.
        RequestStateError
            If it was never admitted or has been removed.
        """
        state = self._find_open_state(request_id)
        if state is not State.WAITING:
            raise AlreadyDispatchedError(
                f'request {request_id} is {state.value}; a request is '
                'dispatched once: answer from its state instead',
            )
        self._set_state(request_id, State.DISPATCHED)

    def finish(
        self,
        request_id: RequestId,
        answer: bytes,
        now_ms: float,
        executed: Executed = Executed.YES,
    ) -> None:
        """End a dispatched request.

        Parameters
        ----------
        request_id : RequestId
            Id of a dispatched request.
        answer : bytes
            The complete answer, stored for the retention time.
        now_ms : float
            The current time at this home.
        executed : Executed
            Whether it was executed; ``NO`` only if the target's answer proves
            it.

        Raises
        ------
        RequestStateError
            If the request is not dispatched.
        """
        self._require_state(request_id, State.DISPATCHED)
        self._end_request(
            request_id, _STATE_BY_EXECUTED[executed], answer, now_ms
        )

    def refuse(
        self,
        request_id: RequestId,
        answer: bytes,
        now_ms: float,
    ) -> None:
        """End a waiting request that will not be dispatched.

        Parameters
        ----------
        request_id : RequestId
            Id of a waiting request.
        answer : bytes
            The refusal, stored for the retention time.
        now_ms : float
            The current time at this home.

        Raises
        ------
        RequestStateError
            If the request is not waiting.
        """
        self._require_state(request_id, State.WAITING)
        self._end_request(request_id, State.REFUSED, answer, now_ms)

    def find_answer(self, request_id: RequestId) -> bytes | None:
        """Return the stored answer of a request.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.

        Returns
        -------
        bytes or None
            The answer, or None if none is stored.
        """
        return self._answers.find(request_id)

    def find_state(self, request_id: RequestId) -> State | None:
        """Return the state of a request.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.

        Returns
        -------
        State or None
            The state, or None if the request is not open and has no stored
            answer.
        """
        states = self._leases.find_states(request_id)
        return states.get(request_id.counter)

    def find_executed(self, request_id: RequestId, now_ms: float) -> Executed:
        """Tell whether a request was executed.

        ``YES`` and ``NO`` stay true for ever, even if a later call returns
        ``UNKNOWN`` because the record has been removed.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.
        now_ms : float
            The current time at this home.

        Returns
        -------
        Executed
            ``NO`` only if it was not executed and never will be.
        """
        state = self.find_state(request_id)
        if state is not None:
            return _EXECUTED_BY_STATE.get(state, Executed.UNKNOWN)
        if request_id.incarnation != self.incarnation:
            return Executed.UNKNOWN
        lease = self._leases.find(request_id.lease)
        if lease is None or lease.is_open(now_ms):
            return Executed.UNKNOWN
        used = lease.window.is_used(request_id.counter)
        return Executed.UNKNOWN if used else Executed.NO

    def sweep(self, now_ms: float) -> None:
        """Remove expired answers and the id leases no longer needed.

        Parameters
        ----------
        now_ms : float
            The current time at this home.
        """
        self._remove_states(self._answers.drop_expired(now_ms))
        self._leases.drop_idle(now_ms - self._limits.retention_ms)

    def _classify_missing_lease(self, request_id: RequestId) -> Admission:
        if self._leases.is_granted(request_id.lease):
            return Admission.HANDLED
        return Admission.UNKNOWN_LEASE

    def _find_open_state(self, request_id: RequestId) -> State:
        state = self.find_state(request_id)
        if state is None:
            raise RequestStateError(
                f'request {request_id} is not held by this entry; admit it '
                'before any other step',
            )
        return state

    def _require_state(self, request_id: RequestId, needed: State) -> None:
        state = self._find_open_state(request_id)
        if state is not needed:
            raise RequestStateError(
                f'request {request_id} is {state.value}, not {needed.value}; '
                'end a request once, and refuse it only before its dispatch',
            )

    def _set_state(self, request_id: RequestId, state: State) -> None:
        states = self._leases.find_states(request_id)
        states[request_id.counter] = state

    def _end_request(
        self,
        request_id: RequestId,
        state: State,
        answer: bytes,
        now_ms: float,
    ) -> None:
        self._set_state(request_id, state)
        self._open_count -= 1
        self._remove_states(self._answers.store(request_id, answer, now_ms))

    def _remove_states(self, request_ids: tuple[RequestId, ...]) -> None:
        for request_id in request_ids:
            states = self._leases.find_states(request_id)
            states.pop(request_id.counter)
