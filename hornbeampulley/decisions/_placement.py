"""Which prompt blocks the targets hold, and how far that is trusted."""

import math
from collections.abc import Iterator
from typing import Final

from hornbeampulley.decisions._cost import smooth
from hornbeampulley.decisions._messages import CacheEvent

DEFAULT_CACHE_BLOCKS: Final = 4096
GAP_TRUST_FACTOR: Final = 0.95
EVENT_LAG_MS: Final = 3000.0
REUSE_MS: Final = 20000.0
REUSE_WEIGHT: Final = 0.05
LONG_BLOCKS: Final = 32
MIN_SHARE: Final = 0.5
TRUST_WEIGHT: Final = 0.1
MIN_TRUST: Final = 0.2
MAX_HOLDERS: Final = 4


class _Cache:
    """Blocks that one target is thought to hold, least recent first."""

    def __init__(self, number: int, capacity: int) -> None:
        self.bit = 1 << number
        self.capacity = capacity or DEFAULT_CACHE_BLOCKS
        self.used_ms: dict[int, float] = {}
        self.sequence = 0
        self.trust = 1.0


class PrefixMatch:
    """Targets that hold a prefix of a prompt.

    Parameters
    ----------
    steps : list of (int, int)
        Depth in blocks and mask of the targets that hold as much, by
        increasing depth.
    blocks : int
        Length of the prompt in blocks.
    """

    def __init__(self, steps: list[tuple[int, int]], blocks: int) -> None:
        self._steps = steps
        self.blocks = blocks

    @property
    def share(self) -> float:
        """Return the longest held share of the prompt."""
        return self._steps[-1][0] / self.blocks if self._steps else 0

    def depth(self, bit: int) -> int:
        """Return how many blocks the target of a bit holds."""
        for depth, mask in reversed(self._steps):
            if mask & bit:
                return depth
        return 0

    def iterate_bits(self) -> Iterator[int]:
        """Iterate over a few bits of holders, the longest prefix first.

        Holders of less than ``MIN_SHARE`` of the prompt are left out.
        """
        seen = 0
        for depth, mask in reversed(self._steps):
            if depth < self.blocks * MIN_SHARE:
                return
            rest = mask & ~seen
            while rest and seen.bit_count() < MAX_HOLDERS:
                bit = rest & -rest
                rest ^= bit
                seen |= bit
                yield bit


