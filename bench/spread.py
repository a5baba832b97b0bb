"""Measure the spread of tickets: ``python -m bench.spread``."""

import dataclasses
import json
import math
from collections import Counter
from typing import Final

from bench.fleet import Fleet, make_target, write_hosts, write_ticket
from hornbeampulley.membership import (
    GossipSettings,
    ReadAnswer,
    ReadingSettings,
)

SIZES: Final = (8, 50, 410)
SEEDS: Final = (1, 2, 3)
WARM_MS: Final = 15_000.0
STEADY_MS: Final = 60_000.0
LIMIT_MS: Final = 10_000.0
KILLED_SHARE: Final = 0.15
CHANGES_PER_DAY: Final = 25_000
SECONDS_PER_DAY: Final = 86_400
MEGABYTE_TARGETS: Final = 9_300
UNBOUNDED: Final = ReadingSettings(calls_per_second=1e9)
OFTEN_MS: Final = 1600.0
OUTAGE_MS: Final = 30_000.0
BASE_SCOPES: Final = ('tiers', 'workspaces', 'services', 'rules')


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadResult:
    """How a change reached all agents.

    Attributes
    ----------
    spread_ms : float
        From the first reader to the last living agent.
    rounds : int
        The same in ticks, rounded up.
    bodies : float
        Whole tickets received for each agent that needed one.
    """

    spread_ms: float
    rounds: int
    bodies: float


@dataclasses.dataclass(frozen=True, slots=True)
class SteadyResult:
    """What a fleet uses when nothing changes.

    Attributes
    ----------
    reads_per_second : float
        Calls to the service by all agents.
    oldest_ms : float
        Highest age of any ticket at any agent at the end.
    bytes_per_second : float
        Sent and received by an agent, on average.
    core_share : float
        Processor time of an agent's ticket gossip by elapsed time.
    """

    reads_per_second: float
    oldest_ms: float
    bytes_per_second: float
    core_share: float


def list_service_scopes(count: int) -> tuple[str, ...]:
    """Return the scopes in force: 2 pools today, 8 at the target's size."""
    pools = 2 if count < SIZES[-1] else 8
    names = tuple(f'targets/pool-{index}' for index in range(pools))
    return (*BASE_SCOPES, *names)


def make_fleet(count: int, settings: GossipSettings, seed: int) -> Fleet:
    """Return a fleet that holds ticket 1 of each scope."""
    texts = [write_ticket(1, scope) for scope in list_service_scopes(count)]
    fleet = Fleet(count, settings, seed, (*texts, write_hosts(1)))
    fleet.run_until(WARM_MS)
    return fleet


def measure_spread(count: int, seed: int, text: bytes) -> SpreadResult:
    """Let one agent read ticket 2, stop the service and kill agents."""
    fleet = make_fleet(count, GossipSettings(), seed)
    fleet.service.is_up = False
    first, *others = fleet.generator.sample(list(fleet.agents), count)
    started_ms = fleet.now_ms
    scope = json.loads(text)['scope']
    fleet.give(fleet.agents[first], ReadAnswer(scope, text, started_ms))
    for name in others[: int(count * KILLED_SHARE)]:
        delay_ms = fleet.generator.random() * 1000
        fleet.schedule(delay_ms, lambda name=name: fleet.kill(name))
    fleet.run_until(
        started_ms + LIMIT_MS,
        lambda: fleet.holds(scope, 2),
    )
    spread_ms = fleet.now_ms - started_ms
    rounds = math.ceil(spread_ms / fleet.settings.tick_ms)
    bodies = sum(agent.bodies.total() for agent in fleet.living)
    return SpreadResult(spread_ms, rounds, bodies / (len(fleet.living) - 1))


def measure_steady(count: int, settings: GossipSettings) -> SteadyResult:
    """Run a fleet with nothing to do."""
    fleet = make_fleet(count, settings, SEEDS[0])
    calls = len(fleet.service.calls)
    used = sum_bytes(fleet)
    fleet.handled_seconds = 0
    fleet.run_until(WARM_MS + STEADY_MS)
    seconds = STEADY_MS / 1000
    ages = [
        agent.ticket_gossip.get_confirmed_age_ms(scope, fleet.now_ms)
        for agent in fleet.living
        for scope in fleet.service.texts
    ]
    return SteadyResult(
        (len(fleet.service.calls) - calls) / seconds,
        max(ages),
        (sum_bytes(fleet) - used) / seconds / count,
        fleet.handled_seconds / seconds / count,
    )


