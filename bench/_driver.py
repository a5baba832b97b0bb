"""Runs a policy over arrivals and faults in virtual time."""

import dataclasses
import enum
import random
from typing import Final

from bench._audit import Audit
from bench._deployments import GENERATIONS, Deployment
from bench._engines import Engine
from bench._homes import FakeTarget, Homes
from bench._loop import Loop
from bench._oracle import Oracle
from bench._plain import PlainService
from bench._requests import Record, Request, Status
from bench._streams import PrefillCount
from hornbeampulley.configuration import Configuration, ServiceKind, Target
from hornbeampulley.decisions import (
    CacheEvent,
    Configure,
    LoadReport,
    Policy,
    TargetsLeaving,
    Tick,
    policies,
)

ORACLE: Final = 'oracle'
SEED: Final = 7

TICK_INTERVAL_MS: Final = 200.0
REPORT_INTERVAL_MS: Final = 1000.0
REPORT_LAG_MS: Final = 2000.0
CACHE_LAG_MS: Final = 1500.0
CACHE_LOSS: Final = 0.1
HOST_LIST_LAG_MS: Final = 1000.0
RESTART_MS: Final = 5000.0
RESEND_MS: Final = 1000.0
DEADLINE_GRACE_MS: Final = 1000.0


class FaultKind(enum.Enum):
    """What happens to a target."""

    SLOW = 'slow'
    DIE = 'die'
    LEAVE = 'leave'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that befalls a target.

    Attributes
    ----------
    kind : FaultKind
        What.
    target : str
        Which target.
    moment_ms : float
        When.
    """

    kind: FaultKind
    target: str
    moment_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one run is to do.

    Attributes
    ----------
    deployment : Deployment
        Whose fleet.
    requests : tuple of Request
        Arrivals, all of one pool.
    end_ms : float
        Moment at which the run stops.
    faults : tuple of Fault
        What befalls the targets.
    cache_blocks : int
        Prefix cache of each engine; 0 for that of its generation.
    resends : bool
        Whether callers send a lost request again under a new id.
    """

    deployment: Deployment
    requests: tuple[Request, ...]
    end_ms: float
    faults: tuple[Fault, ...] = ()
    cache_blocks: int = 0
    resends: bool = False