class PrefixIndex:
    """Maps block hashes to the targets that hold them.

    Each target has a bit, so that a walk along a prompt costs the same at
    any number of targets.
    """

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        self._names: dict[int, str] = {}
        self._holders: dict[int, int] = {}
        self._reuse = 0.0

    def add_target(self, name: str, capacity: int) -> None:
        """Start an empty cache, or change the capacity of a known one."""
        cache = self._caches.get(name)
        if cache is None:
            number = self._find_free_number()
            cache = _Cache(number, capacity)
            self._caches[name] = cache
            self._names[cache.bit] = name
        cache.capacity = capacity or DEFAULT_CACHE_BLOCKS

    def remove_target(self, name: str) -> None:
        """Forget a target and its blocks."""
        self.clear(name)
        cache = self._caches.pop(name, None)
        if cache is not None:
            self._names.pop(cache.bit)

    def clear(self, name: str) -> None:
        """Forget the blocks of a target, as it restarted."""
        cache = self._caches.get(name)
        if cache is not None:
            for block in tuple(cache.used_ms):
                self._remove_block(cache, block)
            cache.sequence = 0

    def match(self, blocks: tuple[int, ...]) -> PrefixMatch:
        """Find the targets that hold a prefix of a prompt."""
        steps: list[tuple[int, int]] = []
        mask = -1
        for depth, block in enumerate(blocks):
            held = mask & self._holders.get(block, 0)
            if held != mask and depth:
                steps.append((depth, mask))
            mask = held
            if not mask:
                break
        if blocks and mask:
            steps.append((len(blocks), mask))
        return PrefixMatch(steps, len(blocks))

    def list_holders(self, match: PrefixMatch) -> list[str]:
        """List a few targets of a match, the longest prefix first."""
        return [self._names[bit] for bit in match.iterate_bits()]

    def estimate_cached_blocks(self, name: str, match: PrefixMatch) -> float:
        """Return the blocks of a match that a target is trusted to hold."""
        cache = self._caches[name]
        return match.depth(cache.bit) * cache.trust

    def estimate_evictions(
        self, name: str, fresh: float, now_ms: float
    ) -> float:
        """Return how many useful blocks fresh ones would evict.

        Parameters
        ----------
        name : str
            Name of the target.
        fresh : float
            Blocks to be added.
        now_ms : float
            The current time.

        Returns
        -------
        float
            Blocks, weighted by the chance that they are used again.
        """
        cache = self._caches[name]
        evicted = len(cache.used_ms) + fresh - cache.capacity
        if evicted <= 0:
            return 0
        idle_ms = now_ms - next(iter(cache.used_ms.values()), now_ms)
        chance = min(2 * self._reuse, 1) * math.exp(-idle_ms / REUSE_MS)
        return min(evicted, fresh) * chance

    def record_reuse(self, match: PrefixMatch) -> None:
        """Learn how much of prompts is found in any cache."""
        # A short prompt is often found whole, and says little about long ones.
        weight = REUSE_WEIGHT * min(match.blocks / LONG_BLOCKS, 1)
        self._reuse = smooth(self._reuse, match.share, weight)

    def insert(
        self,
        name: str,
        blocks: tuple[int, ...],
        now_ms: float,
    ) -> None:
        """Note that a target prefills a prompt.

        The last blocks count as least recent, since engines evict the end
        of a prefix before its start.
        """
        cache = self._caches.get(name)
        if cache is None:
            return
        for block in reversed(blocks[: cache.capacity]):
            if block in cache.used_ms:
                cache.used_ms.pop(block)
            else:
                self._holders[block] = self._holders.get(block, 0) | cache.bit
            cache.used_ms[block] = now_ms
        while len(cache.used_ms) > cache.capacity:
            self._remove_block(cache, next(iter(cache.used_ms)))

    def apply_event(self, event: CacheEvent, now_ms: float) -> None:
        """Correct a target's blocks by its own word, which comes late."""
        cache = self._caches.get(event.target)
        if cache is None or event.sequence <= cache.sequence:
            return
        if cache.sequence and event.sequence > cache.sequence + 1:
            cache.trust = max(cache.trust * GAP_TRUST_FACTOR, MIN_TRUST)
        cache.sequence = event.sequence
        # A block used lately is there again, whatever a late event says.
        since_ms = now_ms - EVENT_LAG_MS
        for removed in event.removed:
            if cache.used_ms.get(removed, now_ms) < since_ms:
                self._remove_block(cache, removed)
        unknown = tuple(
            block for block in event.added if block not in cache.used_ms
        )
        self.insert(event.target, unknown, now_ms)

    def update_trust(self, name: str, expected: int, found: int) -> None:
        """Learn trust from what an engine found in its cache.

        Parameters
        ----------
        name : str
            Name of the target.
        expected, found : int
            Prompt tokens expected in the cache and found there.
        """
        cache = self._caches.get(name)
        if cache is None or expected <= 0:
            return
        share = min(found * cache.trust / expected, 1)
        cache.trust = max(smooth(cache.trust, share, TRUST_WEIGHT), MIN_TRUST)

    def _remove_block(self, cache: _Cache, block: int) -> None:
        if block not in cache.used_ms:
            return
        cache.used_ms.pop(block)
        mask = self._holders[block] & ~cache.bit
        if mask:
            self._holders[block] = mask
        else:
            self._holders.pop(block)

    def _find_free_number(self) -> int:
        number = 0
        while 1 << number in self._names:
            number += 1
        return number
