"""Messages and timing of a session between a home and a scheduler.

A home is the entry that a request id belongs to, which alone dispatches it.
"""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class SessionTiming:
    """Session timeouts, which must be equal at homes and schedulers.

    Attributes
    ----------
    binding_ms : float
        How long after a scheduler's heartbeat a home dispatches the requests
        announced to that scheduler only under its leases.
    alone_ms : float
        Time without a heartbeat from any scheduler after which a home
        dispatches without a lease; at least ``binding_ms``.
    drift : float
        Largest rate error of any clock, as a fraction of real time.
    """

    binding_ms: float = 500
    alone_ms: float = 1500
    drift: float = 0.01

    @property
    def certain_ms(self) -> float:
        """Binding time by a scheduler's clock, reduced by clock drift."""
        return self.binding_ms * (1 - 2 * self.drift)


DEFAULT_TIMING: Final = SessionTiming()


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStamp:
    """Stamp of each message from a home to its scheduler.

    A heartbeat consists of the stamp alone.

    Attributes
    ----------
    incarnation : str
        Incarnation of the home.
    session : int
        Number of the session at the home; later sessions replace earlier
        ones.
    sequence : int
        Number of the message in the session. Messages numbered no higher than
        the last one received are dropped.
    echo : int
        Number of the latest heartbeat received from the scheduler; 0 if none.
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
    """A heartbeat from a scheduler to one home.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        Number of the session.
    number : int
        Number of the heartbeat, counted over all homes of the scheduler.
    """

    scheduler: str
    session: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseStamp:
    """Stamp of each dispatch lease from a scheduler.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        Number of the session in which the request was announced.
    heard : int
        Sequence of the latest message that the scheduler received from the
        home. The lease's validity starts when the home sent that message.
    """

    scheduler: str
    session: int
    heard: int


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """Message from a scheduler that it has permanently ended a session.

    Attributes
    ----------
    scheduler : str
        Incarnation of the scheduler.
    session : int
        Number of the ended session.
    """

    scheduler: str
    session: int
