"""Index of the prompt blocks cached by the targets.

The index is an estimate; a trust factor per target weights its entries.
"""

import math
from collections.abc import Iterator
from typing import Final

from hornbeampulley.decisions._cost import smooth
from hornbeampulley.decisions._events import CacheEvent

DEFAULT_CACHE_BLOCKS: Final = 4096
GAP_TRUST_FACTOR: Final = 0.95
EVENT_LAG_MS: Final = 3000.0
REUSE_DECAY_MS: Final = 20000.0
REUSE_WEIGHT: Final = 0.05
LONG_BLOCKS: Final = 32
MIN_SHARE: Final = 0.5
TRUST_WEIGHT: Final = 0.1
MIN_TRUST: Final = 0.2
MAX_HOLDERS: Final = 4


class _Cache:
    """Blocks presumably cached by one target, least recently used first."""

    def __init__(self, number: int, capacity: int) -> None:
        self.bit = 1 << number
        self.capacity = capacity or DEFAULT_CACHE_BLOCKS
        self.used_ms: dict[int, float] = {}
        self.sequence = 0
        self.trust = 1.0


class PrefixMatch:
    """The targets that have cached a prefix of a prompt.

    Parameters
    ----------
    steps : list of (int, int)
        Prefix lengths in blocks, increasing, each with the bit mask of the
        targets that have cached at least that prefix.
    blocks : int
        Length of the prompt in blocks.
    """

    def __init__(self, steps: list[tuple[int, int]], blocks: int) -> None:
        self._steps = steps
        self.blocks = blocks

    @property
    def share(self) -> float:
        """Return the share of the prompt in the longest cached prefix."""
        return self._steps[-1][0] / self.blocks if self._steps else 0

    def get_depth(self, bit: int) -> int:
        """Return the length in blocks of the prefix cached by a target.

        Parameters
        ----------
        bit : int
            Bit of the target.

        Returns
        -------
        int
            Blocks; 0 if none.
        """
        for depth, mask in reversed(self._steps):
            if mask & bit:
                return depth
        return 0

    def iterate_bits(self) -> Iterator[int]:
        """Iterate over the bits of a few targets, longest prefix first.

        Targets with less than ``MIN_SHARE`` of the prompt are left out.
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
    """Maps block hashes to the targets that have cached them.

    The targets of a block are a bit mask, so that the steps of a prefix lookup
    do not depend on the number of targets.
    """

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        self._names: dict[int, str] = {}
        self._holders: dict[int, int] = {}
        self._reuse_share = 0.0

    def add_target(self, name: str, capacity: int) -> None:
        """Add a target with an empty cache, or change its cache capacity."""
        cache = self._caches.get(name)
        if cache is None:
            number = self._find_free_number()
            cache = _Cache(number, capacity)
            self._caches[name] = cache
            self._names[cache.bit] = name
        cache.capacity = capacity or DEFAULT_CACHE_BLOCKS

    def remove_target(self, name: str) -> None:
        """Remove a target and its blocks."""
        self.clear(name)
        cache = self._caches.pop(name, None)
        if cache is not None:
            self._names.pop(cache.bit)

    def clear(self, name: str) -> None:
        """Remove the blocks of a target, as its cache is lost on a restart."""
        cache = self._caches.get(name)
        if cache is not None:
            for block in tuple(cache.used_ms):
                self._remove_block(cache, block)
            cache.sequence = 0

    def match(self, blocks: tuple[int, ...]) -> PrefixMatch:
        """Find the targets that have cached a prefix of a prompt."""
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
        """List a few targets of a match, longest prefix first."""
        return [self._names[bit] for bit in match.iterate_bits()]

    def estimate_cached_blocks(self, name: str, match: PrefixMatch) -> float:
        """Return the expected number of matched blocks cached by a target."""
        cache = self._caches[name]
        return match.get_depth(cache.bit) * cache.trust

    def estimate_evictions(
        self, name: str, fresh: float, now_ms: float
    ) -> float:
        """Estimate how many useful blocks new ones would evict.

        Parameters
        ----------
        name : str
            Name of the target.
        fresh : float
            Number of new blocks.
        now_ms : float
            The current time.

        Returns
        -------
        float
            Evicted blocks, weighted by the probability of their reuse.
        """
        cache = self._caches[name]
        evicted = len(cache.used_ms) + fresh - cache.capacity
        if evicted <= 0:
            return 0
        idle_ms = now_ms - next(iter(cache.used_ms.values()), now_ms)
        chance = min(2 * self._reuse_share, 1) * math.exp(
            -idle_ms / REUSE_DECAY_MS
        )
        return min(evicted, fresh) * chance

    def record_reuse(self, match: PrefixMatch) -> None:
        """Update the share of prompts that is found in any cache."""
        # Short prompts are often cached whole, which says little about long
        # ones, so they weigh less.
        weight = REUSE_WEIGHT * min(match.blocks / LONG_BLOCKS, 1)
        self._reuse_share = smooth(self._reuse_share, match.share, weight)

    def insert(
        self,
        name: str,
        blocks: tuple[int, ...],
        now_ms: float,
    ) -> None:
        """Record that a target prefills a prompt, and so caches its blocks.

        The last blocks become the least recently used ones, since engines
        evict the end of a prefix before its start.
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
        """Apply a cache event of a target, which may be delayed.

        A gap in the sequence numbers means lost events and lowers the trust.
        """
        cache = self._caches.get(event.target)
        if cache is None or event.sequence <= cache.sequence:
            return
        if cache.sequence and event.sequence > cache.sequence + 1:
            cache.trust = max(cache.trust * GAP_TRUST_FACTOR, MIN_TRUST)
        cache.sequence = event.sequence
        # A recently used block has been cached again since the delayed event.
        since_ms = now_ms - EVENT_LAG_MS
        for removed in event.removed:
            if cache.used_ms.get(removed, now_ms) < since_ms:
                self._remove_block(cache, removed)
        unknown = tuple(
            block for block in event.added if block not in cache.used_ms
        )
        self.insert(event.target, unknown, now_ms)

    def update_trust(self, name: str, expected: int, found: int) -> None:
        """Update the trust in a target's entries from actual cache hits.

        Parameters
        ----------
        name : str
            Name of the target.
        expected, found : int
            Prompt tokens expected in the cache, and actual hits.
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
