"""The scenarios of faults and of cached prefixes."""

import dataclasses
import random
from typing import Final

from bench._capacity import measure_capacity
from bench._deployments import Deployment
from bench._driver import ORACLE, Fault, FaultKind, Plan, Run
from bench._figures import Figure, list_invariants, measure_goodput
from bench._requests import BLOCK_TOKENS, Request, Status
from bench._scenarios import (
    DRAIN_MS,
    TIERS,
    draw_flows,
    list_mix,
    make_flow,
    scenarios,
)
from bench._traffic import HASH_BITS

FAULT_MS: Final = 15_000.0
END_MS: Final = 45_000.0
REST_LOADS: Final = (0.05, 0.25, 0.35, 0.3)


def _run_fault(
    deployment: Deployment,
    policy: str,
    kind: FaultKind,
) -> tuple[Figure, ...]:
    victim = deployment.list_model_targets()[0].name
    mix = list_mix(deployment)
    rest = measure_capacity(deployment, mix, (victim,))
    share = rest / measure_capacity(deployment, mix)
    flows = tuple(
        make_flow(deployment, tier, load * share, (0.0, END_MS))
        for tier, load in zip(TIERS, REST_LOADS, strict=True)
    )
    plan = Plan(
        deployment,
        draw_flows(deployment, flows),
        END_MS + DRAIN_MS,
        faults=(Fault(kind, victim, FAULT_MS),),
    )
    run = Run(plan, policy).execute()
    goodput = measure_goodput(run.list_records(start_ms=FAULT_MS))
    return (
        Figure('goodput / what the rest carries', goodput, at_least=0.95),
        *list_invariants(run),
    )


@scenarios.register('slow_target')
def run_slow(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure goodput when a target slows tenfold."""
    return _run_fault(deployment, policy, FaultKind.SLOW)


@scenarios.register('dead_target')
def run_dead(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure goodput when a target dies with its work."""
    return _run_fault(deployment, policy, FaultKind.DIE)


@scenarios.register('leaving_target')
def run_leaving(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure goodput when a target leaves."""
    return _run_fault(deployment, policy, FaultKind.LEAVE)


POISON_SENDS: Final = 15
POISON_INTERVAL_MS: Final = 2000.0


@scenarios.register('poison')
def run_poison(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Count crashes by a request that is sent again and again."""
    flows = tuple(
        make_flow(deployment, tier, load, (0.0, 40_000.0))
        for tier, load in zip(TIERS, (0.05, 0.2, 0.2, 0.15), strict=True)
    )
    requests = draw_flows(deployment, flows)
    long = deployment.long.service
    model = next(one for one in requests if one.service == long)
    bad = tuple(
        dataclasses.replace(
            model,
            request_id=f'poison.{number}',
            fingerprint=1,
            arrived_ms=5000 + number * POISON_INTERVAL_MS,
            deadline_ms=0,
            crashes=True,
        )
        for number in range(POISON_SENDS)
    )
    end_ms = 40_000 + DRAIN_MS
    plan = Plan(deployment, requests + bad, end_ms, resends=True)
    run = Run(plan, policy).execute()
    refused = [
        record
        for record in run.list_records()
        if record.status is Status.REFUSED and not record.request.crashes
    ]
    return (
        Figure('targets crashed', run.crashes, at_most=2),
        Figure('innocent requests refused', len(refused), at_most=0),
        *list_invariants(run),
    )


SESSIONS: Final = 360
TURNS: Final = 8
TURN_INTERVAL_MS: Final = 3000.0
SESSIONS_SPAN_MS: Final = 120_000.0
HISTORY_BLOCKS: Final = 48
TURN_BLOCKS: Final = 2
CACHED_SHARE: Final = 1 / 3


def _draw_sessions(deployment: Deployment) -> tuple[Request, ...]:
    dice = random.Random(5 + deployment.seed)
    names = [one.name for one in deployment.workspaces]
    requests = []
    for session in range(SESSIONS):
        start_ms = dice.uniform(0, SESSIONS_SPAN_MS)
        workspace = dice.choice(names)
        blocks = _draw_blocks(dice, HISTORY_BLOCKS)
        for turn in range(TURNS):
            blocks += _draw_blocks(dice, TURN_BLOCKS)
            jitter = dice.uniform(0.8, 1.2)
            request = Request(
                request_id=f'{session}.{turn}',
                workspace=workspace,
                service=deployment.long.service,
                tier='regular',
                pool=deployment.model_pool,
                arrived_ms=start_ms + (turn + jitter) * TURN_INTERVAL_MS,
                prompt_tokens=len(blocks) * BLOCK_TOKENS + dice.randrange(60),
                output_tokens=dice.randrange(24, 72),
                block_hashes=blocks,
                fingerprint=dice.getrandbits(HASH_BITS),
            )
            requests.append(request)
    return tuple(requests)


def _draw_blocks(dice: random.Random, count: int) -> tuple[int, ...]:
    return tuple(dice.getrandbits(HASH_BITS) for _ in range(count))


@scenarios.register('prefixes')
def run_prefixes(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure wasted prefill with a cache for a third of the histories."""
    requests = _draw_sessions(deployment)
    blocks = {block for one in requests for block in one.block_hashes}
    engines = len(deployment.generations)
    plan = Plan(
        deployment,
        requests,
        SESSIONS_SPAN_MS + DRAIN_MS,
        cache_blocks=int(len(blocks) * CACHED_SHARE / engines),
    )
    run = Run(plan, policy).execute()
    oracle = Run(plan, ORACLE).execute()
    waste = run.prefills.measure_waste()
    least = oracle.prefills.measure_waste()
    return (
        Figure('wasted prefill / total', waste, at_most=0.05),
        Figure('wasted prefill / oracle', waste / least, at_most=1.15),
        Figure('oracle wasted prefill', least),
        *list_invariants(run),
    )
