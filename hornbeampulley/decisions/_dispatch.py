"""Grants leases while targets have free slots."""

from typing import Final, NamedTuple

from hornbeampulley.decisions._actions import Lease, Reason
from hornbeampulley.decisions._events import Reserve
from hornbeampulley.decisions._isolation import Isolation
from hornbeampulley.decisions._placement import PrefixMatch
from hornbeampulley.decisions._requests import Request, Stage
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState

LEASE_VALID_MS: Final = 1000.0
MAX_WAIT_FACTOR: Final = 2.0
WASTE_WEIGHT: Final = 20.0
URGENT_WEIGHT: Final = 5.0
SPARE_SLOTS: Final = 3
SCARCITY_WEIGHT: Final = 1.0
# Requests skipped in one round; bounds the time that a round takes.
MAX_SKIPS: Final = 8
# The same for requests that only one software version can go on with.
MAX_BOUND_SKIPS: Final = 64


class _Placement(NamedTuple):
    """A chosen target and the prompt tokens expected in its cache."""

    target: TargetState
    cached_tokens: int


class Dispatcher:
    """Leases requests in queue order, each to the target with the best score.

    The score is the expected completion time, weighted for cache reuse and
    for the scarcity of slots.

    Parameters
    ----------
    state : State
        The state of the core.
    isolation : Isolation
        Assigns targets to requests that must run in isolation.
    """

    def __init__(self, state: State, isolation: Isolation) -> None:
        self._state = state
        self._isolation = isolation

    def dispatch(self) -> None:
        """Grant all leases that are possible now."""
        self._dispatch_isolated()
        queue = self._state.queue
        skips = 0
        bound_skips = 0
        while skips < MAX_SKIPS and bound_skips < MAX_BOUND_SKIPS:
            rank = queue.choose_rank(self._state.fleet.has_free_slot)
            if rank is None:
                break
            request = queue.find_next(rank)
            is_skipped = not self._dispatch_one(request)
            if request.reserve.software:
                bound_skips += is_skipped
            else:
                skips += is_skipped
        queue.restore_skipped()

    def _dispatch_one(self, request: Request) -> bool:
        """Process the next request of a rank; return False if it is skipped."""
        queue = self._state.queue
        fingerprint = request.reserve.fingerprint
        if self._state.quarantine.is_quarantined(fingerprint):
            queue.dequeue(request)
            self._state.refuse(request, Reason.QUARANTINED)
        elif request.reserve.software:
            return self._dispatch_bound(request)
        elif self._state.quarantine.is_suspect(fingerprint):
            queue.dequeue(request)
            queue.isolate(request)
            self._state.record_decision(request, 'wait', 'must run alone')
            self._dispatch_isolated()
        else:
            return self._dispatch_or_skip(request)
        return True

    def _dispatch_bound(self, request: Request) -> bool:
        """Process a request that only one software version can go on with."""
        if self._state.fleet.has_software(request.reserve.software):
            return self._dispatch_or_skip(request)
        self._state.queue.dequeue(request)
        self._state.refuse(request, Reason.OTHER_SOFTWARE)
        return True

    def _dispatch_or_skip(self, request: Request) -> bool:
        placement = self._choose_target(request)
        if placement is None:
            self._state.queue.skip(request)
            return False
        request, placement = self._yield_slow_target(request, placement)
        self._state.queue.dequeue(request)
        if self._claim_key(request):
            self._lease(request, placement)
        return True

    def _yield_slow_target(
        self,
        request: Request,
        placement: _Placement,
    ) -> tuple[Request, _Placement]:
        """Leave a slow target to the workspace that is most over its share.

        The request itself waits for a while, since a faster target that soon
        becomes free would complete it earlier.
        """
        if not self._is_worth_waiting(request, placement.target):
            return request, placement
        other = self._state.queue.find_most_over_share(request)
        other_placement = self._choose_target(other) if other else None
        if other_placement is None:
            return request, placement
        return other, other_placement

    def _is_worth_waiting(self, request: Request, target: TargetState) -> bool:
        relative_time = self._state.cost.get_relative_time(target.name)
        waited_ms = self._state.now_ms - request.arrived_ms
        return (
            waited_ms < MAX_WAIT_FACTOR * (relative_time - 1) * request.price_ms
        )

    def _dispatch_isolated(self) -> None:
        """Lease reserved idle targets to suspect requests."""
        for request, target in self._isolation.pop_runnable():
            if self._claim_key(request):
                self._lease(request, _Placement(target, 0))

    def _claim_key(self, request: Request) -> bool:
        is_free = self._state.request_table.claim_key(
            request.reserve,
            self._state.now_ms,
        )
        if not is_free:
            self._state.refuse(request, Reason.DUPLICATE_KEY)
        return is_free

    def _choose_target(self, request: Request) -> _Placement | None:
        """Choose the target with the lowest score for a request.

        Parameters
        ----------
        request : Request
            A waiting request.

        Returns
        -------
        _Placement or None
            None if all targets with a free slot are too slow for it.
        """
        match = self._state.index.match(request.reserve.block_hashes)
        if request.reserve.block_hashes:
            self._state.index.record_reuse(match)
        now_ms = self._state.now_ms
        best = min(
            (
                target
                for target in self._list_candidates(request, match)
                if self._state.feasibility.is_in_time(request, target, now_ms)
            ),
            key=lambda target: (
                self._score(request, target, match),
                target.name,
            ),
            default=None,
        )
        if best is None:
            return None
        cached_tokens = self._count_cached(request, best, match)
        return _Placement(best, int(cached_tokens))

    def _list_candidates(
        self,
        request: Request,
        match: PrefixMatch,
    ) -> list[TargetState]:
        fleet = self._state.fleet
        software = request.reserve.software
        if software:
            candidates = fleet.list_of_software(software, request.rank)
            return _leave_out(candidates, request.reserve.avoided)
        candidates = fleet.list_candidates(request.rank)
        for name in self._state.index.list_holders(match):
            target = fleet.find(name)
            if target is not None and target not in candidates:
                if fleet.can_accept(target, request.rank):
                    candidates.append(target)
        return _leave_out(candidates, request.reserve.avoided)

    def _score(
        self,
        request: Request,
        target: TargetState,
        match: PrefixMatch,
    ) -> float:
        """Return the weighted time to complete a request on a target.

        Prefill that the cache saves, and prefill that other requests will
        repeat because their prefixes are evicted, weigh more than their time.
        """
        now_ms = self._state.now_ms
        reserve = request.reserve
        cached_tokens = self._count_cached(request, target, match)
        lost_tokens = self._estimate_evicted(reserve, cached_tokens, target)
        expected_ms = self._state.cost.estimate_duration(
            target.name,
            reserve,
            cached_tokens,
            target.estimate_load(now_ms),
        )
        if request.rank != self._state.fleet.top_rank:
            expected_ms *= self._compute_scarcity_factor(request, target)
        waste_ms = self._state.cost.estimate_prefill_price(
            lost_tokens - cached_tokens
        )
        pending_ms = target.estimate_prefill_backlog(now_ms)
        if request.rank == self._state.fleet.top_rank:
            pending_ms *= URGENT_WEIGHT
        return expected_ms + pending_ms + WASTE_WEIGHT * waste_ms

    def _compute_scarcity_factor(
        self, request: Request, target: TargetState
    ) -> float:
        """Return a factor that keeps a target's last slots for short requests.

        A long request would occupy such a slot for so long that short ones
        would find only slow targets free.
        """
        if target.limit.slots - len(target.running) > SPARE_SLOTS:
            return 1
        length = request.price_ms / self._state.cost.mean_price_ms
        return 1 + SCARCITY_WEIGHT * min(length, 1)

    def _count_cached(
        self,
        request: Request,
        target: TargetState,
        match: PrefixMatch,
    ) -> float:
        blocks = len(request.reserve.block_hashes)
        if not blocks:
            return 0
        share = (
            self._state.index.estimate_cached_blocks(target.name, match)
            / blocks
        )
        return share * request.reserve.prompt_tokens

    def _estimate_evicted(
        self,
        reserve: Reserve,
        cached_tokens: float,
        target: TargetState,
    ) -> float:
        blocks = len(reserve.block_hashes)
        if not blocks:
            return 0
        block_tokens = reserve.prompt_tokens / blocks
        fresh = blocks - cached_tokens / block_tokens
        lost = self._state.index.estimate_evictions(
            target.name,
            fresh,
            self._state.now_ms,
        )
        return lost * block_tokens

    def _lease(self, request: Request, placement: _Placement) -> None:
        target = placement.target
        cached_tokens = placement.cached_tokens
        request.stage = Stage.RUNNING
        if request.resume:
            # The exported KV cache is imported, which saves the prefill.
            cached_tokens = request.reserve.prompt_tokens
        request.expected_cached = cached_tokens
        request.cached_tokens = cached_tokens
        request.begun_ms = 0
        request.has_lost_target = False
        request.is_crash_concluded = False
        request.delay_sampled = False
        expected_ms = self._state.cost.estimate_duration(
            target.name,
            request.reserve,
            cached_tokens,
            target.estimate_load(self._state.now_ms),
        )
        self._state.fleet.start(target, request, self._state.now_ms)
        self._state.index.insert(
            target.name,
            request.reserve.block_hashes,
            self._state.now_ms,
        )
        self._state.queue.record_dispatch(request.rank)
        self._state.cost.record_price(request.price_ms)
        if request.rank == self._state.fleet.top_rank:
            self._state.urgent_targets.append(target.name)
        self._state.retry_budget.earn(request.reserve.workspace)
        self._state.record_decision(request, 'lease', target.name)
        self._state.actions.append(
            Lease(
                request.request_id,
                request.reserve.home,
                target.name,
                LEASE_VALID_MS,
                request.resume,
                expected_ms,
                request.reserve.software,
                self._state.cost.capacities.get(target.name).slowness,
            ),
        )


def _leave_out(
    candidates: list[TargetState], avoided: str
) -> list[TargetState]:
    """Leave out a target, unless it is the only one."""
    others = [target for target in candidates if target.name != avoided]
    return others or candidates
