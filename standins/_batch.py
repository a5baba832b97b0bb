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
    """End the process without any cleaning up."""
    os._exit(CRASH_EXIT_CODE)  # noqa: WPS437


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """How an engine behaves.

    Attributes
    ----------
    slots : int
        Generations that run side by side.
    step_ms : float
        Time of one step with one generation.
    step_growth : float
        Share of ``step_ms`` added for each further generation.
    prefill_rate : float
        Prompt tokens prefilled a second.
    cache_blocks : int
        Blocks that the prefix cache holds.
    load_lag_ms, event_lag_ms : float
        Age of load reports and of cache events.
    event_gap : float
        Share (0 to 1) of the cache events that are lost.
    keep_ms : float
        How long an ended stream can be read, and how long one that nobody
        reads goes on.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    crash_marker : str
        Text of a prompt that crashes the engine; empty for none.
    seed : int
        Seed of all that is random.
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
    """Generations on an engine."""

    running: int = 0
    queued: int = 0


class Batch:
    """Runs generations in steps; admits them in order of arrival.

    Parameters
    ----------
    settings : EngineSettings
        How the engine behaves.
    faults : FaultSwitch
        Its ``slowness`` stretches each step.
    crash : callable
        Called when a generation crashes the engine.
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
        self._settle()
        self._arrived.set()

    def stop(self, run: Run, state: RunState) -> None:
        """End a generation early and free its slot."""
        run.stop(state)
        self._settle()

    async def read(self, run: Run, start: int) -> AsyncIterator[bytes]:
        """Yield the answer of a generation from a token on."""
        run.readers += 1
        try:
            async for line in run.stream(start):
                yield line
        finally:
            run.readers -= 1
            run.unread_since_ms = self.clock.now()

    async def work(self) -> None:
        """Step for ever."""
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
        self._settle()

    def _stop_unread(self) -> None:
        limit_ms = self.clock.now() - self._settings.keep_ms
        for run in (*self._running, *self._queue):
            if not run.readers and run.unread_since_ms < limit_ms:
                run.stop(RunState.CANCELLED)

    def _settle(self) -> None:
        """Free the slots of ended generations and fill them."""
        self._running = self._keep_open(self._running)
        self._queue = collections.deque(self._keep_open(self._queue))
        while self._queue and len(self._running) < self._settings.slots:
            self._admit(self._queue.popleft())
        self.load.put(Load(len(self._running), len(self._queue)))

    def _keep_open(self, runs: Iterable[Run]) -> list[Run]:
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
