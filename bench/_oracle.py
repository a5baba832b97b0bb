"""A policy that sees each engine's true cache and load: a bound, no rival."""

from collections import deque

from bench._engines import Engine
from hornbeampulley.decisions import (
    Action,
    Event,
    Lease,
    Outcome,
    Release,
    Reserve,
)

LEASE_MS = 1000.0


class Oracle:
    """Dispatches in order of arrival to the earliest end of prefill.

    Parameters
    ----------
    engines : dict
        Maps names to the fake engines.
    """

    def __init__(self, engines: dict[str, Engine]) -> None:
        self._engines = engines
        self._queue: deque[Reserve] = deque()
        self._open: dict[str, Reserve] = {}
        self._places: dict[str, str] = {}
        self._running = dict.fromkeys(engines, 0)

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Take an event and return leases."""
        if isinstance(event, Reserve):
            self._open[event.request_id] = event
            self._queue.append(event)
        elif isinstance(event, Release):
            self._end(event)
        return self._fill()

    def _end(self, release: Release) -> None:
        self._running[self._places.pop(release.request_id)] -= 1
        request = self._open.pop(release.request_id)
        if release.outcome is Outcome.NOT_SENT:
            self._open[release.request_id] = request
            self._queue.append(request)

    def _fill(self) -> tuple[Action, ...]:
        actions: list[Action] = []
        while self._queue:
            free = self._list_free()
            if not free:
                break
            actions.append(self._dispatch(self._queue.popleft(), free))
        return tuple(actions)

    def _list_free(self) -> list[Engine]:
        return [
            engine
            for name, engine in self._engines.items()
            if engine.is_up and self._running[name] < engine.spec.slots
        ]

    def _dispatch(self, request: Reserve, free: list[Engine]) -> Lease:
        engine = max(
            free,
            key=lambda one: (
                one.cache.count_prefix(request.block_hashes),
                one.spec.slots - self._running[one.target.name],
            ),
        )
        name = engine.target.name
        self._running[name] += 1
        self._places[request.request_id] = name
        return Lease(request.request_id, request.home, name, LEASE_MS)
