"""The targets of a pool, indexed by free slots."""

import heapq
import math
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from hornbeampulley.configuration import ServiceKind, Target, Tier
from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._events import StartShare
from hornbeampulley.decisions._limits import AdaptiveLimit
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._targets import TargetState

MAX_CANDIDATES: Final = 8
PENDING_WEIGHT: Final = 0.002
MAX_EJECTED_SHARE: Final = 0.5
STALE_ENTRIES: Final = 64
SHORT_CALL_MS: Final = 200.0


class _Candidate(NamedTuple):
    """A heap entry for one version of a target with a free slot.

    Targets with a lower weight come first.
    """

    weight: float
    version: int
    name: str


class Fleet:
    """Finds targets with free slots without a scan of all targets.

    One heap for the top rank and one for each headroom below it hold the
    targets with a free slot, ordered by load and speed. Entries become stale
    when the state of their target changes.

    Parameters
    ----------
    cost : CostModel
        Estimates the speed of targets.
    is_takeover : bool
        Whether concurrency limits start low.

    Attributes
    ----------
    capacity : int
        Total number of requests that the targets may run at once.
    preempting : int
        Running requests whose preemption has been ordered.
    preemptible : int
        Other running requests that may be preempted.
    top_rank : int
        Rank of the most urgent tier.
    """

    def __init__(self, cost: CostModel, is_takeover: bool = False) -> None:
        self.capacity = 0
        self.preempting = 0
        self.preemptible = 0
        self.top_rank = 0
        self._cost = cost
        self._is_takeover = is_takeover
        self._states: dict[str, TargetState] = {}
        self._headroom: dict[int, float] = {0: 0.0}
        self._heap_ranks: dict[int, int] = {0: 0}
        self._heaps: dict[int, list[_Candidate]] = {0: []}
        self._leaving: frozenset[str] = frozenset()
        self._changed: dict[str, None] = {}
        self._reopenings: list[tuple[float, str]] = []
        self._recent_sum = 0.0

    def __iter__(self) -> Iterator[TargetState]:
        """Iterate over the targets."""
        return iter(tuple(self._states.values()))

    @property
    def names(self) -> list[str]:
        """Return the names of the targets."""
        return list(self._states)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no target, or all are leaving."""
        return all(state.is_leaving for state in self._states.values())

    @property
    def limits_starts(self) -> bool:
        """Tell whether any target bounds how often requests start there."""
        return any(state.limits_starts for state in self._states.values())

    def find(self, name: str) -> TargetState | None:
        """Return the target of a name, or None if it is unknown."""
        return self._states.get(name)

    def configure(
        self,
        targets: Iterable[Target],
        tiers: Iterable[Tier],
        now_ms: float,
    ) -> list[str]:
        """Apply a new set of targets and tiers.

        Parameters
        ----------
        targets : iterable of Target
            The targets of the pool.
        tiers : iterable of Tier
            All tiers.
        now_ms : float
            The current time.

        Returns
        -------
        list of str
            Names of the removed targets. A target that still runs requests is
            kept as leaving; a call after they have ended removes it.
        """
        known = {target.name: target for target in targets}
        for target in known.values():
            self._add(target)
            self._states[target.name].limit_starts(now_ms)
        self._set_headroom(sorted(tiers, key=lambda tier: tier.rank))
        for state in self:
            state.is_leaving = self._is_leaving(state.name, known)
            self.refresh(state, now_ms)
        return self._remove_targets(known)

    def set_leaving(self, names: frozenset[str], now_ms: float) -> None:
        """Replace the set of leaving targets."""
        for state in self:
            was_listed = state.name in self._leaving
            if was_listed or state.name in names:
                state.is_leaving = state.name in names
                self.refresh(state, now_ms)
        self._leaving = names

    def set_start_share(self, event: StartShare, now_ms: float) -> None:
        """Set which part of the bounds on starts may be granted."""
        for state in self:
            if state.starts is not None:
                state.starts.set_share(event.share, event.phase)
                if event.is_takeover:
                    state.starts.begin(now_ms)
                self.mark_changed(state)

    def refresh(self, state: TargetState, now_ms: float) -> None:
        """Update the heap entries and the capacity after a target changed."""
        state.version += 1
        capacity = self._cost.capacities.get(state.name)
        state.limit.set_bound(capacity.handled)
        capacity.refresh(state.limit.slots, now_ms)
        slots = state.bound_slots(self._cost.mean_price_ms, now_ms)
        self.capacity += slots - state.counted_slots
        state.counted_slots = slots
        state.open_ranks = state.find_open_ranks(
            self._find_headroom_shares(state),
            now_ms,
            is_last_resort=not self.capacity,
        )
        open_ms = state.find_open_time(now_ms)
        if now_ms < open_ms < math.inf:
            heapq.heappush(self._reopenings, (open_ms, state.name))
        ranks = state.open_ranks
        if now_ms < state.lower_ranks_open_ms:
            heapq.heappush(
                self._reopenings, (state.lower_ranks_open_ms, state.name)
            )
            ranks = ranks[:1]
        weight = self._compute_weight(state, now_ms)
        candidate = _Candidate(weight, state.version, state.name)
        for rank in ranks:
            heap = self._heaps[self._heap_ranks[rank]]
            heapq.heappush(heap, candidate)
            self._compact(heap)

    def mark_changed(self, state: TargetState) -> None:
        """Mark a target to be refreshed by ``refresh_changed``."""
        self._changed[state.name] = None

    def refresh_changed(self, now_ms: float) -> bool:
        """Refresh the targets that are marked as changed.

        Targets whose prefill backlog has become short enough for lower tiers,
        or that take requests again, count as changed.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if there were any.
        """
        while self._reopenings and self._reopenings[0][0] <= now_ms:
            self._changed[heapq.heappop(self._reopenings)[1]] = None
        for name in self._changed:
            if name in self._states:
                self.refresh(self._states[name], now_ms)
        is_changed = bool(self._changed)
        self._changed.clear()
        return is_changed

    def has_free_slot(self, rank: int) -> bool:
        """Tell whether any target has a free slot for a rank."""
        heap = self._heaps[self._heap_ranks[rank]]
        while heap and not self._is_valid(heap[0]):
            heapq.heappop(heap)
        return bool(heap)

    def can_accept(self, state: TargetState, rank: int) -> bool:
        """Tell whether a target has a free slot for a rank."""
        return self._heap_ranks[rank] in state.open_ranks

    def list_candidates(self, rank: int) -> list[TargetState]:
        """List a few targets with a free slot, those of least weight first."""
        heap = self._heaps[self._heap_ranks[rank]]
        found: list[_Candidate] = []
        while heap and len(found) < MAX_CANDIDATES:
            candidate = heapq.heappop(heap)
            if self._is_valid(candidate):
                found.append(candidate)
        for valid in found:
            heapq.heappush(heap, valid)
        return [self._states[one.name] for one in found]

    def has_software(self, software: str) -> bool:
        """Tell whether a target of a software version takes requests."""
        return any(
            state.target.software == software and not state.is_leaving
            for state in self._states.values()
        )

    def list_of_software(self, software: str, rank: int) -> list[TargetState]:
        """List the targets of a software version with a free slot."""
        return [
            state
            for state in self._states.values()
            if state.target.software == software
            and self.can_accept(state, rank)
        ]

    def start(
        self,
        state: TargetState,
        request: Request,
        now_ms: float,
    ) -> None:
        """Register a request as running on a target."""
        state.add(request)
        ms_per_token = self._cost.get_prefill_rate(state.name)
        request.prefill_ms = request.uncached_tokens * ms_per_token
        request.queued_prefill_ms = state.add_prefill(
            request.prefill_ms, now_ms
        )
        request.target = state.name
        request.leased_ms = now_ms
        request.fill = len(state.running)
        is_lower = request.rank > self.top_rank
        request.preemptible = is_lower and request.reserve.repeatable
        self.preemptible += request.preemptible
        state.record_start(now_ms)
        if not state.health.is_healthy:
            state.health.start_probe(now_ms)
        self.refresh(state, now_ms)

    def finish(self, request: Request) -> None:
        """Register that a request is no longer running."""
        if request.preempting:
            request.preempting = False
            self.preempting -= 1
        elif request.preemptible:
            self.preemptible -= 1
        state = self._states[request.target]
        state.remove(request)
        self.mark_changed(state)

    def mark_preempting(self, request: Request) -> None:
        """Register that a request's preemption has been ordered."""
        request.preempting = True
        self.preempting += 1
        self.preemptible -= request.preemptible

    def observe(self, state: TargetState, ratio: float, now_ms: float) -> bool:
        """Update a target's health from the duration of a request.

        Parameters
        ----------
        state : TargetState
            The target.
        ratio : float
            Duration of the request relative to its price.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if the target's condition has changed.
        """
        condition = state.health.condition
        before = state.health.recent_ratio
        others = max(len(self._states) - 1, 1)
        pool_ratio = (self._recent_sum - before) / others
        state.health.observe(ratio, pool_ratio, now_ms)
        self._recent_sum += state.health.recent_ratio - before
        if not state.health.is_healthy and self._exceeds_ejected_share():
            state.health.cancel_ejection()
        if state.health.condition is condition:
            return False
        if state.health.is_healthy:
            state.limit.reset_to_floor()
        return True

    def lacks_headroom(self, state: TargetState) -> bool:
        """Tell whether a target lacks headroom for the top tier.

        Slots of requests that are being preempted count as free.
        """
        shares = list(self._find_headroom_shares(state).values())
        return len(shares) > 1 and state.lacks_headroom(shares[1])

    def raise_limits(self) -> None:
        """Raise the concurrency limit of each target to its ceiling."""
        self._is_takeover = False
        for state in self:
            state.limit.raise_to_ceiling()
            self.mark_changed(state)

    def find_least_busy(self) -> TargetState | None:
        """Return the unreserved healthy target with the fewest requests."""
        states = [
            state for state in self if state.slots and not state.is_reserved
        ]
        return min(states, key=lambda state: len(state.running), default=None)

    def _add(self, target: Target) -> None:
        state = self._states.get(target.name)
        if state is None:
            limit = AdaptiveLimit(target.slots, self._is_takeover)
            self._states[target.name] = TargetState(target, limit)
            return
        if state.is_replaced_by(target):
            self._cost.capacities.remove(target.name)
            state.reported_slots = None
        state.target = target
        state.limit.set_ceiling(state.ceiling)

    def _remove_targets(self, known: dict[str, Target]) -> list[str]:
        gone = [
            name
            for name in self.names
            if name not in known and not self._states[name].running
        ]
        for name in gone:
            self._recent_sum -= self._states.pop(name).health.recent_ratio
        return gone

    def _set_headroom(self, tiers: list[Tier]) -> None:
        """Sum the headroom of the tiers above each rank.

        Ranks below the top with equal sums share the heap of the most urgent
        one of them.
        """
        self._headroom = {}
        self._heap_ranks = {}
        kept = 0.0
        previous = -1.0
        for tier in tiers or [Tier('', 0)]:
            if len(self._heap_ranks) < 2 or kept != previous:
                self._headroom.setdefault(tier.rank, kept)
            self._heap_ranks[tier.rank] = max(self._headroom)
            previous = kept
            kept += tier.headroom
        self.top_rank = min(self._headroom)
        self._heaps = {rank: [] for rank in self._headroom}

    def _find_headroom_shares(self, state: TargetState) -> dict[int, float]:
        # Short calls free their slots quickly, so no headroom is needed.
        is_plain = state.target.kind is ServiceKind.PLAIN
        if is_plain and self._cost.mean_price_ms <= SHORT_CALL_MS:
            return dict.fromkeys(self._headroom, 0.0)
        return self._headroom

    def _is_leaving(self, name: str, known: dict[str, Target]) -> bool:
        return name in self._leaving or name not in known

    def _compute_weight(self, state: TargetState, now_ms: float) -> float:
        relative_time = self._cost.get_relative_time(state.name)
        pending_ms = state.estimate_prefill_backlog(now_ms)
        load = state.estimate_load(now_ms)
        capacity = self._cost.capacities.get(state.name)
        relative_step = self._cost.get_relative_step(state.name, load)
        # Where it is known, the time by fill takes the place of the load.
        if relative_step is None:
            relative_step = relative_time * (1 + load)
        return relative_step * capacity.slowness + PENDING_WEIGHT * pending_ms

    def _is_valid(self, candidate: _Candidate) -> bool:
        state = self._states.get(candidate.name)
        return state is not None and state.version == candidate.version

    def _compact(self, heap: list[_Candidate]) -> None:
        if len(heap) > 4 * len(self._states) + STALE_ENTRIES:
            valid = [one for one in heap if self._is_valid(one)]
            heap.clear()
            heap.extend(sorted(valid))

    def _exceeds_ejected_share(self) -> bool:
        ejected = sum(not state.health.is_healthy for state in self)
        allowed = math.floor(len(self._states) * MAX_EJECTED_SHARE)
        return ejected > allowed
