"""Reservations: requests that wait for a lease or run under one."""

import dataclasses

import trio

from hornbeampulley import decisions
from hornbeampulley.routing import find_pool


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """A request that waits for a lease or runs under one.

    Attributes
    ----------
    reserve : Reserve
        Announcement that is sent to the scheduler.
    opened_ms : float
        Time when the request began to wait, in ms.
    decided : trio.Event
        Set once the scheduler has granted a lease or refused the request.
    lease : Lease or None
        Granted lease.
    refusal : Refuse or None
        Refusal; it is final.
    owner : str
        Incarnation of the scheduler that has the announcement.
    sent_ms : float
        Time when the request was sent to its target, in ms; 0 before.
    first_ms : float
        Time in ms from sending to the first part of the answer; 0 before.
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
        """Pool whose targets may serve the request."""
        return find_pool(self.reserve.service)
