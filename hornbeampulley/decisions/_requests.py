"""What the core knows of one request."""

import dataclasses
import enum

from hornbeampulley.decisions._messages import Reserve


class Stage(enum.Enum):
    """Where a request stands."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request from its reservation to its end.

    Attributes
    ----------
    reserve : Reserve
        The reservation.
    rank : int
        Rank of its tier.
    arrived_ms : float
        When it began to wait, anywhere.
    price_ms : float
        Expected cost at the pool's average rates.
    timely_start_ms : float
        When it must start at the latest to meet its objective; 0 if it has
        none.
    latest_start_ms : float
        When it must start at the latest to be of use; 0 if it has no
        deadline.
    stage : Stage
        Where it stands.
    serial : int
        Number of its valid queue entry; older entries are stale.
    target : str
        Where it runs.
    leased_ms : float
        When its lease was given.
    ahead_ms : float
        Prefill that its target had pending when it was leased.
    prefill_ms : float
        Expected time of its prefill; 0 once its first token came.
    expected_cached : int
        Prompt tokens expected in the target's cache when it was leased.
    cached_tokens : int
        Prompt tokens found there, as far as known by now.
    output_tokens : int
        Tokens seen so far.
    resume : bool
        Whether it was preempted before.
    stoppable : bool
        Whether it may be preempted while it runs.
    stopping : bool
        Whether its preemption is under way.
    charged : bool
        Whether a crash of its target is counted against it.
    sampled : bool
        Whether its delay has been used to judge the target.
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
    resume: bool = False
    preemptible: bool = False
    preempting: bool = False
    crash_counted: bool = False
    delay_sampled: bool = False

    @property
    def request_id(self) -> str:
        """Return the id given by the caller's home."""
        return self.reserve.request_id

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens that the target is expected to prefill."""
        return max(self.reserve.prompt_tokens - self.cached_tokens, 0)

    @property
    def can_preempt(self) -> bool:
        """Tell whether a preemption of it can be ordered now."""
        return self.preemptible and not self.preempting

    @property
    def is_waiting(self) -> bool:
        """Tell whether it waits for a lease."""
        return self.stage is Stage.WAITING
