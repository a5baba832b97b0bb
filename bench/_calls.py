"""The scenario of plain services: bookings in a flood of lookups."""

from typing import Final

from bench._deployments import PLAIN_SLOTS, Deployment
from bench._figures import (
    Figure,
    find_response,
    list_invariants,
    measure_goodput,
)
from bench._requests import Request
from bench._scenarios import execute, keep_tier, scenarios
from bench._traffic import Flow, draw_flow, measure_mean_work
from hornbeampulley.clock import MS_PER_SECOND

PATIENCE_MS: Final = 5000.0
SPAN_MS: Final = (0.0, 5000.0)
FLOOD_MS: Final = (1000.0, 2500.0)


def _draw_calls(deployment: Deployment) -> tuple[Request, ...]:
    slots = deployment.plain_targets * PLAIN_SLOTS
    loads = (
        ('urgent', deployment.booking, 0.2, SPAN_MS),
        ('regular', deployment.lookup, 0.3, SPAN_MS),
        ('bulk', deployment.lookup, 5, FLOOD_MS),
    )
    requests: list[Request] = []
    for place, (tier, work, load, span) in enumerate(loads):
        mix = ((work, 1.0),)
        mean_ms = measure_mean_work(mix)
        rate_per_s = load * slots / mean_ms * MS_PER_SECOND
        flow = Flow(tier, mix, rate_per_s, *span, patience_ms=PATIENCE_MS)
        requests.extend(draw_flow(deployment, flow, place))
    return tuple(requests)


@scenarios.register('calls')
def run_calls(deployment: Deployment, policy: str) -> tuple[Figure, ...]:
    """Measure bookings of the top tier in a flood of lookups."""
    requests = _draw_calls(deployment)
    run = execute(deployment, policy, requests)
    idle = execute(deployment, policy, keep_tier(requests, 'urgent'))
    busy_ms = find_response(run.list_records(('urgent',)), 99)
    idle_ms = find_response(idle.list_records(), 99)
    slots = deployment.plain_targets * PLAIN_SLOTS
    return (
        Figure('bookings p99 / idle', busy_ms / idle_ms, 1.3),
        Figure(
            'bookings goodput',
            measure_goodput(run.list_records(('urgent',))),
            at_least=1,
        ),
        Figure('goodput / capacity', run.measure_done(*FLOOD_MS) / slots),
        *list_invariants(run),
    )
