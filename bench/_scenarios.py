"""The scenarios of load: one function for each row of the bounds."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from bench._capacity import count_finished, measure_capacity
from bench._deployments import Deployment
from bench._driver import Plan, Run
from bench._figures import (
    Figure,
    find_first_token,
    find_response,
    list_invariants,
    measure_goodput,
)
from bench._requests import Request
from bench._traffic import Flow, Mix, draw_flow, measure_mean_work
from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.registry import Registry

Scenario = Callable[[Deployment, str], tuple[Figure, ...]]

scenarios: Final[Registry[Scenario]] = Registry('scenario')

TIERS: Final = ('urgent', 'prompt', 'regular', 'bulk')
MIDDLE: Final = ('prompt', 'regular')
PATIENCE_MS: Final = 30_000.0
DRAIN_MS: Final = 120_000.0


def list_mix(deployment: Deployment) -> Mix:
    """Return the usual mix of model requests."""
    return (
        (deployment.long, 0.3),
        (deployment.quick, 0.5),
        (deployment.tag, 0.2),
    )


def make_flow(
    deployment: Deployment,
    tier: str,
    load: float,
    span: tuple[float, float],
    mix: Mix = (),
) -> Flow:
    """Return a flow that asks for a share of the fleet's capacity.

    Parameters
    ----------
    deployment : Deployment
        Whose fleet.
    tier : str
        Name of the tier.
    load : float
        Share of the capacity; more than 1 in a flood.
    span : tuple of float
        Start and end in milliseconds.
    mix : tuple
        Pairs of work and weight; the usual mix if empty.

    Returns
    -------
    Flow
        With the usual patience.
    """
    mix = mix or list_mix(deployment)
    work_per_ms = load * measure_capacity(deployment, mix)
    rate_per_s = work_per_ms / measure_mean_work(mix) * MS_PER_SECOND
    return Flow(tier, mix, rate_per_s, *span, patience_ms=PATIENCE_MS)


def draw_flows(
    deployment: Deployment,
    flows: tuple[Flow, ...],
) -> tuple[Request, ...]:
    """Draw all flows."""
    return tuple(
        request
        for place, flow in enumerate(flows)
        for request in draw_flow(deployment, flow, place + 1)
    )


def execute(
    deployment: Deployment,
    policy: str,
    requests: tuple[Request, ...],
) -> Run:
    """Run a policy until all patience has ended."""
    last_ms = max(request.arrived_ms for request in requests)
    return Run(Plan(deployment, requests, last_ms + DRAIN_MS), policy).execute()


def keep_tier(requests: tuple[Request, ...], tier: str) -> tuple[Request, ...]:
    """Return the requests of one tier."""
    return tuple(request for request in requests if request.tier == tier)


def find_idle_delay(
    deployment: Deployment,
    policy: str,
    requests: tuple[Request, ...],
    span: tuple[float, float],
) -> float:
    """Return the top tier's p99 first-token delay on an idle fleet.

    The better of the policy's own and of FIFO's, so that poor placement on an
    idle fleet does not ease the bound.
    """
    urgent = keep_tier(requests, 'urgent')
    runs = [
        execute(deployment, name, urgent) for name in (policy, 'fifo_tiers')
    ]
    return min(
        find_first_token(run.list_records((), *span), 99) for run in runs
    )


@scenarios.register('steady')
def run_steady(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure the top tier's first-token delay at 70% load."""
    span = (0.0, 120_000.0)
    loads = (0.05, 0.2, 0.25, 0.2)
    flows = tuple(
        make_flow(deployment, tier, load, span)
        for tier, load in zip(TIERS, loads, strict=True)
    )
    requests = draw_flows(deployment, flows)
    run = execute(deployment, policy, requests)
    idle_ms = find_idle_delay(deployment, policy, requests, span)
    busy_ms = find_first_token(run.list_records(('urgent',)), 99)
    return (
        Figure('top tier first token p99 / idle', busy_ms / idle_ms, 1.2),
        Figure('top tier first token p99 ms', busy_ms),
        *list_invariants(run),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Flood:
    """The arrivals of the flood scenario and of its parts."""

    everything: tuple[Request, ...]
    before: tuple[Request, ...]


FLOOD_MS: Final = (10_000.0, 30_000.0)
BURST_MS: Final = (20_000.0, 24_000.0)
FULL_MS: Final = (15_000.0, 30_000.0)


@functools.cache
def _draw_flood(deployment: Deployment) -> _Flood:
    whole = (0.0, 40_000.0)
    usual = tuple(
        make_flow(deployment, tier, load, whole)
        for tier, load in zip(TIERS, (0.02, 0.2, 0.2, 0.1), strict=True)
    )
    flood = make_flow(deployment, 'bulk', 5, FLOOD_MS)
    burst = make_flow(deployment, 'urgent', 0.4, BURST_MS)
    return _Flood(
        draw_flows(deployment, (*usual, flood, burst)),
        draw_flows(deployment, usual),
    )


@scenarios.register('flood')
def run_flood(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure a flood of the lowest tier, then a burst of the top tier."""
    arrivals = _draw_flood(deployment)
    run = execute(deployment, policy, arrivals.everything)
    before = execute(deployment, policy, arrivals.before)
    requests = arrivals.everything
    idle_ms = find_idle_delay(deployment, policy, requests, BURST_MS)
    busy_ms = find_first_token(run.list_records(('urgent',), *BURST_MS), 99)
    capacity = measure_capacity(deployment, list_mix(deployment))
    done = run.measure_done(*FULL_MS)
    top = measure_goodput(run.list_records(('urgent',)))
    middle = measure_goodput(run.list_records(MIDDLE, *FLOOD_MS))
    usual = measure_goodput(before.list_records(MIDDLE, *FLOOD_MS))
    figures = (
        Figure('top tier first token p99 / idle', busy_ms / idle_ms, 1.3),
        Figure('top tier first token p99 ms', busy_ms),
        Figure('top tier goodput', top, at_least=1),
        Figure('goodput / capacity', done / capacity, at_least=0.95),
        Figure('middle tiers keep', middle / usual, at_least=0.95),
    )
    return figures + list_invariants(run)


@scenarios.register('greedy')
def run_greedy(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure small workspaces while a large one asks 10x its share."""
    span = (0.0, 30_000.0)
    total = sum(one.share for one in deployment.workspaces)
    flows = []
    for place, workspace in enumerate(deployment.workspaces):
        factor = 1 if place else 10
        load = factor * workspace.share / total
        flow = make_flow(deployment, 'regular', load, span)
        flows.append(dataclasses.replace(flow, workspaces=(workspace.name,)))
    requests = draw_flows(deployment, tuple(flows))
    greedy = deployment.workspaces[0].name
    others = tuple(one for one in requests if one.workspace != greedy)
    run = execute(deployment, policy, requests)
    alone = execute(deployment, policy, others)
    small = {one.name for one in deployment.workspaces if one.share == 1}
    beside_ms, alone_ms = (
        find_response(
            [
                one
                for one in each.list_records()
                if one.request.workspace in small
            ],
            95,
        )
        for each in (run, alone)
    )
    return (
        Figure('small workspaces p95 / alone', beside_ms / alone_ms, 1.25),
        *list_invariants(run),
    )


TAGS_PER_S: Final = 30.0


@scenarios.register('tags')
def run_tags(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure short tags beside long work on one pool."""
    span = (0.0, 40_000.0)
    flows = (
        make_flow(deployment, 'regular', 0.9, span, ((deployment.long, 1),)),
        Flow(
            'regular',
            ((deployment.tag, 1),),
            TAGS_PER_S,
            *span,
            patience_ms=PATIENCE_MS,
        ),
    )
    requests = draw_flows(deployment, flows)
    tag = deployment.tag.service
    tags = tuple(one for one in requests if one.service == tag)
    run = execute(deployment, policy, requests)
    alone = execute(deployment, policy, tags)
    beside_ms, alone_ms = (
        find_response(
            [one for one in each.list_records() if one.request.service == tag],
            95,
        )
        for each in (run, alone)
    )
    return (
        Figure('tags p95 / alone', beside_ms / alone_ms, 1.5),
        Figure('tags p95 ms', beside_ms),
        *list_invariants(run),
    )


@scenarios.register('top_flood')
def run_top_flood(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Count higher tiers shed before lower ones when the top tier floods."""
    whole = (0.0, 25_000.0)
    flows = tuple(
        make_flow(deployment, tier, load, whole)
        for tier, load in zip(TIERS[1:], (0.2, 0.3, 0.3), strict=True)
    )
    flood = make_flow(deployment, 'urgent', 3, (5000.0, 20_000.0))
    run = execute(deployment, policy, draw_flows(deployment, (*flows, flood)))
    goodput = run.measure_done(10_000, 20_000)
    capacity = measure_capacity(deployment, list_mix(deployment))
    return (
        Figure('goodput / capacity', goodput / capacity),
        *list_invariants(run),
    )


@scenarios.register('friday')
def run_friday(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure a wave of notices at 4x with one press deadline.

    A notice is a long request: the scenario counts notices, and with mixed
    work the count would reward whoever leaves the long ones out.
    """
    deadline_ms = 40_000.0
    mix = ((deployment.long, 1.0),)
    wave = make_flow(deployment, 'regular', 4, (0.0, 12_000.0), mix)
    wave = dataclasses.replace(wave, patience_ms=0, deadline_ms=deadline_ms)
    requests = draw_flows(deployment, (wave,))
    run = execute(deployment, policy, requests)
    allowed = min(count_finished(deployment, mix, deadline_ms), len(requests))
    delivered = sum(record.is_good() for record in run.list_records())
    return (
        Figure('before deadline / allowed', delivered / allowed, at_least=0.95),
        *list_invariants(run),
    )
