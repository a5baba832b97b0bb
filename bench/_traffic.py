"""Seeded arrivals."""

import dataclasses
import itertools
import random
from typing import Final

from bench._deployments import Deployment, Work
from bench._requests import BLOCK_TOKENS, Request
from hornbeampulley.clock import MS_PER_SECOND

SPREAD: Final = 0.3
HASH_BITS: Final = 62
SYSTEM_BLOCKS: Final = 1
FLOWS: Final = 16

Mix = tuple[tuple[Work, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Poisson arrivals of one tier.

    Attributes
    ----------
    tier : str
        Name of the tier.
    mix : tuple
        Pairs of work and weight.
    rate_per_s : float
        Mean arrivals a second.
    start_ms, end_ms : float
        When it flows.
    workspaces : tuple of str
        Names drawn from at random; empty for all by share.
    patience_ms : float
        Deadline counted from arrival; 0 if none.
    deadline_ms : float
        Common deadline; 0 if none.
    """

    tier: str
    mix: Mix
    rate_per_s: float
    start_ms: float
    end_ms: float
    workspaces: tuple[str, ...] = ()
    patience_ms: float = 0
    deadline_ms: float = 0


def draw_request(
    deployment: Deployment,
    work: Work,
    dice: random.Random,
    request_id: str,
) -> Request:
    """Draw the sizes of one request.

    Parameters
    ----------
    deployment : Deployment
        Whose request it is.
    work : Work
        Kind of work.
    dice : random.Random
        Source of randomness.
    request_id : str
        Its id.

    Returns
    -------
    Request
        Of no workspace, tier and moment yet.
    """
    is_model = work.output_tokens > 0
    prompt_tokens = _draw_size(dice, work.prompt_tokens)
    return Request(
        request_id=request_id,
        workspace='',
        service=work.service,
        tier='',
        pool=deployment.model_pool if is_model else deployment.plain_pool,
        arrived_ms=0,
        prompt_tokens=prompt_tokens,
        output_tokens=_draw_size(dice, work.output_tokens),
        block_hashes=_draw_blocks(dice, work, prompt_tokens),
        fingerprint=dice.getrandbits(HASH_BITS),
        duration_ms=work.duration_ms * dice.lognormvariate(0, SPREAD),
        repeatable=work.repeatable,
    )


def draw_flow(
    deployment: Deployment,
    flow: Flow,
    place: int,
) -> list[Request]:
    """Draw the arrivals of a flow.

    Parameters
    ----------
    deployment : Deployment
        Whose requests they are.
    flow : Flow
        What arrives.
    place : int
        Place of the flow in its scenario. Each place has its own seed, so
        that other flows do not change it.

    Returns
    -------
    list of Request
        In order of arrival.
    """
    dice = random.Random(place + deployment.seed * FLOWS)
    names, shares = _list_shares(deployment, flow)
    works = [work for work, _ in flow.mix]
    weights = [weight for _, weight in flow.mix]
    requests = []
    moment_ms = flow.start_ms
    for number in itertools.count():
        moment_ms += dice.expovariate(flow.rate_per_s) * MS_PER_SECOND
        if moment_ms >= flow.end_ms:
            return requests
        work = dice.choices(works, weights)[0]
        drawn = draw_request(deployment, work, dice, f'{place}.{number}')
        request = dataclasses.replace(
            drawn,
            workspace=dice.choices(names, shares)[0],
            tier=flow.tier,
            arrived_ms=moment_ms,
            deadline_ms=_find_deadline(flow, moment_ms),
        )
        requests.append(request)
    return requests


def measure_mean_work(mix: Mix) -> float:
    """Return the mean work of a mix in milliseconds."""
    total = sum(weight for _, weight in mix)
    dice = random.Random(0)
    means = [
        weight * _measure_typical(work, dice) / total for work, weight in mix
    ]
    return sum(means)


def _measure_typical(work: Work, dice: random.Random) -> float:
    # The mean of the log-normal factor is a little above 1.
    factor = 1 + SPREAD * SPREAD / 2
    typical = Request(
        '',
        '',
        '',
        '',
        '',
        0,
        prompt_tokens=round(work.prompt_tokens * factor),
        output_tokens=round(work.output_tokens * factor),
        duration_ms=work.duration_ms * factor,
    )
    return typical.measure_work()


def _draw_size(dice: random.Random, typical: int) -> int:
    if not typical:
        return 0
    return max(1, round(typical * dice.lognormvariate(0, SPREAD)))


def _draw_blocks(
    dice: random.Random,
    work: Work,
    prompt_tokens: int,
) -> tuple[int, ...]:
    count = prompt_tokens // BLOCK_TOKENS
    # The first block is the service's own system prompt.
    shared = tuple(sum(work.service.encode()) for _ in range(SYSTEM_BLOCKS))
    own = tuple(
        dice.getrandbits(HASH_BITS) for _ in range(count - SYSTEM_BLOCKS)
    )
    return (shared + own)[:count]


def _list_shares(
    deployment: Deployment,
    flow: Flow,
) -> tuple[list[str], list[float]]:
    chosen = [
        one
        for one in deployment.workspaces
        if not flow.workspaces or one.name in flow.workspaces
    ]
    return [one.name for one in chosen], [one.share for one in chosen]


def _find_deadline(flow: Flow, moment_ms: float) -> float:
    if flow.patience_ms:
        return moment_ms + flow.patience_ms
    return flow.deadline_ms
