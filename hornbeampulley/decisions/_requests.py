"""The state that the core keeps for one request."""

import dataclasses
import enum

from hornbeampulley.decisions._events import Reserve


class Stage(enum.Enum):
    """Stage in the life of a request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request, from its reservation to its end.

    Attributes
    ----------
    reserve : Reserve
        The reservation.
    rank : int
        Rank of its tier; 0 is the most urgent.
    arrived_ms : float
        When it began to wait, including the wait at other schedulers.
    price_ms : float
        Price: the estimated cost at the pool's average rates, so that work on
        targets of different speeds can be compared.
    objective_start_ms : float
        Latest start that still meets the latency objective; 0 if there is no
        objective.
    latest_start_ms : float
        Latest start at which the answer is still useful; 0 if there is
        neither a deadline nor a time by which the caller disconnects.
    stage : Stage
        Current stage.
    serial : int
        Number of its valid queue entry; older entries are stale.
    target : str
        Target that runs it.
    leased_ms : float
        When it was leased.
    queued_prefill_ms : float
        Prefill work that was pending on the target when it was leased.
    prefill_ms : float
        Expected duration of its own prefill; 0 after its first token.
    expected_cached : int
        Prompt tokens expected in the target's cache when it was leased.
    cached_tokens : int
        Prompt tokens in the target's cache by the latest information.
    output_tokens : int
        Output tokens produced so far.
    begun_ms : float
        When its target began to answer; 0 before.
    are_parts_cleared : bool
        Whether its answer has shown that its prompt crashes no target.
    resume : bool
        Whether it was preempted before.
    preemptible : bool
        Whether it may be preempted while it runs.
    preempting : bool
        Whether its preemption has been ordered but not confirmed.
    has_lost_target : bool
        Whether its target went down after the lease.
    is_crash_concluded : bool
        Whether a crash of its target was counted before its home has reported.
    fill : int
        Requests on its target when it was leased, itself included.
    is_return : bool
        Whether its caller was refused and returns at the time it was told.
    delay_sampled : bool
        Whether its delay has been used as a sample of the target's speed.
    """

    reserve: Reserve
    rank: int
    arrived_ms: float
    price_ms: float
    objective_start_ms: float = 0
    latest_start_ms: float = 0
    stage: Stage = Stage.WAITING
    serial: int = 0
    target: str = ''
    leased_ms: float = 0
    queued_prefill_ms: float = 0
    prefill_ms: float = 0
    expected_cached: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    begun_ms: float = 0
    are_parts_cleared: bool = False
    resume: bool = False
    preemptible: bool = False
    preempting: bool = False
    has_lost_target: bool = False
    is_crash_concluded: bool = False
    fill: int = 1
    is_return: bool = False
    delay_sampled: bool = False

    @property
    def request_id(self) -> str:
        """Return the id assigned by the home entry."""
        return self.reserve.request_id

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens that the target has to prefill."""
        return max(self.reserve.prompt_tokens - self.cached_tokens, 0)

    @property
    def can_preempt(self) -> bool:
        """Tell whether its preemption can be ordered now."""
        return self.preemptible and not self.preempting

    @property
    def is_waiting(self) -> bool:
        """Tell whether it waits for a lease."""
        return self.stage is Stage.WAITING
