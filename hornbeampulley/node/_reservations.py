"""Requests that wait for a lease or run under one."""

import dataclasses

import trio

from hornbeampulley import decisions
from hornbeampulley.node._scheduling import find_pool


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """A request that waits for a lease or runs under one.

    Attributes
    ----------
    reserve : Reserve
        What the scheduler is told.
    opened_ms : float
        When it began to wait.
    decided : trio.Event
        Set with each decision.
    lease : Lease or None
        In force.
    refusal : Refuse or None
        The last word.
    owner : str
        Incarnation of the scheduler that was told last.
    sent_ms : float
        When it went to its target; 0 before.
    first_ms : float
        Time from then to the first part of the answer; 0 before.
    """

    reserve: decisions.Reserve
    opened_ms: float
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    lease: decisions.Lease | None = None
    refusal: decisions.Refuse | None = None
    owner: str = ''
    sent_ms: float = 0
    first_ms: float = 0

    @property
    def pool(self) -> str:
        """Pool that it asks for."""
        return find_pool(self.reserve.service)
