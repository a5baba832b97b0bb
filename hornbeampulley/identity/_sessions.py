"""Messages of a session between a home and a scheduler, and its timing."""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class SessionTiming:
    """Durations that homes and schedulers must agree on.

    Attributes
    ----------
    binding_ms : float
        How long a home that has heard from a scheduler dispatches the
        requests announced to it under no other permission than its leases.
    alone_ms : float
        Silence of all schedulers after which a home dispatches without a
        lease; not shorter than ``binding_ms``.
    drift : float
        Bound on how much faster or slower than real time any clock runs.
    """

    binding_ms: float = 500
    alone_ms: float = 1500
    drift: float = 0.01

    @property
    def certain_ms(self) -> float:
        """The binding as a scheduler's own clock may count on it."""
        return self.binding_ms * (1 - 2 * self.drift)


DEFAULT_TIMING: Final = SessionTiming()


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStamp:
    """Put on each message of a home to its scheduler; alone, a heartbeat.

    Attributes
    ----------
    incarnation : str
        Incarnation of the home.
    session : int
        Number of the session at the home; later sessions replace earlier ones.
    sequence : int
        Grows with each message of the session; older ones are dropped.
    echo : int
        Number of the latest heartbeat heard from the scheduler; 0 if none.
    scheduler : str
        Incarnation of the scheduler that the session is with.
    """

    incarnation: str
    session: int
    sequence: int
    echo: int
    scheduler: str


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerHeartbeat:
    """A scheduler's heartbeat to one home.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        Session that it belongs to.
    number : int
        Grows with each heartbeat of this scheduler to any home.
    """

    scheduler: str
    session: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseStamp:
    """Put on each lease of a scheduler.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        Session in which the request was announced.
    heard : int
        Sequence of the home's latest message at the scheduler; the lease's
        validity is counted from when the home sent it.
    """

    scheduler: str
    session: int
    heard: int


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """A scheduler's word that it has ended a session for good.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        The session.
    """

    scheduler: str
    session: int
