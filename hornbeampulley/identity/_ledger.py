"""What a home remembers of its request ids."""

from typing import Final

from hornbeampulley.errors import (
    AlreadyDispatchedError,
    LedgerFullError,
    RequestStateError,
)
from hornbeampulley.identity._answers import Answers
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._leases import (
    DEFAULT_LIMITS,
    GrantedLeases,
    LedgerLimits,
)
from hornbeampulley.identity._states import Admission, Executed, State

_ENDS: Final = {
    Executed.NO: State.REFUSED,
    Executed.YES: State.DONE,
    Executed.UNKNOWN: State.UNKNOWN,
}
_RAN: Final = {
    State.DONE: Executed.YES,
    State.REFUSED: Executed.NO,
}


class Ledger:
    """Admits each request id of one home at most once.

    A home asks it before every step of a request: it admits ids, records that
    a request is about to be dispatched, and keeps final answers for a while.
    Memory follows open requests and kept answers, not history.

    Parameters
    ----------
    incarnation : str
        Incarnation of this home.
    limits : LedgerLimits
        Bounds on what it grants and keeps.
    """

    def __init__(
        self,
        incarnation: str,
        limits: LedgerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.incarnation = incarnation
        self._limits = limits
        self._leases = GrantedLeases(incarnation, limits)
        self._answers = Answers(limits.retention_ms, limits.max_answer_bytes)
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of requests waiting or dispatched."""
        return self._open_count

    @property
    def lease_count(self) -> int:
        """Number of id leases remembered."""
        return len(self._leases)

    @property
    def answer_bytes(self) -> int:
        """Bytes of all answers kept."""
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
            The lease.

        Raises
        ------
        LedgerFullError
            If the workspace holds too many leases.
        """
        return self._leases.grant(workspace, now_ms)

    def admit(
        self,
        request_id: RequestId,
        workspace: str,
        now_ms: float,
    ) -> Admission:
        """Decide what to do with a request id; a new one starts to wait.

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
            What to do with the request.
        """
        if request_id.incarnation != self.incarnation:
            return Admission.FOREIGN
        lease = self._leases.find(request_id.lease)
        if lease is None:
            return self._judge_missing_lease(request_id)
        if lease.workspace != workspace:
            return Admission.WRONG_WORKSPACE
        admission = lease.judge(request_id.counter, now_ms)
        if admission is not Admission.NEW:
            return admission
        if self._open_count >= self._limits.max_open:
            return Admission.WINDOW_FULL
        lease.use(request_id.counter)
        self._open_count += 1
        return Admission.NEW

    def find_workspace(self, request_id: RequestId) -> str | None:
        """Return the workspace that an id was granted to.

        Parameters
        ----------
        request_id : RequestId
            Any id.

        Returns
        -------
        str or None
            None if its id lease is not remembered here.
        """
        if request_id.incarnation != self.incarnation:
            return None
        lease = self._leases.find(request_id.lease)
        return None if lease is None else lease.workspace

    def assign(self, workspace: str, now_ms: float) -> RequestId:
        """Assign an id to a caller that sent none; it starts to wait.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        now_ms : float
            The current time at this home.

        Returns
        -------
        RequestId
            A new id, admitted already.

        Raises
        ------
        LedgerFullError
            If too many requests or id leases are open.
        """
        if self._open_count >= self._limits.max_open:
            raise LedgerFullError(
                f'{self._open_count} requests are open at this entry; ask '
                '/v1/entries for another one',
            )
        request_id = self._leases.form_own(workspace, now_ms)
        self.admit(request_id, workspace, now_ms)
        return request_id

    def mark_dispatched(self, request_id: RequestId) -> None:
        """Record a dispatch; call it before the first byte is written.

        Parameters
        ----------
        request_id : RequestId
            A waiting request.

        Raises
        ------
        AlreadyDispatchedError
            If it was dispatched or ended before.
        RequestStateError
            If it was never admitted or is forgotten.
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
        ran: Executed = Executed.YES,
    ) -> None:
        """End a dispatched request.

        Parameters
        ----------
        request_id : RequestId
            A dispatched request.
        answer : bytes
            The whole answer, kept for a while.
        now_ms : float
            The current time at this home.
        ran : Executed
            Whether it ran; ``NO`` only if the target's answer proves it.

        Raises
        ------
        RequestStateError
            If the request is not dispatched.
        """
        self._require(request_id, State.DISPATCHED)
        self._end(request_id, _ENDS[ran], answer, now_ms)

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
            A waiting request.
        answer : bytes
            The refusal, kept for a while.
        now_ms : float
            The current time at this home.

        Raises
        ------
        RequestStateError
            If the request is not waiting.
        """
        self._require(request_id, State.WAITING)
        self._end(request_id, State.REFUSED, answer, now_ms)

    def find_answer(self, request_id: RequestId) -> bytes | None:
        """Return the answer kept for an id.

        Parameters
        ----------
        request_id : RequestId
            Any id.

        Returns
        -------
        bytes or None
            The answer, or None if none is kept.
        """
        return self._answers.find(request_id)

    def find_state(self, request_id: RequestId) -> State | None:
        """Return the state of an id.

        Parameters
        ----------
        request_id : RequestId
            Any id.

        Returns
        -------
        State or None
            The state, or None if the id is neither open nor kept.
        """
        states = self._leases.find_states(request_id)
        return states.get(request_id.counter)

    def find_ran(self, request_id: RequestId, now_ms: float) -> Executed:
        """Tell whether a request ran, so that it stays true for ever.

        Parameters
        ----------
        request_id : RequestId
            Any id.
        now_ms : float
            The current time at this home.

        Returns
        -------
        Executed
            ``NO`` only if it did not run and never will.
        """
        state = self.find_state(request_id)
        if state is not None:
            return _RAN.get(state, Executed.UNKNOWN)
        if request_id.incarnation != self.incarnation:
            return Executed.UNKNOWN
        lease = self._leases.find(request_id.lease)
        if lease is None or lease.is_open(now_ms):
            return Executed.UNKNOWN
        used = lease.window.is_used(request_id.counter)
        return Executed.UNKNOWN if used else Executed.NO

    def sweep(self, now_ms: float) -> None:
        """Drop expired answers and the id leases that are of no more use.

        Parameters
        ----------
        now_ms : float
            The current time at this home.
        """
        self._forget(self._answers.drop_expired(now_ms))
        self._leases.drop_idle(now_ms - self._limits.retention_ms)

    def _judge_missing_lease(self, request_id: RequestId) -> Admission:
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

    def _require(self, request_id: RequestId, needed: State) -> None:
        state = self._find_open_state(request_id)
        if state is not needed:
            raise RequestStateError(
                f'request {request_id} is {state.value}, not {needed.value}; '
                'end a request once, and refuse it only before its dispatch',
            )

    def _set_state(self, request_id: RequestId, state: State) -> None:
        states = self._leases.find_states(request_id)
        states[request_id.counter] = state

    def _end(
        self,
        request_id: RequestId,
        state: State,
        answer: bytes,
        now_ms: float,
    ) -> None:
        self._set_state(request_id, state)
        self._open_count -= 1
        self._forget(self._answers.keep(request_id, answer, now_ms))

    def _forget(self, request_ids: tuple[RequestId, ...]) -> None:
        for request_id in request_ids:
            states = self._leases.find_states(request_id)
            states.pop(request_id.counter)
