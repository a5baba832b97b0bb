"""What callers send, and what became of it."""

import dataclasses
import enum
from typing import Final

BLOCK_TOKENS: Final = 64
# Weights of the work unit: the time of one token on the reference engine.
REFERENCE_PREFILL_TOKENS_PER_MS: Final = 20.0
REFERENCE_STEP_MS: Final = 22.0
MIN_SPAN_MS: Final = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Attributes
    ----------
    request_id, workspace, service, tier, pool : str
        Names.
    arrived_ms : float
        Moment at which its home has it.
    prompt_tokens, output_tokens : int
        True lengths; the policy is not told the second.
    block_hashes : tuple of int
        Chained hashes of the prompt's full blocks.
    fingerprint : int
        Hash of the content.
    deadline_ms : float
        Moment after which the answer is of no use; 0 if none.
    duration_ms : float
        Running time on a plain service.
    repeatable : bool
        Whether the service may run it twice.
    crashes : bool
        Whether it crashes each target that runs it.
    """

    request_id: str
    workspace: str
    service: str
    tier: str
    pool: str
    arrived_ms: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    block_hashes: tuple[int, ...] = ()
    fingerprint: int = 0
    deadline_ms: float = 0
    duration_ms: float = 0
    repeatable: bool = True
    crashes: bool = False

    def measure_work(self) -> float:
        """Return its work: milliseconds on the reference engine."""
        prefill_ms = self.prompt_tokens / REFERENCE_PREFILL_TOKENS_PER_MS
        decode_ms = self.output_tokens * REFERENCE_STEP_MS
        return prefill_ms + decode_ms + self.duration_ms


class Status(enum.Enum):
    """Where a request stands at its home."""

    WAITING = 'waiting'
    LEASED = 'leased'
    STOPPING = 'stopping'
    DONE = 'done'
    REFUSED = 'refused'
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class Record:
    """What became of a request.

    Attributes
    ----------
    request : Request
        What was asked.
    status : Status
        Where it stands.
    target : str
        Where it runs or ran last.
    begun_ms : float
        Moment at which a target first had a slot for it; -1 before.
    dispatched_ms : float
        Moment of its last dispatch; -1 before.
    first_token_ms, ended_ms : float
        Moments of its first token and of its end; -1 before.
    produced : int
        Tokens delivered before it was preempted.
    ran : bool
        Whether a target has begun it.
    refused_at_ms : float
        Moment of its refusal; -1 if none.
    """

    request: Request
    status: Status = Status.WAITING
    target: str = ''
    begun_ms: float = -1
    dispatched_ms: float = -1
    first_token_ms: float = -1
    ended_ms: float = -1
    produced: int = 0
    ran: bool = False
    refused_at_ms: float = -1

    def measure_first_token_delay(self) -> float:
        """Return the time from arrival to the first token."""
        return self.first_token_ms - self.request.arrived_ms

    def measure_response(self) -> float:
        """Return the time from arrival to the whole answer."""
        return self.ended_ms - self.request.arrived_ms

    def measure_share(self, start_ms: float, end_ms: float) -> float:
        """Return the part of its running time between two moments, 0 to 1."""
        overlap_ms = min(self.ended_ms, end_ms) - max(self.begun_ms, start_ms)
        return max(overlap_ms, 0) / max(
            self.ended_ms - self.begun_ms, MIN_SPAN_MS
        )

    def is_good(self) -> bool:
        """Tell whether the whole answer came, and before its deadline."""
        if self.status is not Status.DONE:
            return False
        deadline_ms = self.request.deadline_ms
        return not deadline_ms or self.ended_ms <= deadline_ms
