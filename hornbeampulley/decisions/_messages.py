"""Events that the decision core takes and actions that it returns."""

import dataclasses
import enum

from hornbeampulley.configuration import Configuration


class Outcome(enum.Enum):
    """How a dispatched request ended, as its home saw it."""

    DONE = 'done'
    FAILED = 'failed'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
    PREEMPTED = 'preempted'
    NOT_SENT = 'not_sent'


class Reason(enum.Enum):
    """Why a request was refused."""

    SHED = 'shed'
    DEADLINE = 'deadline'
    QUARANTINED = 'quarantined'
    DUPLICATE_KEY = 'duplicate_key'
    NO_TARGET = 'no_target'


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """A home asks for a lease, or announces a request after a takeover.

    Attributes
    ----------
    request_id : str
        Unique id.
    home : str
        Incarnation of the entry process that holds the request.
    workspace, service, tier : str
        Names from the configuration; the tier is the routing rule's.
    prompt_tokens : int
        Length of the prompt in tokens; 0 for plain services.
    output_tokens : int
        Upper bound on the answer set by the caller; 0 if none.
    block_hashes : tuple of int
        Chained hashes of the prompt's full blocks, first block first.
    fingerprint : int
        Hash of the content, equal for equal requests.
    deadline_ms : float
        Moment after which the answer is of no use; 0 if none.
    idempotency_key : str
        The caller's own key; empty if none.
    repeatable : bool
        Whether the service may run the call twice.
    target : str
        Target it already runs on, when announced after a takeover; or empty.
    waited_ms : float
        Time it has already waited elsewhere.
    objective_ms : float
        Moment until which the answer counts in full: of a stream its first
        token, otherwise all of it; 0 if none.
    begin_by_ms : float
        Moment when the caller leaves if the first token has not come; 0 if
        none.
    avoided : str
        Target that has just failed it; used only if there is no other.
    expected_tokens : int
        Output that the caller expects; 0 if it does not say.
    """

    request_id: str
    home: str
    workspace: str
    service: str
    tier: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    block_hashes: tuple[int, ...] = ()
    fingerprint: int = 0
    deadline_ms: float = 0
    idempotency_key: str = ''
    repeatable: bool = True
    target: str = ''
    waited_ms: float = 0
    objective_ms: float = 0
    begin_by_ms: float = 0
    avoided: str = ''
    expected_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The caller of a waiting request has gone or cancelled it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """A running request has produced tokens.

    Attributes
    ----------
    request_id : str
        Unique id.
    output_tokens : int
        Tokens produced so far.
    first_token_ms : float
        Delay from dispatch to the first token; 0 before it came.
    """

    request_id: str
    output_tokens: int
    first_token_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A lease has ended.

    Attributes
    ----------
    request_id : str
        Unique id.
    outcome : Outcome
        How it ended.
    output_tokens : int
        Tokens produced.
    first_token_ms : float
        Delay from dispatch to the first token; 0 if none came.
    duration_ms : float
        Time from dispatch to the end.
    cached_tokens : int
        Prompt tokens that the engine says it found in its cache; -1 if the
        engine did not say.
    first_tokens : int
        Tokens that came with the first part of the answer.
    """

    request_id: str
    outcome: Outcome
    output_tokens: int = 0
    first_token_ms: float = 0
    duration_ms: float = 0
    cached_tokens: int = -1
    first_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own report of its load.

    Attributes
    ----------
    target : str
        Name of the target.
    running, queued : int
        Requests that it says it runs and holds.
    age_ms : float
        How old the report is.
    """

    target: str
    running: int
    queued: int
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A target's late word about its prefix cache.

    Attributes
    ----------
    target : str
        Name of the target.
    sequence : int
        Grows by one an event; a jump means that events were lost.
    added, removed : tuple of int
        Block hashes.
    """

    target: str
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configure:
    """The tickets in force have changed."""

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsLeaving:
    """The whole set of targets that the host list shows as leaving or gone."""

    targets: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDown:
    """A target broke its connections or refuses them."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class HomeLost:
    """The link to a home has ended.

    If the home lives on, it announces the requests that it holds again.
    """

    home: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverEnded:
    """All homes have announced what they run; limits need not be low."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """Another scheduler found that a content crashes targets."""

    fingerprint: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent a few times a second."""


Event = (
    Reserve
    | Withdraw
    | Progress
    | Release
    | LoadReport
    | CacheEvent
    | Configure
    | TargetsLeaving
    | TargetDown
    | HomeLost
    | TakeoverEnded
    | Quarantine
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Permission for a home to dispatch now.

    Attributes
    ----------
    request_id : str
        Unique id.
    home : str
        Incarnation of the home that asked.
    target : str
        Where to dispatch.
    valid_ms : float
        How long the permission lasts; a later dispatch is not allowed.
    resume : bool
        True if the request was preempted earlier and is to be resumed.
    expected_ms : float
        Expected time from dispatch to the end of the answer.
    """

    request_id: str
    home: str
    target: str
    valid_ms: float
    resume: bool = False
    expected_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer for a request that was not dispatched by this scheduler.

    Attributes
    ----------
    request_id : str
        Unique id.
    home : str
        Incarnation of the home that asked.
    reason : Reason
        Why.
    ran : bool
        Whether it ran before; false unless quarantined or preempted.
    retry_after_ms : float
        When to ask again, from the measured drain rate; 0 if never.
    waiting : int
        Requests that waited in the pool.
    capacity : int
        Requests that its healthy targets may run at once.
    price_ms : float
        What it was expected to cost.
    start_within_ms : float
        Time that was left to start it; negative if that had passed, 0 if it
        had no limit.
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
    """Order to a home to stop a running request; it waits for a new lease.

    Attributes
    ----------
    request_id : str
        Unique id.
    home : str
        Incarnation of the home that runs it.
    target : str
        Where it runs; its KV cache is exported if the engine can.
    """

    request_id: str
    home: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warn:
    """Something an operator should see in the log.

    Attributes
    ----------
    event : str
        Name of the log event, such as ``target_ejected``.
    subject : str
        Target, workspace or fingerprint concerned.
    """

    event: str
    subject: str


Action = Lease | Refuse | Preempt | Warn
