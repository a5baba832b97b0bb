"""Measures what a policy costs: time and memory by targets and waiting."""

import argparse
import dataclasses
import gc
import itertools
import sys
import time
import tracemalloc
from collections.abc import Iterator
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.configuration import (
    Configuration,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.decisions import (
    Action,
    Configure,
    Event,
    Lease,
    Outcome,
    Policy,
    Progress,
    Refuse,
    Release,
    Reserve,
    policies,
)

BOUND_US: Final = 155.0
US_PER_MS: Final = 1000.0
POOL: Final = 'pool'
SLOTS: Final = 4
TIERS: Final = 4
WORKSPACES: Final = 5
PROMPT_TOKENS: Final = 640
BLOCKS: Final = 10
# So short that 100,000 may wait at 10 targets without being shed.
DURATION_MS: Final = 4.0
FIRST_TOKEN_MS: Final = 3.0
OUTPUT_TOKENS: Final = 2
WARM_UP_REQUESTS: Final = 3000
TARGET_COUNTS: Final = (10, 100, 1000)
WAITING_COUNTS: Final = (100, 1000, 10_000, 100_000)
REQUESTS: Final = 2000
ROUNDS: Final = 3
COUNTED_REQUESTS: Final = 200
PROFILED: Final = frozenset(('call', 'c_call'))


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one size costs.

    Attributes
    ----------
    targets, waiting : int
        The size; the second as kept by the policy after shedding.
    request_us : float
        Microseconds of the policy for all events of a request.
    waiting_bytes : float
        Bytes that one waiting request holds.
    """

    targets: int
    waiting: int
    request_us: float
    waiting_bytes: float


class Saturated:
    """A policy whose targets are full and whose queue is long.

    Parameters
    ----------
    name : str
        Name of the policy in the registry.
    targets, waiting : int
        How many targets there are, and how many requests wait.
    """

    def __init__(self, name: str, targets: int, waiting: int) -> None:
        self._policy: Policy = policies.find(name)(POOL, 1)
        self._numbers = itertools.count()
        self._running: dict[str, str] = {}
        self.spent_s = 0.0
        self.calls = 0
        self.is_counting = False
        self._open = 0
        self._now_ms = 0.0
        self._step_ms = DURATION_MS / (targets * SLOTS)
        self._handle(Configure(_build_configuration(targets)))
        for _ in range(targets * SLOTS):
            self._arrive()
        for _ in range(WARM_UP_REQUESTS):
            self.turn_over()
        self._waiting = waiting

    def fill_queue(self) -> None:
        """Add the waiting requests."""
        for _ in range(self._waiting):
            self._arrive()

    def count_waiting(self) -> int:
        """Count the requests that wait."""
        return self._open - len(self._running)

    def turn_over(self) -> None:
        """End the oldest running request and let a new one arrive."""
        self._now_ms += self._step_ms
        self._arrive()
        if not self._running:
            return
        request_id = next(iter(self._running))
        self._running.pop(request_id)
        self._handle(Progress(request_id, 1, FIRST_TOKEN_MS))
        self._open -= 1
        release = Release(
            request_id,
            Outcome.DONE,
            OUTPUT_TOKENS,
            FIRST_TOKEN_MS,
            DURATION_MS,
            0,
        )
        self._handle(release)

    def _arrive(self) -> None:
        number = next(self._numbers)
        reserve = Reserve(
            request_id=f'r{number}',
            home=f'h{number % 8}',
            workspace=f'w{number % WORKSPACES}',
            service='service',
            tier=f't{number % TIERS}',
            prompt_tokens=PROMPT_TOKENS,
            block_hashes=tuple(
                number * BLOCKS + block for block in range(BLOCKS)
            ),
            fingerprint=number + 1,
        )
        self._open += 1
        self._handle(reserve)

    def _handle(self, event: Event) -> None:
        if self.is_counting:
            sys.setprofile(self._profile)
        started_s = time.perf_counter()
        actions = self._policy.handle(event, self._now_ms)
        self.spent_s += time.perf_counter() - started_s
        sys.setprofile(None)
        self._follow(actions)

    def _profile(self, _frame: object, event: str, _argument: object) -> None:
        if event in PROFILED:
            self.calls += 1

    def _follow(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, Lease):
                self._running[action.request_id] = action.target
            elif isinstance(action, Refuse):
                self._open -= 1


def measure(name: str, targets: int, waiting: int) -> Cost:
    """Measure the cost of a policy at one size.

    Parameters
    ----------
    name : str
        Name of the policy in the registry.
    targets, waiting : int
        How many targets there are, and how many requests wait.

    Returns
    -------
    Cost
        By the clock and the allocator of this machine.
    """
    load = Saturated(name, targets, waiting)
    before = load.count_waiting()
    gc.collect()
    tracemalloc.start()
    load.fill_queue()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kept = load.count_waiting()
    request_us = min(_time_round(load) for _ in range(ROUNDS))
    added = max(kept - before, 1)
    return Cost(targets, kept, request_us, held / added)


def count_calls(name: str, targets: int, waiting: int) -> float:
    """Count the Python calls of a policy for one request.

    Parameters
    ----------
    name : str
        Name of the policy in the registry.
    targets, waiting : int
        How many targets there are, and how many requests wait.

    Returns
    -------
    float
        Calls of Python and C functions, the same in each run.
    """
    load = Saturated(name, targets, waiting)
    load.fill_queue()
    load.is_counting = True
    for _ in range(COUNTED_REQUESTS):
        load.turn_over()
    return load.calls / COUNTED_REQUESTS


def run_all(name: str) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f'{"targets":>8} {"waiting":>8} {"us/request":>11} {"bytes":>8} bound'
    for targets in TARGET_COUNTS:
        for waiting in WAITING_COUNTS:
            cost = measure(name, targets, waiting)
            verdict = 'yes' if cost.request_us <= BOUND_US else 'NO'
            yield (
                f'{targets:>8} {cost.waiting:>8} {cost.request_us:>11.1f} '
                f'{cost.waiting_bytes:>8.0f} {verdict}'
            )


def main() -> None:
    """Parse the arguments and print the report."""
    parser = argparse.ArgumentParser(prog='python -m bench.cost')
    parser.add_argument('--policy', default='hornbeam')
    arguments = parser.parse_args()
    print(f'bound: {BOUND_US:g} us a request')
    for line in run_all(arguments.policy):
        print(line, flush=True)


def _build_configuration(targets: int) -> Configuration:
    return Configuration(
        tiers={f't{rank}': Tier(f't{rank}', rank) for rank in range(TIERS)},
        workspaces={f'w{one}': Workspace(f'w{one}') for one in range(5)},
        services={'service': Service('service', POOL)},
        targets={
            f'b{number}': Target(
                f'b{number}',
                POOL,
                '10.0.0.1',
                8000,
                'zone',
                slots=SLOTS,
            )
            for number in range(targets)
        },
    )


def _time_round(load: Saturated) -> float:
    load.spent_s = 0
    for _ in range(REQUESTS):
        load.turn_over()
    return load.spent_s * MS_PER_SECOND * US_PER_MS / REQUESTS


if __name__ == '__main__':
    main()
