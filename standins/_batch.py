"""Continuous batching of the model engine stand-in."""

import collections
import dataclasses
import os
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Final

import trio

from hornbeampulley.clock import MS_PER_SECOND, to_seconds
from standins._faults import FaultSwitch
from standins._lag import LaggedValue, make_clock
from standins._prefix_cache import EventJournal, PrefixCache
from standins._runs import ENDED, Run, RunState

CRASH_EXIT_CODE: Final = 70


def exit_at_once() -> None:
    """End the process without any cleanup."""
    os._exit(CRASH_EXIT_CODE)  # noqa: WPS437


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of an engine stand-in.

    Attributes
    ----------
    slots : int
        Generations that run concurrently.
    step_ms : float
        Duration of one decoding step with a single generation.
    step_growth : float
        Fraction of ``step_ms`` added for each further generation.
    prefill_rate : float
        Prompt tokens prefilled per second.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    load_lag_ms, event_lag_ms : float
        Delay in ms before load reports and cache events become visible.
    event_gap : float
        Fraction (0 to 1) of the cache events that are lost.
    keep_ms : float
        Time for which an ended stream can still be read, and after which a
        stream without readers is cancelled.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    crash_marker : str
        A prompt that contains this text crashes the engine; empty to
        disable.
    seed : int
        Seed of the random number generator.
    """

    slots: int = 8
    step_ms: float = 10
    step_growth: float = 0.02
    prefill_rate: float = 5000
    cache_blocks: int = 1000
    load_lag_ms: float = 0
    event_lag_ms: float = 0
    event_gap: float = 0
    keep_ms: float = 30_000
    checks_fencing: bool = False
    crash_marker: str = ''
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Number of running and queued generations of an engine."""

    running: int = 0
    queued: int = 0


class Batch:
    """Runs generations step by step, admitted in order of arrival.

    Parameters
    ----------
    settings : EngineSettings
        Settings of the engine.
    faults : FaultSwitch
        Its ``slowness`` multiplies the duration of each step.
    crash : callable
        Called when a prompt contains the crash marker.
    """

    def __init__(
        self,
        settings: EngineSettings,
        faults: FaultSwitch,
        crash: Callable[[], None] = exit_at_once,
    ) -> None:
        self.journal = EventJournal(
            settings.event_lag_ms,
            settings.event_gap,
            settings.seed,
        )
        self.load = LaggedValue(Load(), settings.load_lag_ms)
        self.crashes = 0
        self.clock = make_clock()
        self._settings = settings
        self._faults = faults
        self._crash = crash
        self._cache = PrefixCache(settings.cache_blocks, self.journal)
        self._queue: collections.deque[Run] = collections.deque()
        self._running: list[Run] = []
        self._arrived = trio.Event()

    def add(self, run: Run) -> None:
        """Queue a generation and start it if a slot is free."""
        run.unread_since_ms = self.clock.now()
        self._queue.append(run)
        self._update_slots()
        self._arrived.set()

    def stop(self, run: Run, state: RunState) -> None:
        """End a generation early and free its slot."""
        run.stop(state)
        self._update_slots()

    async def read(self, run: Run, start: int) -> AsyncIterator[bytes]:
        """Yield the answer of a generation from token ``start`` on."""
        run.readers += 1
        try:
            async for line in run.stream(start):
                yield line
        finally:
            run.readers -= 1
            run.unread_since_ms = self.clock.now()

    async def work(self) -> None:
        """Run steps until cancelled."""
        while True:
            if not self._running:
                self._arrived = trio.Event()
                await self._arrived.wait()
            step_ms = self._compute_step_ms()
            await trio.sleep(to_seconds(step_ms))
            self._step(step_ms / self._faults.slowness)

    def _compute_step_ms(self) -> float:
        others = max(len(self._running) - 1, 0)
        growth = 1 + self._settings.step_growth * others
        return self._settings.step_ms * growth * self._faults.slowness

    def _step(self, step_ms: float) -> None:
        prefilled = self._settings.prefill_rate * step_ms / MS_PER_SECOND
        budget = max(int(prefilled), 1)
        for run in self._running:
            if run.is_prefilled:
                run.produce_token()
                continue
            budget -= run.prefill(budget)
            if run.is_prefilled:
                self._cache.insert(run.blocks)
        self._stop_unread()
        self._update_slots()

    def _stop_unread(self) -> None:
        limit_ms = self.clock.now() - self._settings.keep_ms
        for run in (*self._running, *self._queue):
            if not run.readers and run.unread_since_ms < limit_ms:
                run.stop(RunState.CANCELLED)

    def _update_slots(self) -> None:
        """Free the slots of ended generations and admit queued ones."""
        self._running = self._remove_ended(self._running)
        self._queue = collections.deque(self._remove_ended(self._queue))
        while self._queue and len(self._running) < self._settings.slots:
            self._admit(self._queue.popleft())
        self.load.put(Load(len(self._running), len(self._queue)))

    def _remove_ended(self, runs: Iterable[Run]) -> list[Run]:
        still_open: list[Run] = []
        for run in runs:
            if run.state in ENDED:
                run.ended_ms = self.clock.now()
            else:
                still_open.append(run)
        return still_open

    def _admit(self, run: Run) -> None:
        marker = self._settings.crash_marker.encode()
        if marker and marker in run.prompt:
            self.crashes += 1
            self._crash()
        run.admit(self._cache.count_cached_tokens(run.blocks))
        self._running.append(run)
