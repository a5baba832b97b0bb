"""Simple policies that serve as baselines in benchmarks."""

import random
from collections import Counter, deque
from typing import Final

from hornbeampulley.configuration import Configuration, Target, Tier
from hornbeampulley.decisions._actions import Action, Lease
from hornbeampulley.decisions._events import (
    Configure,
    Event,
    HomeLost,
    LoadReport,
    Outcome,
    Release,
    Reserve,
    TargetDown,
    TargetsLeaving,
    Withdraw,
)
from hornbeampulley.decisions._policies import policies

LEASE_VALID_MS: Final = 1000.0


class _Baseline:
    """Leases each request immediately to a target chosen by a subclass."""

    def __init__(self, pool: str, seed: int) -> None:
        self._pool = pool
        self._random = random.Random(seed)
        self._configuration = Configuration()
        self._targets: tuple[Target, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._down_ms: dict[str, float] = {}
        self._open_requests: dict[str, Reserve] = {}
        self._now_ms = 0.0

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions."""
        self._now_ms = now_ms
        if isinstance(event, Reserve):
            self._open_requests[event.request_id] = event
            return self._lease_request(event)
        if isinstance(event, Release):
            return self._end(event)
        return self._update(event)

    def _update(self, event: Event) -> tuple[Action, ...]:
        if isinstance(event, Configure):
            self._configuration = event.configuration
            self._targets = event.configuration.list_pool_targets(self._pool)
        elif isinstance(event, TargetsLeaving):
            self._leaving = event.targets
        elif isinstance(event, TargetDown):
            self._down_ms[event.target] = self._now_ms
        elif isinstance(event, LoadReport):
            self._record_report(event)
        else:
            self._remove_request(event)
        return ()

    def _remove_request(self, event: Event) -> None:
        if isinstance(event, Withdraw):
            self._open_requests.pop(event.request_id, None)
        elif isinstance(event, HomeLost):
            self._forget_home(event.home)

    def _record_report(self, report: LoadReport) -> None:
        down_ms = self._down_ms.get(report.target, self._now_ms)
        if self._now_ms - report.age_ms > down_ms:
            self._down_ms.pop(report.target)

    def _forget_home(self, home: str) -> None:
        for request in list(self._open_requests.values()):
            if request.home == home:
                self._open_requests.pop(request.request_id)

    def _lease_request(self, request: Reserve) -> tuple[Action, ...]:
        live = self._list_live()
        if not live:
            return ()
        return (_lease(request, self._choose_target(live)),)

    def _end(self, release: Release) -> tuple[Action, ...]:
        request = self._open_requests.get(release.request_id)
        if request is None:
            return ()
        if release.outcome is Outcome.NOT_SENT:
            return self._lease_request(request)
        self._open_requests.pop(release.request_id)
        return ()

    def _list_live(self) -> list[Target]:
        return [
            target
            for target in self._targets
            if target.name not in self._leaving
            and target.name not in self._down_ms
        ]

    def _choose_target(self, live: list[Target]) -> Target:
        return live[0]


@policies.register('round_robin')
class RoundRobin(_Baseline):
    """Leases to the live targets in turn.

    Parameters
    ----------
    pool : str
        Name of the pool.
    seed : int
        Not used.
    """

    def __init__(self, pool: str, seed: int) -> None:
        super().__init__(pool, seed)
        self._next_index = 0

    def _choose_target(self, live: list[Target]) -> Target:
        self._next_index += 1
        return live[self._next_index % len(live)]


@policies.register('least_load')
class LeastLoad(_Baseline):
    """Leases to the target with the least load by its last report.

    Parameters
    ----------
    pool : str
        Name of the pool.
    seed : int
        Breaks ties.
    """

    def __init__(self, pool: str, seed: int) -> None:
        super().__init__(pool, seed)
        self._loads: Counter[str] = Counter()

    def _record_report(self, report: LoadReport) -> None:
        super()._record_report(report)
        self._loads[report.target] = report.running + report.queued

    def _choose_target(self, live: list[Target]) -> Target:
        least = min(self._loads[target.name] for target in live)
        return self._random.choice(
            [target for target in live if self._loads[target.name] == least],
        )


@policies.register('fifo_tiers')
class FifoTiers(_Baseline):
    """Fills free slots in order of tier, first come first served in a tier.

    Parameters
    ----------
    pool : str
        Name of the pool.
    seed : int
        Not used.
    """

    def __init__(self, pool: str, seed: int) -> None:
        super().__init__(pool, seed)
        self._queues: dict[str, deque[Reserve]] = {}
        self._running: Counter[str] = Counter()
        self._leased_targets: dict[str, str] = {}

    def _update(self, event: Event) -> tuple[Action, ...]:
        super()._update(event)
        if isinstance(event, Configure):
            self._add_queues(event.configuration)
        return self._fill_slots()

    def _lease_request(self, request: Reserve) -> tuple[Action, ...]:
        self._queues[request.tier].append(request)
        return self._fill_slots()

    def _end(self, release: Release) -> tuple[Action, ...]:
        target_name = self._leased_targets.pop(release.request_id, '')
        self._running[target_name] -= 1
        actions = super()._end(release)
        return actions + self._fill_slots()

    def _add_queues(self, configuration: Configuration) -> None:
        tiers = sorted(configuration.tiers.values(), key=_get_rank)
        self._queues = {
            tier.name: self._queues.get(tier.name, deque()) for tier in tiers
        }

    def _fill_slots(self) -> tuple[Action, ...]:
        actions: list[Action] = []
        while any(self._queues.values()):
            target = self._find_free()
            if target is None:
                break
            actions.extend(self._dispatch_next(target))
        return tuple(actions)

    def _find_free(self) -> Target | None:
        live = self._list_live()
        if not live:
            return None
        target = max(live, key=self._count_free)
        return target if self._count_free(target) > 0 else None

    def _dispatch_next(self, target: Target) -> tuple[Action, ...]:
        queue = next(queue for queue in self._queues.values() if queue)
        request = queue.popleft()
        if request.request_id not in self._open_requests:
            return ()
        self._running[target.name] += 1
        self._leased_targets[request.request_id] = target.name
        return (_lease(request, target),)

    def _count_free(self, target: Target) -> int:
        return target.slots - self._running[target.name]


def _get_rank(tier: Tier) -> int:
    return tier.rank


def _lease(request: Reserve, target: Target) -> Lease:
    return Lease(request.request_id, request.home, target.name, LEASE_VALID_MS)
