"""What the fake targets run, and what they count."""

import dataclasses
from collections.abc import Callable

from bench._requests import Request


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speeds and sizes of one hardware generation.

    Attributes
    ----------
    slots : int
        Streams that run side by side.
    prefill_tokens_per_ms : float
        Speed of prefill, one prompt after the other.
    step_ms : float
        Time of one decoding step with an empty batch.
    step_growth : float
        Share by which each stream in the batch lengthens the step.
    cache_blocks : int
        Blocks of its prefix cache.
    exports_kv : bool
        Whether a cancelled stream can go on without a second prefill.
    """

    slots: int
    prefill_tokens_per_ms: float
    step_ms: float
    step_growth: float = 0.012
    cache_blocks: int = 600
    exports_kv: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """A request on a target.

    Attributes
    ----------
    request : Request
        What was asked.
    on_first, on_end : callable
        Called at the first token and at the end, with the stream.
    produced_before : int
        Tokens delivered by an earlier stream of the same request.
    has_kv : bool
        Whether the prefill came with an imported KV cache.
    """

    request: Request
    on_first: Callable[['Stream'], None]
    on_end: Callable[['Stream'], None]
    produced_before: int = 0
    has_kv: bool = False
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    admitted_ms: float = -1
    joined_mark: float = -1
    produced: int = 0
    keeps_kv: bool = False
    is_gone: bool = False


@dataclasses.dataclass(slots=True)
class PrefillCount:
    """Prompt tokens, summed over all engines of a run.

    Attributes
    ----------
    asked : int
        Prompt tokens of all admitted streams.
    repeated : int
        Tokens computed although some engine had computed them before.
    thrown_away : int
        Tokens computed for streams that were cancelled and not resumed.
    seen_blocks : set of int
        Blocks that some engine has computed.
    """

    asked: int = 0
    repeated: int = 0
    thrown_away: int = 0
    seen_blocks: set[int] = dataclasses.field(default_factory=set)

    def measure_waste(self) -> float:
        """Return the share of the asked tokens that was wasted."""
        return (self.repeated + self.thrown_away) / max(self.asked, 1)
