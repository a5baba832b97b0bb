"""The id leases that a home has granted, and their limits."""

import dataclasses
from typing import Final

from hornbeampulley.errors import LedgerFullError
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._states import Admission, State
from hornbeampulley.identity._window import Window


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits on what a ledger grants and stores.

    Attributes
    ----------
    lease_lifetime_ms : float
        How long an id lease admits new ids.
    lease_count : int
        Number of ids in one id lease.
    window : int
        Number of the latest counters of an id lease that are tracked
        individually; all lower ones count as used.
    max_leases : int
        Highest number of id leases per workspace.
    max_open : int
        Highest number of open requests (waiting or dispatched).
    retention_ms : float
        How long a final answer is stored.
    max_answer_bytes : int
        Highest total size of the stored answers.
    """

    lease_lifetime_ms: float = 60_000
    lease_count: int = 4096
    window: int = 1024
    max_leases: int = 1024
    max_open: int = 4096
    retention_ms: float = 120_000
    max_answer_bytes: int = 4 * 1024 * 1024


DEFAULT_LIMITS: Final = LedgerLimits()
_OPEN: Final = frozenset((State.WAITING, State.DISPATCHED))


class GrantedLease:
    """A home's record of an id lease that it granted.

    Parameters
    ----------
    workspace : str
        Workspace that may use it.
    expires_ms : float
        Time at which the lease stops admitting new ids.
    limits : LedgerLimits
        Limits on the number of ids and the window.

    Attributes
    ----------
    window : Window
        The counters that were used.
    states : dict
        Maps counters to states, for requests that are open or whose answer is
        stored.
    """

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

    def is_open(self, now_ms: float) -> bool:
        """Tell whether the lease admits new ids.

        Parameters
        ----------
        now_ms : float
            The current time in ms.

        Returns
        -------
        bool
            False once the lease has expired.
        """
        return now_ms < self.expires_ms

    def classify(self, counter: int, now_ms: float) -> Admission:
        """Classify an id of this lease for admission.

        Parameters
        ----------
        counter : int
            The id's counter.
        now_ms : float
            The current time in ms.

        Returns
        -------
        Admission
            ``NEW`` if the counter may be used now.
        """
        if self.window.is_used(counter):
            return self._classify_used(counter)
        if counter >= self.count:
            return Admission.UNKNOWN_LEASE
        if not self.is_open(now_ms):
            return Admission.EXPIRED_LEASE
        return Admission.NEW

    def mark_used(self, counter: int) -> None:
        """Mark a counter as used and its request as waiting.

        Parameters
        ----------
        counter : int
            A counter that ``classify`` reports as ``NEW``.
        """
        self.window.mark_used(counter)
        self.states[counter] = State.WAITING

    def _classify_used(self, counter: int) -> Admission:
        state = self.states.get(counter)
        if state is None:
            return Admission.HANDLED
        return Admission.RUNNING if state in _OPEN else Admission.KEPT


class GrantedLeases:
    """The id leases that a home stores, ordered by expiry.

    Parameters
    ----------
    incarnation : str
        Incarnation of the home.
    limits : LedgerLimits
        Limits on the size and number of leases.
    """

    __slots__ = (
        '_counts_by_workspace',
        '_incarnation',
        '_leases',
        '_limits',
        '_next_number',
        '_own_leases',
    )

    def __init__(self, incarnation: str, limits: LedgerLimits) -> None:
        self._incarnation = incarnation
        self._limits = limits
        self._leases: dict[int, GrantedLease] = {}
        self._counts_by_workspace: dict[str, int] = {}
        self._own_leases: dict[str, IdLease] = {}
        self._next_number = 1

    def __len__(self) -> int:
        return len(self._leases)

    def grant(self, workspace: str, now_ms: float) -> IdLease:
        """Grant an id lease.

        Parameters
        ----------
        workspace : str
            Workspace that may use it.
        now_ms : float
            The current time in ms.

        Returns
        -------
        IdLease
            The new lease.

        Raises
        ------
        LedgerFullError
            If the workspace has reached its limit of leases.
        """
        held = self._counts_by_workspace.get(workspace, 0)
        if held >= self._limits.max_leases:
            raise LedgerFullError(
                f'workspace {workspace!r} holds {held} id leases here; use '
                'one lease for many requests, or ask another entry',
            )
        lifetime_ms = self._limits.lease_lifetime_ms
        number = self._next_number
        self._next_number += 1
        self._counts_by_workspace[workspace] = held + 1
        self._leases[number] = GrantedLease(
            workspace,
            now_ms + lifetime_ms,
            self._limits,
        )
        count = self._limits.lease_count
        return IdLease(self._incarnation, number, lifetime_ms, count)

    def find(self, number: int) -> GrantedLease | None:
        """Return the record of a lease.

        Parameters
        ----------
        number : int
            Number of the lease.

        Returns
        -------
        GrantedLease or None
            The record, or None if the lease was never granted or has been
            removed.
        """
        return self._leases.get(number)

    def find_states(self, request_id: RequestId) -> dict[int, State]:
        """Return the states of the requests under the lease of an id.

        Parameters
        ----------
        request_id : RequestId
            Id of any request.

        Returns
        -------
        dict
            Maps counters to states; empty if the lease is not stored here.
        """
        lease = self._leases.get(request_id.lease)
        if lease is None or request_id.incarnation != self._incarnation:
            return {}
        return lease.states

    def is_granted(self, number: int) -> bool:
        """Tell whether a lease was ever granted.

        Parameters
        ----------
        number : int
            Number of the lease.

        Returns
        -------
        bool
            True also for a lease that has been removed.
        """
        return 0 < number < self._next_number

    def make_own_id(self, workspace: str, now_ms: float) -> RequestId:
        """Make an unused id under a lease that the home grants to itself.

        Parameters
        ----------
        workspace : str
            Workspace of the caller that sent no id.
        now_ms : float
            The current time in ms.

        Returns
        -------
        RequestId
            An unused id of a lease that has not expired.

        Raises
        ------
        LedgerFullError
            If the workspace has reached its limit of leases.
        """
        own = self._own_leases.get(workspace)
        granted = None if own is None else self._leases.get(own.number)
        if own is not None and granted is not None:
            counter = granted.window.next_counter
            if granted.is_open(now_ms) and counter < own.count:
                return own.make_id(counter)
        new_lease = self.grant(workspace, now_ms)
        self._own_leases[workspace] = new_lease
        return new_lease.make_id(0)

    def drop_idle(self, moment_ms: float) -> None:
        """Remove expired leases without open requests or stored answers.

        Parameters
        ----------
        moment_ms : float
            Only leases that expired at this time or earlier are removed.
        """
        for number, lease in tuple(self._leases.items()):
            if lease.expires_ms > moment_ms:
                break
            if not lease.states:
                self._drop(number)

    def _drop(self, number: int) -> None:
        workspace = self._leases.pop(number).workspace
        self._counts_by_workspace[workspace] -= 1
        if not self._counts_by_workspace[workspace]:
            self._counts_by_workspace.pop(workspace)
            self._own_leases.pop(workspace, None)
