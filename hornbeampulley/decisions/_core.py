"""The decision core, which maps events to actions."""

import math
import random
from collections.abc import Callable
from typing import Any, Final

from hornbeampulley.decisions._actions import Action, Reason
from hornbeampulley.decisions._capacity import SLOW_FROM
from hornbeampulley.decisions._completion import Completion, mark_running
from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._dispatch import Dispatcher
from hornbeampulley.decisions._events import (
    CacheEvent,
    Configure,
    Event,
    HomeLost,
    LoadReport,
    PartQuarantine,
    Progress,
    Quarantine,
    Release,
    Reserve,
    StartShare,
    TakeoverEnded,
    TargetDown,
    TargetSignals,
    TargetsLeaving,
    Tick,
    Withdraw,
)
from hornbeampulley.decisions._feasibility import FeasibilityChecker
from hornbeampulley.decisions._fleet import Fleet
from hornbeampulley.decisions._isolation import Isolation
from hornbeampulley.decisions._policies import policies
from hornbeampulley.decisions._preemption import Preemptor
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._shedding import Shedder
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState
from hornbeampulley.decisions._views import describe_state
from hornbeampulley.views import PoolState

_Handler = Callable[[Any], None]

# Events that neither free a slot nor add work, so that on their own they need
# no new decision.
_NO_DECISION_EVENTS: Final = (Progress, CacheEvent, LoadReport)
POLICY_NAME: Final = 'hornbeam'
# Rates change slowly, and the cost of sorting them grows with the targets.
BEST_RATES_INTERVAL_MS: Final = 500.0


