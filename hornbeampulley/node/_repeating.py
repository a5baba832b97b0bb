"""Periodic tasks that continue after a failure."""

import logging
import math
from collections.abc import Callable
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds

TICK_MS: Final = 50.0
SWEEP_MS: Final = 250.0
# A wake-up that was planned for a sweep may come this much earlier.
ROUNDING_MS: Final = 0.1
_log = logging.getLogger(__name__)


class Ticker:
    """Runs the periodic work of a node with as few wake-ups as it needs.

    A node with nothing to schedule wakes up for the sweep only. A request of a
    caller or a message of a peer, from which work may come, wakes it.

    Parameters
    ----------
    tick : callable
        Called each `TICK_MS` while there is work, and with each sweep.
    sweep : callable
        Called each `SWEEP_MS`.
    is_idle : callable
        Tells whether there is nothing that a tick would have to do.
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self,
        tick: Callable[[], None],
        sweep: Callable[[], None],
        is_idle: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._tick = tick
        self._sweep = sweep
        self._is_idle = is_idle
        self._clock = clock
        self._swept_ms = -math.inf
        self._is_asleep = False
        self._pause = trio.CancelScope()

    async def run(self) -> None:
        """Work until cancelled; exceptions are logged and do not end this."""
        while True:
            self._work()
            with trio.CancelScope() as pause:
                pause.deadline = trio.current_time() + to_seconds(self._plan())
                self._pause = pause
                await trio.sleep_forever()

    def wake(self) -> None:
        """Tick again within `TICK_MS`, since there may be work from now on."""
        if self._is_asleep:
            self._is_asleep = False
            soon_s = trio.current_time() + to_seconds(TICK_MS)
            self._pause.deadline = min(self._pause.deadline, soon_s)

    def _work(self) -> None:
        _call(self._tick)
        now_ms = self._clock.now()
        if now_ms - self._swept_ms + ROUNDING_MS >= SWEEP_MS:
            self._swept_ms = now_ms
            _call(self._sweep)

    def _plan(self) -> float:
        """Return the time until the next work, in ms."""
        self._is_asleep = self._is_idle()
        left_ms = self._swept_ms + SWEEP_MS - self._clock.now()
        return left_ms if self._is_asleep else min(left_ms, TICK_MS)


def _call(step: Callable[[], None]) -> None:
    try:
        step()
    except Exception:
        _log.exception('a periodic step failed')
