"""Turns streams that have ended into samples of their target's capacity."""

from typing import Final

from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._events import Release
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._targets import TargetState

# The first event of a prompt that takes more of its objective on an idle
# target tells nothing of how the target fills.
SMALL_PROMPT_SHARE: Final = 0.5


def observe_stream(
    cost: CostModel,
    target: TargetState,
    request: Request,
    release: Release,
    now_ms: float,
) -> bool:
    """Learn from a stream how its target fills.

    Parameters
    ----------
    cost : CostModel
        Estimates of the pool.
    target : TargetState
        Target that ran the stream, which it no longer counts.
    request : Request
        The request.
    release : Release
        Its end, with the longest pause between its events.
    now_ms : float
        The current time.

    Returns
    -------
    bool
        True if the number of requests that the target handles well changed.
    """
    tokens = max(release.output_tokens - release.first_tokens, 0)
    streaming_ms = release.duration_ms - release.first_token_ms
    fill_at_end = len(target.running) + 1
    capacity = cost.capacities.get(target.name)
    capacity.observe(
        (request.fill + fill_at_end) / 2,
        streaming_ms / max(tokens, 1),
        max(
            release.pause_ratio,
            _compute_first_share(cost, request, release.first_token_ms),
        ),
        tokens / max(release.first_tokens, 1),
    )
    return capacity.track(target.ceiling, now_ms)


def _compute_first_share(
    cost: CostModel, request: Request, first_token_ms: float
) -> float:
    """Return the delay of the first event as a share of the objective."""
    reserve = request.reserve
    objective_ms = reserve.objective_ms - request.arrived_ms
    if not reserve.objective_ms or objective_ms <= 0:
        return 0
    idle_ms = cost.estimate_first_token(request.target, reserve)
    if idle_ms > SMALL_PROMPT_SHARE * objective_ms:
        return 0
    return first_token_ms / objective_ms