class Core:
    """Schedules the requests of one pool shard; does no I/O, reads no clock.

    The driver passes every event to ``handle`` in order of arrival and
    executes the returned actions. The core grants no lease before the first
    ``Configure``. A lease is outstanding until its ``Release`` or the
    ``HomeLost`` of its home entry. The driver sends ``Tick`` a few times a
    second.

    Parameters
    ----------
    pool : str
        Name of the pool.
    seed : int
        Seed of the random numbers.
    is_takeover : bool
        Whether leases of a previous scheduler may still be outstanding, so
        that the concurrency limits start low.
    """

    def __init__(
        self,
        pool: str,
        seed: int = 0,
        is_takeover: bool = False,
    ) -> None:
        cost = CostModel()
        fleet = Fleet(cost, is_takeover)
        self._state = State(
            pool,
            random.Random(seed),
            cost,
            fleet,
            FeasibilityChecker(cost),
        )
        self._refreshed_ms = -math.inf
        self._shedder = Shedder(self._state)
        self._preemptor = Preemptor(self._state)
        isolation = Isolation(self._state, self._preemptor)
        self._dispatcher = Dispatcher(self._state, isolation)
        self._completion = Completion(self._state, self._preemptor)
        self._handlers: dict[type, _Handler] = {
            Reserve: self._reserve,
            Withdraw: self._withdraw,
            Progress: self._completion.handle_progress,
            Release: self._completion.handle_release,
            LoadReport: self._apply_load_report,
            CacheEvent: self._apply_cache_event,
            Configure: self._configure,
            TargetsLeaving: self._set_leaving,
            TargetDown: self._mark_target_down,
            TargetSignals: self._apply_signals,
            StartShare: self._set_start_share,
            HomeLost: self._drop_home,
            TakeoverEnded: self._end_takeover,
            Quarantine: self._apply_quarantine,
            PartQuarantine: self._apply_part_quarantine,
            Tick: self._tick,
        }

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            What happened.
        now_ms : float
            The current time; must not decrease from call to call.

        Returns
        -------
        tuple of Action
            In the order in which they must be executed.
        """
        self._state.now_ms = max(now_ms, self._state.now_ms)
        self._state.actions = []
        self._handlers[type(event)](event)
        is_changed = self._state.fleet.refresh_changed(self._state.now_ms)
        needs_no_decision = (
            isinstance(event, _NO_DECISION_EVENTS) and not is_changed
        )
        if self._state.configuration is not None and not needs_no_decision:
            self._decide()
        return tuple(self._state.actions)

    def describe(self) -> PoolState:
        """Describe the pool for status pages.

        Returns
        -------
        PoolState
            A copy that later events do not change.
        """
        return describe_state(self._state)

    def explain(self, request_id: str) -> tuple[str, ...]:
        """List the recent decisions about a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        tuple of str
            One line per decision, oldest first.
        """
        return self._state.history.list_lines(request_id)

    def _decide(self) -> None:
        self._shedder.shed_late()
        self._dispatcher.dispatch()
        self._preemptor.preempt()
        self._shedder.shed()

    def _reserve(self, event: Reserve) -> None:
        known = self._state.request_table.find(event.request_id)
        target = self._state.fleet.find(event.target)
        if known is not None:
            if known.is_waiting and target is not None:
                self._state.queue.remove(known)
                mark_running(self._state, known, target)
            return
        if target is not None:
            mark_running(self._state, self._add(event), target)
        elif not self._state.request_table.has_ended(event.request_id):
            self._admit(self._add(event))

    def _add(self, event: Reserve) -> Request:
        state = self._state
        request = Request(
            event,
            state.queue.find_rank(event.tier),
            state.now_ms - event.waited_ms,
            state.cost.estimate_price(event),
            state.feasibility.find_objective_start(event),
            state.feasibility.find_latest_start(event),
        )
        state.request_table.add(request)
        return request

    def _admit(self, request: Request) -> None:
        reserve = request.reserve
        state = self._state
        if state.quarantine.is_quarantined(reserve.fingerprint):
            state.refuse(request, Reason.QUARANTINED)
        elif state.deadly_parts.is_refused(reserve.prompt_parts, state.now_ms):
            state.refuse(request, Reason.QUARANTINED)
        elif self._state.request_table.is_key_taken(
            reserve, self._state.now_ms
        ):
            self._state.refuse(request, Reason.DUPLICATE_KEY)
        else:
            state.actions.extend(
                state.deadly_parts.begin_probe(
                    reserve.prompt_parts, state.now_ms
                ),
            )
            state.admit(request)

    def _withdraw(self, event: Withdraw) -> None:
        request = self._state.request_table.find(event.request_id)
        if request is not None and request.is_waiting:
            self._state.queue.remove(request)
            self._state.request_table.end(request)
            self._state.record_decision(request, 'withdraw')

    def _apply_load_report(self, event: LoadReport) -> None:
        target = self._state.fleet.find(event.target)
        if target is not None:
            reported_ms = self._state.now_ms - event.age_ms
            target.record_load_report(event.running + event.queued, reported_ms)
            target.health.allow_early_probe(reported_ms)
            if event.slowness is not None:
                capacity = self._state.cost.capacities.get(target.name)
                capacity.record_report(event.slowness, reported_ms)
                target.reported_slots = event.slots
                target.limit.set_ceiling(target.ceiling)
            self._state.fleet.mark_changed(target)

    def _apply_cache_event(self, event: CacheEvent) -> None:
        self._state.index.apply_event(event, self._state.now_ms)

    def _configure(self, event: Configure) -> None:
        state = self._state
        configuration = event.configuration
        state.configuration = configuration
        targets = configuration.list_pool_targets(state.pool)
        for target in targets:
            state.index.add_target(target.name, target.cache_blocks)
        state.queue.configure(configuration.tiers, configuration.workspaces)
        tiers = configuration.tiers.values()
        for gone in state.fleet.configure(targets, tiers, state.now_ms):
            state.index.remove_target(gone)
            state.cost.remove_target(gone)
        for service in configuration.services.values():
            state.cost.set_initial_length(service.name, service.output_tokens)

    def _set_leaving(self, event: TargetsLeaving) -> None:
        self._state.fleet.set_leaving(event.targets, self._state.now_ms)

    def _mark_target_down(self, event: TargetDown) -> None:
        self._completion.mark_target_down(event.target)

    def _apply_signals(self, event: TargetSignals) -> None:
        target = self._state.fleet.find(event.target)
        if target is not None:
            target.throttle.set(
                event.rate_limit, event.back_off_ms, self._state.now_ms
            )
            self._state.fleet.mark_changed(target)

    def _set_start_share(self, event: StartShare) -> None:
        self._state.fleet.set_start_share(event, self._state.now_ms)

    def _drop_home(self, event: HomeLost) -> None:
        self._completion.drop_home(event.home)

    def _end_takeover(self, _: TakeoverEnded) -> None:
        self._state.fleet.raise_limits()

    def _apply_quarantine(self, event: Quarantine) -> None:
        if not self._state.quarantine.is_quarantined(event.fingerprint):
            self._state.quarantine.add(event.fingerprint)
            self._completion.refuse_quarantined(event.fingerprint)

    def _apply_part_quarantine(self, event: PartQuarantine) -> None:
        self._state.deadly_parts.apply(event, self._state.now_ms)
        if event.period_ms:
            self._completion.refuse_with_part(event.part)

    def _tick(self, _: Tick) -> None:
        self._state.drain.advance(self._state.now_ms)
        self._state.demand.advance(self._state.now_ms)
        self._completion.settle_crashes()
        self._completion.clear_answered()
        self._completion.check_overdue()
        self._refresh_best_rates()
        capacities = self._state.cost.capacities
        for target in self._state.fleet:
            is_healthy = target.health.is_healthy
            if not is_healthy or capacities.get(target.name).slowness != 1:
                self._state.fleet.mark_changed(target)

    def _refresh_best_rates(self) -> None:
        if self._state.now_ms - self._refreshed_ms < BEST_RATES_INTERVAL_MS:
            return
        self._refreshed_ms = self._state.now_ms
        self._state.cost.refresh_best_rates(
            target.name for target in self._state.fleet if target.slots
        )
        for target in self._state.fleet:
            # One at a time: many slow targets would be late all together.
            if not target.running and self._try_again(target):
                break

    def _try_again(self, target: TargetState) -> bool:
        """Let an idle target show whether it still is slow, if it was."""
        cost = self._state.cost
        is_slow = cost.get_relative_time(target.name) > SLOW_FROM
        capacity = cost.capacities.get(target.name)
        is_due = is_slow and capacity.is_stale(self._state.now_ms)
        if is_due:
            cost.start_trial(target.name, target.ceiling)
            self._state.warn('target_tried_again', target.name)
            self._state.fleet.mark_changed(target)
        return is_due


@policies.register(POLICY_NAME)
def make_core(pool: str, seed: int) -> Core:
    """Create the core for a pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    Core
        A core that has not been configured yet.
    """
    return Core(pool, seed)
