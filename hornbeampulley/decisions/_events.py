"""Input events of the decision core.

The home of a request is the entry process that its id belongs to, which alone
dispatches the request.
"""

import dataclasses
import enum

from hornbeampulley.configuration import Configuration


class Outcome(enum.Enum):
    """How a dispatched request ended, as reported by its home entry."""

    DONE = 'done'
    FAILED = 'failed'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
    PREEMPTED = 'preempted'
    NOT_SENT = 'not_sent'


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """A home requests a lease, or re-announces a request after a takeover.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    home : str
        Incarnation of the entry process that holds the request.
    workspace, service, tier : str
        Names from the configuration; the routing rule determines the tier.
    prompt_tokens : int
        Length of the prompt in tokens; 0 for plain services.
    output_tokens : int
        Caller's upper bound on the output length in tokens; 0 if none.
    block_hashes : tuple of int
        Chained hashes of the prompt's full blocks, first block first.
    fingerprint : int
        Hash of the content; identical requests have the same one.
    deadline_ms : float
        Time after which the answer is useless; 0 if none.
    idempotency_key : str
        Idempotency key set by the caller; empty if none.
    repeatable : bool
        Whether the call may be executed more than once.
    target : str
        Target that already runs the request, if it is announced after a
        takeover; otherwise empty.
    waited_ms : float
        Time already spent waiting at other schedulers.
    objective_ms : float
        Latency objective as a point in time: the first token of a stream, or
        the whole answer otherwise, is due by then; 0 if none.
    begin_by_ms : float
        Time at which the caller disconnects unless it has received the first
        token; 0 if none.
    avoided : str
        Target on which the previous attempt failed; used only if there is no
        other.
    expected_tokens : int
        Output length in tokens hinted by the caller; 0 if not given.
    prompt_parts : tuple of int
        Ids of the parts of the prompt, in order, the last of which is the
        request's own; empty if the caller names none or its answer has begun.
    software : str
        Version of the software that has begun its answer, which no other one
        can go on with; empty if none has.
    stream : int or None
        Name of the stream that its caller takes up again; None for others.
        The node of the scheduler finds out its version.
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
    prompt_parts: tuple[int, ...] = ()
    software: str = ''
    stream: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The caller of a waiting request disconnected or cancelled it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """A running request has produced tokens.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    output_tokens : int
        Tokens produced so far.
    first_token_ms : float
        Delay from dispatch to the first token; 0 before the first token.
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
        Unique id of the request.
    outcome : Outcome
        How the request ended.
    output_tokens : int
        Tokens produced.
    first_token_ms : float
        Delay from dispatch to the first token; 0 if there was none.
    duration_ms : float
        Time from dispatch to the end.
    cached_tokens : int
        Prompt tokens that the engine reports as cache hits; -1 if it does not
        report them.
    first_tokens : int
        Tokens in the first part of the answer.
    pause_ratio : float
        Longest pause between two events, as a share of the one that its caller
        allows; 0 if it is not known or the target reports no slowness.
    """

    request_id: str
    outcome: Outcome
    output_tokens: int = 0
    first_token_ms: float = 0
    duration_ms: float = 0
    cached_tokens: int = -1
    first_tokens: int = 1
    pause_ratio: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report from a target.

    Attributes
    ----------
    target : str
        Name of the target.
    running, queued : int
        Requests that the target runs and has queued.
    age_ms : float
        Age of the report.
    slots : int or None
        Requests that the target can run at once; None if it names none.
    slowness : float or None
        How long work takes there now, as a multiple of its usual time there;
        None if it does not say.
    """

    target: str
    running: int
    queued: int
    age_ms: float
    slots: int | None = None
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a target's prefix cache, reported with a delay.

    Attributes
    ----------
    target : str
        Name of the target.
    sequence : int
        Sequence number, which grows by one per event; a gap means that events
        were lost.
    added, removed : tuple of int
        Hashes of the blocks that were cached and evicted.
    """

    target: str
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configure:
    """The set of change tickets in force, and so the configuration, changed."""

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsLeaving:
    """All targets that the host list shows as leaving or gone.

    Each event replaces the previous set.
    """

    targets: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSignals:
    """What a target has said of itself in an answer.

    Attributes
    ----------
    target : str
        Name of the target.
    born_ms : int
        Wall time of the start of its run, which the signals end with.
    is_leaving : bool
        Whether it shuts down and must get no more requests.
    back_off_ms : float
        Time for which it still wants no requests, in ms.
    rate_limit : float or None
        Requests per second that it takes from all hosts together; None if it
        names no limit.
    limit_age_ms : float or None
        Time since it last named its limit, or named none any more, in ms; None
        if it never named one.
    """

    target: str
    born_ms: int
    is_leaving: bool = False
    back_off_ms: float = 0
    rate_limit: float | None = None
    limit_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDown:
    """A target closed its connections unexpectedly or refuses new ones."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class HomeLost:
    """The connection to a home was lost.

    A home that is still alive reconnects and announces its requests again.
    """

    home: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverEnded:
    """All homes have announced their running requests after a takeover.

    Concurrency limits no longer need to allow for unknown requests.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """Another scheduler quarantined a content because it crashes targets."""

    fingerprint: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartQuarantine:
    """Requests with a part of a prompt are refused, as it crashes targets.

    A core decides it, and learns it from other schedulers.

    Attributes
    ----------
    part : int
        Id of the part.
    left_ms : float
        Time in ms until one request with it is let through.
    period_ms : float
        The whole time, which grows with each crash; 0 if the quarantine is
        lifted.
    """

    part: int
    left_ms: float = 0
    period_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartShare:
    """Part of the bounds on starts that this scheduler may grant.

    Attributes
    ----------
    share : float
        Hosts that it reaches, as a share of all.
    phase : float
        Number from 0 to 1 that differs between schedulers.
    is_takeover : bool
        Whether another scheduler may have granted starts in the last second.
    """

    share: float
    phase: float
    is_takeover: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A periodic event, sent a few times a second, that advances the time."""


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
    | TargetSignals
    | HomeLost
    | TakeoverEnded
    | Quarantine
    | PartQuarantine
    | StartShare
    | Tick
)
