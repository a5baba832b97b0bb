"""Isolation of suspect requests, each of which runs alone on a target."""

import math
from typing import Final

from hornbeampulley.decisions._preemption import Preemptor
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState

SUSPECTS_PER_TARGET: Final = 4
MAX_RESERVED_SHARE: Final = 1 / 3


class Isolation:
    """Reserves targets while suspect requests wait.

    Parameters
    ----------
    state : State
        The state of the core.
    preemptor : Preemptor
        Preempts the requests that run on a newly reserved target.
    """

    def __init__(self, state: State, preemptor: Preemptor) -> None:
        self._state = state
        self._preemptor = preemptor
        self._reserved: dict[str, TargetState] = {}

    def pop_runnable(self) -> list[tuple[Request, TargetState]]:
        """Dequeue the suspect requests that can run now.

        Returns
        -------
        list of (Request, TargetState)
            Each request with the idle target that is to run it.
        """
        for target in tuple(self._reserved.values()):
            if not self._is_usable(target):
                self._release_target(target)
        suspects = self._list_suspects()
        if not suspects:
            self._release_idle()
            return []
        self._reserve(len(suspects))
        idle = [one for one in self._reserved.values() if self._is_idle(one)]
        pairs = list(zip(suspects, idle, strict=False))
        for request, _ in pairs:
            self._state.queue.remove(request)
        return pairs

    def _list_suspects(self) -> list[Request]:
        """List the requests that must run alone, and requeue all others.

        The suspicion of a content may have been cleared while it waited.
        """
        suspects: list[Request] = []
        for request in self._state.queue.list_isolated():
            if self._state.quarantine.is_suspect(request.reserve.fingerprint):
                suspects.append(request)
            else:
                self._state.queue.remove(request)
                self._state.queue.push(request)
        return suspects

    def _reserve(self, suspects: int) -> None:
        allowed = int(len(self._state.fleet.names) * MAX_RESERVED_SHARE)
        wanted = math.ceil(suspects / SUSPECTS_PER_TARGET)
        for _ in range(len(self._reserved), min(wanted, max(allowed, 1))):
            target = self._state.fleet.find_least_busy()
            if target is None:
                return
            self._reserved[target.name] = target
            target.is_reserved = True
            self._state.fleet.refresh(target, self._state.now_ms)
            self._preempt_running(target)

    def _preempt_running(self, target: TargetState) -> None:
        for request in target.running.values():
            if request.can_preempt:
                self._preemptor.preempt_request(request)

    def _release_idle(self) -> None:
        for target in tuple(self._reserved.values()):
            if not target.running:
                self._release_target(target)

    def _release_target(self, target: TargetState) -> None:
        self._reserved.pop(target.name)
        target.is_reserved = False
        self._state.fleet.refresh(target, self._state.now_ms)

    def _is_idle(self, target: TargetState) -> bool:
        is_open = self._state.now_ms >= target.find_open_time(
            self._state.now_ms
        )
        return is_open and not target.running

    def _is_usable(self, target: TargetState) -> bool:
        is_known = self._state.fleet.find(target.name) is target
        return is_known and target.slots > 0
