"""Preemption of running streams when the top tier finds no free slot."""

from typing import Final

from hornbeampulley.decisions._actions import Preempt
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState

SAMPLED_TARGETS: Final = 8
PENDING_WEIGHT: Final = 20.0


class Preemptor:
    """Preempts streams of the lowest tier, the least wasteful ones first.

    Parameters
    ----------
    state : State
        The state of the core.
    """

    def __init__(self, state: State) -> None:
        self._state = state

    def preempt(self) -> None:
        """Order one preemption per top-tier request without a free slot."""
        fleet = self._state.fleet
        self._restore_headroom()
        if fleet.has_free_slot(fleet.top_rank):
            return
        waiting = self._state.queue.count_ready(fleet.top_rank)
        while fleet.preemptible and fleet.preempting < waiting:
            victim = self._find_victim()
            if victim is None:
                return
            self.preempt_request(victim)

    def _restore_headroom(self) -> None:
        """Free a slot on each target that was just leased to the top tier.

        The next urgent request can then choose among several targets, instead
        of waiting for the prefill of the previous one.
        """
        fleet = self._state.fleet
        for name in self._state.urgent_targets:
            target = fleet.find(name)
            if target is not None and fleet.lacks_headroom(target):
                victims = self._list_victims(target)
                if victims:
                    self.preempt_request(min(victims, key=self._get_victim_key))
        self._state.urgent_targets.clear()

    def preempt_request(self, request: Request) -> None:
        """Order the preemption of a running request."""
        self._state.fleet.mark_preempting(request)
        self._state.record_decision(request, 'preempt', request.target)
        self._state.actions.append(
            Preempt(request.request_id, request.reserve.home, request.target),
        )

    def _find_victim(self) -> Request | None:
        fleet = self._state.fleet
        names = fleet.names
        if len(names) > SAMPLED_TARGETS:
            names = self._state.random.sample(names, SAMPLED_TARGETS)
        victims = [
            request
            for name in names
            for request in self._list_victims(fleet.find(name))
        ]
        return min(victims, key=self._get_victim_key, default=None)

    def _list_victims(self, target: TargetState | None) -> list[Request]:
        if target is None or target.is_reserved or not target.slots:
            return []
        return [one for one in target.running.values() if one.can_preempt]

    def _get_victim_key(self, request: Request) -> tuple[int, float]:
        """Return the sort key of a victim; the least is preempted first.

        The least urgent rank comes first; within it, the request with the
        least work to lose, on a target with little pending prefill in front of
        the urgent request.
        """
        now_ms = self._state.now_ms
        target = self._state.fleet.find(request.target)
        pending_ms = target.estimate_prefill_backlog(now_ms) if target else 0
        elapsed_ms = now_ms - request.leased_ms
        return (-request.rank, elapsed_ms + PENDING_WEIGHT * pending_ms)
