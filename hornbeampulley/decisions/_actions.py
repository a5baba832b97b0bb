"""Output actions of the decision core."""

import dataclasses
import enum

from hornbeampulley.decisions._events import PartQuarantine


class Reason(enum.Enum):
    """Why a request was refused."""

    SHED = 'shed'
    DEADLINE = 'deadline'
    QUARANTINED = 'quarantined'
    DUPLICATE_KEY = 'duplicate_key'
    NO_TARGET = 'no_target'
    OTHER_SOFTWARE = 'other_software'


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Permission for a home to dispatch a request to a target now.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    home : str
        Incarnation of the home that requested the lease.
    target : str
        Target to which the request is dispatched.
    valid_ms : float
        Time within which the request must be dispatched.
    resume : bool
        Whether the request was preempted earlier and is resumed.
    expected_ms : float
        Expected time from dispatch to the end of the answer.
    software : str
        Version of the software that the target must have; empty for any.
    slowness : float
        How long work takes at the target now, as far as the scheduler knows.
    """

    request_id: str
    home: str
    target: str
    valid_ms: float
    resume: bool = False
    expected_ms: float = 0
    software: str = ''
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Final refusal of a request, which gets no further lease.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    home : str
        Incarnation of the home that requested the lease.
    reason : Reason
        Why the request was refused.
    ran : bool
        Whether the request was executed before; can be true only if it was
        quarantined or preempted.
    retry_after_ms : float
        Delay after which to retry, from the measured drain rate; 0 if the
        request must not be retried.
    waiting : int
        Requests waiting in the pool at the time.
    capacity : int
        Requests that the healthy targets of the pool may run at once.
    price_ms : float
        Estimated cost of the request.
    start_within_ms : float
        Time left until the latest useful start; negative if it had passed, 0
        if there was no limit.
    """

    request_id: str
    home: str
    reason: Reason
    ran: bool
    retry_after_ms: float
    waiting: int = 0
    capacity: int = 0
    price_ms: float = 0
    start_within_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Order to a home to stop a running request, which is then queued again.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    home : str
        Incarnation of the request's home.
    target : str
        Target that runs the request; its KV cache is exported if the engine
        supports that.
    """

    request_id: str
    home: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warn:
    """A warning for the operators' log.

    Attributes
    ----------
    event : str
        Name of the log event, such as ``target_ejected``.
    subject : str
        Target, workspace or fingerprint that the event is about.
    detail : str
        What is true of it now; empty if the event says it all.
    """

    event: str
    subject: str
    detail: str = ''


Action = Lease | Refuse | Preempt | Warn | PartQuarantine
