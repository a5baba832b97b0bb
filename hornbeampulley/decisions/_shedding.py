"""Load shedding by tier, lowest first, then by workspace share."""

from typing import Final

from hornbeampulley.decisions._actions import Reason
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._urgency import find_fresh_end

MAX_WAIT_MS: Final = 15000.0
MAX_WAITING: Final = 120000
DEADLINE_SLACK: Final = 1.05


class Shedder:
    """Refuses waiting requests that cannot be served.

    Parameters
    ----------
    state : State
        The state of the core.
    """

    def __init__(self, state: State) -> None:
        self._state = state

    def shed(self) -> None:
        """Refuse requests that exceed the allowed wait or have no target."""
        while self._state.queue.count and self._state.fleet.is_empty:
            self._shed_one(Reason.NO_TARGET)
        while self._is_excessive():
            self._shed_one(Reason.SHED)

    def shed_late(self) -> None:
        """Refuse requests that can no longer meet their deadline.

        Above the lowest waiting tier, they are kept until their callers are
        about to disconnect, since capacity may still be freed for them.
        """
        queue = self._state.queue
        now_ms = self._state.now_ms
        for rank in queue.mark_late(now_ms):
            # A request has become late; one of a lower tier is shed first.
            if queue.find_lowest_rank() > rank:
                self._shed_one(Reason.SHED)
        self._refuse_late(queue.list_departing(now_ms))
        self._shed_below_expired()
        late = queue.list_late(now_ms)
        while late:
            self._refuse_late(late)
            late = queue.list_late(now_ms)

    def _shed_below_expired(self) -> None:
        """Shed the tiers below a request that waited until its deadline.

        Tiers are served in order, so what waits below it has no prospect of
        being served, and it may be refused only after all of that.
        """
        queue = self._state.queue
        rank = queue.find_expired_rank(self._state.now_ms)
        if rank is None:
            return
        while queue.find_lowest_rank() > rank:
            self._shed_one(Reason.SHED)

    def _refuse_late(self, requests: list[Request]) -> None:
        for request in requests:
            self._state.queue.remove(request)
            self._state.refuse(request, Reason.DEADLINE)

    def _is_excessive(self) -> bool:
        queue = self._state.queue
        capacity = max(self._state.fleet.capacity, 1)
        if queue.count and self._is_hopeless(queue.find_shed_candidate()):
            return True
        if queue.count <= capacity:
            return False
        if queue.count > MAX_WAITING:
            return True
        wait_ms = queue.work_ms / capacity
        return wait_ms > self._find_allowed_wait(queue.find_shed_candidate())

    def _is_hopeless(self, request: Request) -> bool:
        """Tell whether a request past its objective will not begin in time.

        New requests go before it, so it waits for the capacity that they leave
        over, behind all that waits.
        """
        state = self._state
        if not request.objective_start_ms or not request.latest_start_ms:
            return False
        if find_fresh_end(request) >= state.now_ms:
            return False
        if state.fleet.has_free_slot(request.rank):
            return False
        reserve = request.reserve
        # Without its own prefill, so that large prompts do not go first.
        leaves_ms = reserve.begin_by_ms or reserve.deadline_ms
        left_ms = max(leaves_ms - state.now_ms, 0)
        rate = state.estimate_spare_rate()
        if state.queue.work_ms <= left_ms * rate:
            return False
        # Limits on starts leave slots free, so that the completed work does not
        # tell what the targets can do.
        return not state.fleet.limits_starts

    def _find_allowed_wait(self, request: Request) -> float:
        """Return how long the request to be shed next may wait."""
        if not request.latest_start_ms:
            return MAX_WAIT_MS
        left_ms = request.latest_start_ms - self._state.now_ms
        return max(left_ms, 0) * DEADLINE_SLACK

    def _shed_one(self, reason: Reason) -> None:
        request = self._state.queue.pop_shed_candidate()
        self._state.refuse(request, reason)
