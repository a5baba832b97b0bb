"""What a home remembers of its request ids."""

import dataclasses
from typing import Final

from hornbeampulley.errors import (
    AlreadyDispatchedError,
    LedgerFullError,
    RequestStateError,
)
from hornbeampulley.identity._answers import Answers
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._states import Admission, Ran, State
from hornbeampulley.identity._window import Window

ID_LEASE_LIFETIME_MS: Final = 60_000.0
ANSWER_RETENTION_MS: Final = 120_000.0
ANSWERS_MAX_BYTES: Final = 4 * 1024 * 1024

_OPEN: Final = frozenset((State.WAITING, State.DISPATCHED))
_RAN: Final = {
    State.DONE: Ran.YES,
    State.REFUSED: Ran.NO,
}


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds on what a ledger grants and keeps.

    Attributes
    ----------
    lease_lifetime_ms : float
        How long new ids of an id lease are admitted.
    lease_count : int
        Ids of one id lease.
    window : int
        Counters of an id lease that are told apart.
    max_leases : int
        Id leases remembered for one workspace.
    max_open : int
        Requests waiting or dispatched.
    retention_ms : float
        How long a final answer is kept.
    max_answer_bytes : int
        Bound on all answers kept.
    """

    lease_lifetime_ms: float = ID_LEASE_LIFETIME_MS
    lease_count: int = 4096
    window: int = 1024
    max_leases: int = 1024
    max_open: int = 4096
    retention_ms: float = ANSWER_RETENTION_MS
    max_answer_bytes: int = ANSWERS_MAX_BYTES


DEFAULT_LIMITS: Final = LedgerLimits()


class _Lease:
    """An id lease granted by this ledger, and the ids used under it."""

    __slots__ = ('count', 'expires_ms', 'states', 'window', 'workspace')

    def __init__(
        self,
        workspace: str,
        expires_ms: float,
        limits: LedgerLimits,
    ) -> None:
        self.workspace = workspace
        self.expires_ms = expires_ms
        self.count = limits.lease_count
        self.window = Window(limits.window)
        self.states: dict[int, State] = {}


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
        self._leases: dict[int, _Lease] = {}
        self._lease_counts: dict[str, int] = {}
        self._own_ids: dict[str, RequestId] = {}
        self._answers = Answers(limits.retention_ms, limits.max_answer_bytes)
        self._next_lease = 1
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
        held = self._lease_counts.get(workspace, 0)
        if held >= self._limits.max_leases:
            raise LedgerFullError(
                f'workspace {workspace!r} holds {held} id leases here; use '
                'one lease for many requests, or ask another entry',
            )
        number = self._next_lease
        self._next_lease += 1
        self._lease_counts[workspace] = held + 1
        lifetime_ms = self._limits.lease_lifetime_ms
        self._leases[number] = _Lease(
            workspace,
            now_ms + lifetime_ms,
            self._limits,
        )
        return IdLease(
            self.incarnation,
            number,
            lifetime_ms,
            self._limits.lease_count,
        )

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
        lease = self._leases.get(request_id.lease)
        if lease is None:
            return self._judge_missing_lease(request_id)
        if lease.workspace != workspace:
            return Admission.WRONG_WORKSPACE
        if lease.window.is_used(request_id.counter):
            return self._judge_used(request_id, lease)
        return self._admit_unused(request_id, lease, now_ms)

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
            If too many requests are open.
        """
        request_id = self._form_own_id(workspace, now_ms)
        admission = self.admit(request_id, workspace, now_ms)
        if admission is not Admission.NEW:
            raise LedgerFullError(
                f'{self._open_count} requests are open at this entry; ask '
                '/v1/entries for another one',
            )
        self._own_ids[workspace] = request_id
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
    ) -> None:
        """End a dispatched request whose target answered.

        Parameters
        ----------
        request_id : RequestId
            A dispatched request.
        answer : bytes
            The whole answer, kept for a while.
        now_ms : float
            The current time at this home.

        Raises
        ------
        RequestStateError
            If the request is not dispatched.
        """
        self._require(request_id, State.DISPATCHED)
        self._end(request_id, State.DONE, answer, now_ms)

    def fail(
        self,
        request_id: RequestId,
        answer: bytes,
        now_ms: float,
    ) -> None:
        """End a dispatched request whose outcome is not known.

        Parameters
        ----------
        request_id : RequestId
            A dispatched request.
        answer : bytes
            The answer that says so, kept for a while.
        now_ms : float
            The current time at this home.

        Raises
        ------
        RequestStateError
            If the request is not dispatched.
        """
        self._require(request_id, State.DISPATCHED)
        self._end(request_id, State.UNKNOWN, answer, now_ms)

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
        if request_id.incarnation != self.incarnation:
            return None
        lease = self._leases.get(request_id.lease)
        return None if lease is None else lease.states.get(request_id.counter)

    def find_ran(self, request_id: RequestId, now_ms: float) -> Ran:
        """Tell whether a request ran, so that it stays true for ever.

        Parameters
        ----------
        request_id : RequestId
            Any id.
        now_ms : float
            The current time at this home.

        Returns
        -------
        Ran
            ``NO`` only if it did not run and never will.
        """
        state = self.find_state(request_id)
        if state is not None:
            return _RAN.get(state, Ran.UNKNOWN)
        if request_id.incarnation != self.incarnation:
            return Ran.UNKNOWN
        lease = self._leases.get(request_id.lease)
        if lease is None or now_ms < lease.expires_ms:
            return Ran.UNKNOWN
        used = lease.window.is_used(request_id.counter)
        return Ran.UNKNOWN if used else Ran.NO

    def sweep(self, now_ms: float) -> None:
        """Drop expired answers and the id leases that are of no more use.

        Parameters
        ----------
        now_ms : float
            The current time at this home.
        """
        self._forget(self._answers.drop_expired(now_ms))
        retained_ms = now_ms - self._limits.retention_ms
        for number, lease in tuple(self._leases.items()):
            if lease.expires_ms > retained_ms:
                break
            if not lease.states:
                self._drop_lease(number)

    def _judge_missing_lease(self, request_id: RequestId) -> Admission:
        if 0 < request_id.lease < self._next_lease:
            return Admission.HANDLED
        return Admission.UNKNOWN_LEASE

    def _judge_used(self, request_id: RequestId, lease: _Lease) -> Admission:
        state = lease.states.get(request_id.counter)
        if state is None:
            return Admission.HANDLED
        return Admission.RUNNING if state in _OPEN else Admission.KEPT

    def _admit_unused(
        self,
        request_id: RequestId,
        lease: _Lease,
        now_ms: float,
    ) -> Admission:
        if request_id.counter >= lease.count:
            return Admission.UNKNOWN_LEASE
        if now_ms >= lease.expires_ms:
            return Admission.EXPIRED_LEASE
        if self._open_count >= self._limits.max_open:
            return Admission.WINDOW_FULL
        lease.window.use(request_id.counter)
        lease.states[request_id.counter] = State.WAITING
        self._open_count += 1
        return Admission.NEW

    def _form_own_id(self, workspace: str, now_ms: float) -> RequestId:
        last = self._own_ids.get(workspace)
        if last is not None:
            lease = self._leases.get(last.lease)
            following = dataclasses.replace(last, counter=last.counter + 1)
            if lease is not None and now_ms < lease.expires_ms:
                if following.counter < lease.count:
                    return following
        return self.grant(workspace, now_ms).form(0)

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
        self._leases[request_id.lease].states[request_id.counter] = state

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
            self._leases[request_id.lease].states.pop(request_id.counter)

    def _drop_lease(self, number: int) -> None:
        workspace = self._leases.pop(number).workspace
        remaining = self._lease_counts[workspace] - 1
        self._lease_counts[workspace] = remaining
        if not remaining:
            self._lease_counts.pop(workspace)
            self._own_ids.pop(workspace, None)