class Run:
    """One policy, one plan.

    Parameters
    ----------
    plan : Plan
        What to do.
    policy_name : str
        Name in the registry of policies, or ``oracle``.
    """

    def __init__(self, plan: Plan, policy_name: str) -> None:
        self.plan = plan
        self.prefills = PrefillCount()
        self.crashes = 0
        self._loop = Loop()
        self._dice = random.Random(SEED)
        self._sequences: dict[str, int] = {}
        self._resent = 0
        self._pool = plan.requests[0].pool
        configuration = self._build_configuration()
        self._targets = {
            target.name: self._build_target(target)
            for target in configuration.list_pool_targets(self._pool)
        }
        self.audit = Audit(configuration, self._loop)
        policy = self._build_policy(policy_name)
        self.homes = Homes(self._loop, policy, self._targets, self.audit)
        self.homes.on_crash = self._crash
        self.homes.on_lost = self._resend
        self.homes.tell(Configure(configuration))

    def execute(self) -> 'Run':
        """Run to the end and return itself."""
        for request in self.plan.requests:
            self._loop.call_at(request.arrived_ms, self.homes.arrive, request)
        for fault in self.plan.faults:
            self._loop.call_at(fault.moment_ms, self._inject, fault)
        for index, name in enumerate(self._targets):
            offset_ms = index * REPORT_INTERVAL_MS / len(self._targets)
            self._loop.call_at(offset_ms, self._report_load, name)
        self._loop.call_at(0, self._tick)
        self._loop.run_until(self.plan.end_ms)
        return self

    def list_records(
        self,
        tiers: tuple[str, ...] = (),
        start_ms: float = 0,
        end_ms: float = float('inf'),
    ) -> list[Record]:
        """List what became of the requests of some tiers and arrival times."""
        return [
            record
            for record in self.homes.records.values()
            if (not tiers or record.request.tier in tiers)
            and start_ms <= record.request.arrived_ms < end_ms
        ]

    def measure_done(self, start_ms: float, end_ms: float) -> float:
        """Measure the good work done per millisecond between two moments.

        A request that runs across a moment counts by its share of time.
        """
        total = sum(
            record.request.measure_work()
            * record.measure_share(start_ms, end_ms)
            for record in self.homes.records.values()
            if record.is_good()
        )
        return total / (end_ms - start_ms)

    def count_held_back(self) -> int:
        """Count requests undecided at the end, or refused long after deadline.

        One that still runs is not held back: its target is slow.
        """
        return sum(map(_is_held_back, self.homes.records.values()))

    def _build_configuration(self) -> Configuration:
        configuration = self.plan.deployment.build_configuration()
        if not self.plan.cache_blocks:
            return configuration
        targets = {
            name: dataclasses.replace(
                target,
                cache_blocks=self.plan.cache_blocks,
            )
            for name, target in configuration.targets.items()
        }
        return dataclasses.replace(configuration, targets=targets)

    def _build_target(self, target: Target) -> FakeTarget:
        if target.kind is ServiceKind.PLAIN:
            return PlainService(target, self._loop)
        spec = dataclasses.replace(
            GENERATIONS[target.generation],
            cache_blocks=target.cache_blocks,
        )
        return Engine(
            target,
            spec,
            self._loop,
            self.prefills,
            self._report_cache,
        )

    def _build_policy(self, name: str) -> Policy:
        if name == ORACLE:
            return Oracle(self._targets)
        return policies.find(name)(self._pool, SEED)

    def _tick(self) -> None:
        self.homes.tell(Tick())
        self._loop.call_after(TICK_INTERVAL_MS, self._tick)

    def _report_load(self, name: str) -> None:
        target = self._targets[name]
        if target.is_up:
            report = LoadReport(
                name,
                target.count_running(),
                target.count_queued(),
                REPORT_LAG_MS,
            )
            self._loop.call_after(REPORT_LAG_MS, self.homes.tell, report)
        self._loop.call_after(REPORT_INTERVAL_MS, self._report_load, name)

    def _report_cache(
        self,
        name: str,
        added: tuple[int, ...],
        removed: tuple[int, ...],
    ) -> None:
        sequence = self._sequences.get(name, 0) + 1
        self._sequences[name] = sequence
        if self._dice.random() < CACHE_LOSS:
            return
        event = CacheEvent(name, sequence, added, removed)
        self._loop.call_after(CACHE_LAG_MS, self.homes.tell, event)

    def _inject(self, fault: Fault) -> None:
        if fault.kind is FaultKind.SLOW:
            self._targets[fault.target].set_slowdown(10)
        elif fault.kind is FaultKind.DIE:
            self.homes.break_target(fault.target)
        else:
            self._loop.call_after(
                HOST_LIST_LAG_MS,
                self._announce_leaving,
                fault.target,
            )

    def _announce_leaving(self, name: str) -> None:
        self.audit.leaving[name] = self._loop.now_ms
        self.homes.tell(TargetsLeaving(frozenset((name,))))

    def _crash(self, name: str) -> None:
        self.crashes += 1
        self.homes.break_target(name)
        self._loop.call_after(RESTART_MS, self._restart, name)

    def _restart(self, name: str) -> None:
        self._targets[name].is_up = True

    def _resend(self, request: Request) -> None:
        if not self.plan.resends or request.crashes:
            return
        self._resent += 1
        arrives_ms = self._loop.now_ms + RESEND_MS
        deadline_ms = request.deadline_ms
        if deadline_ms:
            deadline_ms += arrives_ms - request.arrived_ms
        again = dataclasses.replace(
            request,
            request_id=f'again.{self._resent}',
            arrived_ms=arrives_ms,
            deadline_ms=deadline_ms,
        )
        self._loop.call_after(RESEND_MS, self.homes.arrive, again)


def _is_held_back(record: Record) -> bool:
    if record.status is Status.REFUSED:
        deadline_ms = record.request.deadline_ms or float('inf')
        return record.refused_at_ms > deadline_ms + DEADLINE_GRACE_MS
    return record.status is Status.WAITING