def measure_change(count: int, text: bytes) -> tuple[int, float]:
    """Return the calls in the second after a change and bytes an agent."""
    fleet = make_fleet(count, GossipSettings(), SEEDS[0])
    steady = measure_steady(count, GossipSettings()).bytes_per_second
    used = sum_bytes(fleet)
    calls = len(fleet.service.calls)
    scope = json.loads(text)['scope']
    fleet.service.write(text, scope)
    fleet.run_until(fleet.now_ms + 1000)
    burst = len(fleet.service.calls) - calls
    fleet.run_until(fleet.now_ms + 7000)
    spent = (sum_bytes(fleet) - used) / count - steady * 8
    return burst, spent


def measure_outage(count: int) -> tuple[int, int]:
    """Return the most calls in a second of an outage and after it."""
    fleet = make_fleet(count, GossipSettings(), SEEDS[0])
    fleet.service.is_up = False
    down_ms = fleet.now_ms
    fleet.run_until(down_ms + OUTAGE_MS)
    fleet.service.is_up = True
    fleet.run_until(down_ms + OUTAGE_MS + 10_000)
    seconds = Counter(
        int((moment_ms - down_ms) // 1000)
        for moment_ms in fleet.service.calls
        if moment_ms >= down_ms
    )
    outage_seconds = int(OUTAGE_MS // 1000)
    during = [seconds[index] for index in range(outage_seconds)]
    after = [seconds[outage_seconds + index] for index in range(10)]
    return max(during), max(after)


def sum_bytes(fleet: Fleet) -> int:
    """Return the bytes sent and received by all agents."""
    return sum(
        agent.bytes_sent + agent.bytes_received
        for agent in fleet.agents.values()
    )


def write_large_ticket(number: int) -> bytes:
    """Return a ticket of nearly a megabyte."""
    state = [make_target(index) for index in range(MEGABYTE_TARGETS)]
    document = {'ticket': number, 'scope': 'targets/pool-0', 'state': state}
    return json.dumps(document).encode()


def report_spread() -> None:
    """Print how fast a change is in force everywhere."""
    texts = {'small': write_ticket(2), 'large': write_large_ticket(2)}
    for name, text in texts.items():
        for count in SIZES:
            seeds = SEEDS if name == 'small' else SEEDS[:1]
            found = [measure_spread(count, seed, text) for seed in seeds]
            print(
                f'spread ticket={name} bytes={len(text)} agents={count} '
                f'worst_ms={max(one.spread_ms for one in found):.0f} '
                f'rounds={max(one.rounds for one in found)} '
                f'bodies={max(one.bodies for one in found):.2f}',
            )


def report_reads() -> None:
    """Print the calls a second with and without renewal by serials.

    The last of each three reads often enough to keep tickets as fresh as the
    first does.
    """
    often = dataclasses.replace(UNBOUNDED, refresh_ms=OFTEN_MS)
    variants = ((True, UNBOUNDED), (False, UNBOUNDED), (False, often))
    for count in SIZES:
        for renews, reading in variants:
            settings = GossipSettings(renews=renews, reading=reading)
            steady = measure_steady(count, settings)
            print(
                f'steady agents={count} renews={renews} '
                f'refresh_ms={reading.refresh_ms:.0f} '
                f'scopes={len(list_service_scopes(count)) + 1} '
                f'reads_per_second={steady.reads_per_second:.1f} '
                f'oldest_ms={steady.oldest_ms:.0f} '
                f'bytes_per_second={steady.bytes_per_second:.0f} '
                f'core_percent={steady.core_share * 100:.3f}',
            )


def report_changes() -> None:
    """Print what a change costs, and a day of them."""
    for count in SIZES:
        burst, spent = measure_change(count, write_ticket(2))
        rate = spent * CHANGES_PER_DAY / SECONDS_PER_DAY
        print(
            f'change agents={count} calls_in_first_second={burst} '
            f'bytes_per_agent={spent:.0f} '
            f'bytes_per_second_at_25000_a_day={rate:.0f}',
        )


def report_outages() -> None:
    """Print the calls while the service is down and when it returns."""
    for count in SIZES:
        during, after = measure_outage(count)
        print(
            f'outage agents={count} most_calls_a_second={during} '
            f'after_return={after}',
        )


def main() -> None:
    """Print all figures."""
    report_spread()
    report_reads()
    report_changes()
    report_outages()


if __name__ == '__main__':
    main()
