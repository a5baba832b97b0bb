"""A fake model engine with continuous batching."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable

from bench._loop import Loop
from bench._prefixes import PrefixCache
from bench._requests import BLOCK_TOKENS, Request
from bench._streams import EngineSpec, PrefillCount, Stream
from hornbeampulley.configuration import Target


class Engine:
    """A model engine: FIFO beyond its slots, no priorities.

    Parameters
    ----------
    target : Target
        What the configuration says of it.
    spec : EngineSpec
        Its true speeds.
    loop : Loop
        Virtual time.
    prefills : PrefillCount
        Where it counts prompt tokens.
    on_cache : callable
        Called with the target's name and the blocks added and removed.
    """

    def __init__(
        self,
        target: Target,
        spec: EngineSpec,
        loop: Loop,
        prefills: PrefillCount,
        on_cache: Callable[[str, tuple[int, ...], tuple[int, ...]], None],
    ) -> None:
        self.target = target
        self.spec = spec
        self.cache = PrefixCache(spec.cache_blocks)
        self.is_up = True
        self.slowdown = 1.0
        self._loop = loop
        self._prefills = prefills
        self._on_cache = on_cache
        self._queue: deque[Stream] = deque()
        self._prefilling: deque[Stream] = deque()
        self._running: dict[str, Stream] = {}
        self._decoding: list[tuple[float, int, Stream]] = []
        self._batch = 0
        self._sequence = itertools.count()
        self._mark = 0.0
        self._marked_ms = 0.0
        self._wake = 0

    def count_running(self) -> int:
        """Count the admitted streams."""
        return len(self._running)

    def count_queued(self) -> int:
        """Count the streams beyond the slots."""
        return len(self._queue)

    def submit(self, stream: Stream) -> None:
        """Take a stream; it runs when a slot is free."""
        self._queue.append(stream)
        self._admit()

    def cancel(self, stream: Stream) -> None:
        """Stop a stream and note on it what it produced."""
        if stream.is_gone:
            return
        stream.is_gone = True
        if self._running.pop(stream.request.request_id, None) is None:
            self._queue.remove(stream)
            return
        stream.produced = self.count_produced(stream)
        stream.keeps_kv = stream.joined_mark >= 0 and self.spec.exports_kv
        self._leave(stream)
        self._admit()

    def count_produced(self, stream: Stream) -> int:
        """Return the tokens that a stream has produced here."""
        if stream.joined_mark < 0:
            return 0
        self._advance()
        left = stream.request.output_tokens - stream.produced_before
        return min(int(self._mark - stream.joined_mark), left)

    def set_slowdown(self, factor: float) -> None:
        """Make every step and prefill longer by a factor."""
        self._advance()
        self.slowdown = factor
        self._schedule()

    def crash(self) -> list[Stream]:
        """Lose all streams and the cache; return the streams."""
        streams = [*self._running.values(), *self._queue]
        for stream in streams:
            stream.is_gone = True
            if stream.joined_mark < 0:
                continue
            self._prefills.thrown_away += stream.prefilled_tokens
        self.is_up = False
        self._queue.clear()
        self._prefilling.clear()
        self._running.clear()
        self._decoding.clear()
        self._batch = 0
        self._wake += 1
        self.cache.clear()
        return streams

    def _leave(self, stream: Stream) -> None:
        self._advance()
        if stream.joined_mark >= 0:
            self._batch -= 1
        if stream.joined_mark >= 0 and not stream.keeps_kv:
            self._prefills.thrown_away += stream.prefilled_tokens
        if stream in self._prefilling:
            self._stop_prefill(stream)

    def _find_cached(self, request: Request) -> int:
        blocks = self.cache.count_prefix(request.block_hashes)
        return min(blocks * BLOCK_TOKENS, request.prompt_tokens)

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.spec.slots:
            stream = self._queue.popleft()
            stream.admitted_ms = self._loop.now_ms
            self._running[stream.request.request_id] = stream
            if stream.has_kv:
                self._join(stream)
                continue
            self._start_prefill(stream)
        self._schedule()

    def _start_prefill(self, stream: Stream) -> None:
        request = stream.request
        stream.cached_tokens = self._find_cached(request)
        hit = stream.cached_tokens // BLOCK_TOKENS
        self.cache.touch(request.block_hashes[:hit])
        fresh = request.prompt_tokens - stream.cached_tokens
        stream.prefilled_tokens = fresh + stream.produced_before
        self._prefilling.append(stream)
        if len(self._prefilling) == 1:
            self._run_prefill()

    def _run_prefill(self) -> None:
        stream = self._prefilling[0]
        rate = self.spec.prefill_tokens_per_ms / self.slowdown
        delay_ms = stream.prefilled_tokens / rate
        self._loop.call_after(delay_ms, self._end_prefill, stream)

    def _stop_prefill(self, stream: Stream) -> None:
        was_first = self._prefilling[0] is stream
        self._prefilling.remove(stream)
        if was_first:
            self._prefills.thrown_away += stream.prefilled_tokens
        if was_first and self._prefilling:
            self._run_prefill()

    def _end_prefill(self, stream: Stream) -> None:
        if stream.is_gone:
            return
        self._prefilling.popleft()
        self._count_prefill(stream)
        added, removed = self.cache.add(stream.request.block_hashes)
        self._on_cache(self.target.name, added, removed)
        if self._prefilling:
            self._run_prefill()
        self._join(stream)
        self._schedule()

    def _count_prefill(self, stream: Stream) -> None:
        request = stream.request
        hit = stream.cached_tokens // BLOCK_TOKENS
        fresh = request.block_hashes[hit:]
        seen = sum(block in self._prefills.seen_blocks for block in fresh)
        self._prefills.seen_blocks.update(fresh)
        self._prefills.asked += request.prompt_tokens
        self._prefills.repeated += seen * BLOCK_TOKENS + stream.produced_before

    def _join(self, stream: Stream) -> None:
        self._advance()
        self._batch += 1
        stream.joined_mark = self._mark
        left = stream.request.output_tokens - stream.produced_before
        end = self._mark + max(left, 1)
        entry = (end, next(self._sequence), stream)
        heapq.heappush(self._decoding, entry)
        self._loop.call_after(self._step_ms(), self._emit_first, stream)

    def _emit_first(self, stream: Stream) -> None:
        if not stream.is_gone:
            stream.on_first(stream)

    def _step_ms(self) -> float:
        growth = 1 + self.spec.step_growth * self._batch
        return self.spec.step_ms * growth * self.slowdown

    def _advance(self) -> None:
        elapsed_ms = self._loop.now_ms - self._marked_ms
        self._mark += elapsed_ms / self._step_ms()
        self._marked_ms = self._loop.now_ms

    def _schedule(self) -> None:
        while self._decoding and self._decoding[0][2].is_gone:
            heapq.heappop(self._decoding)
        self._wake += 1
        if not self._decoding:
            return
        self._advance()
        left = max(self._decoding[0][0] - self._mark, 0)
        delay_ms = left * self._step_ms()
        self._loop.call_after(delay_ms, self._end_next, self._wake)

    def _end_next(self, wake: int) -> None:
        if wake != self._wake:
            return
        stream = heapq.heappop(self._decoding)[2]
        self._advance()
        if not stream.is_gone:
            stream.is_gone = True
            self._batch -= 1
            self._running.pop(stream.request.request_id)
            stream.on_end(stream)
        self._admit()
