"""The prefix cache of the model engine stand-in."""

import collections
import dataclasses
import random
from collections.abc import Iterable
from typing import Final

import xxhash

from standins._lag import make_clock

TOKEN_BYTES: Final = 4
BLOCK_TOKENS: Final = 64
BLOCK_BYTES: Final = TOKEN_BYTES * BLOCK_TOKENS
MAX_EVENTS: Final = 10_000


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt."""
    return -(-len(prompt) // TOKEN_BYTES)


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hash of each full block of a prompt."""
    hashes: list[int] = []
    parent = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        parent = xxhash.xxh3_64_intdigest(block, seed=parent)
        hashes.append(parent)
    return tuple(hashes)


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change to the contents of the cache.

    Attributes
    ----------
    sequence : int
        Sequence number, incremented with each change.
    added, removed : tuple of int
        Hashes of the blocks added and evicted.
    """

    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


class PrefixCache:
    """Cache of prompt blocks with LRU eviction.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    journal : EventJournal
        Records each change.
    """

    def __init__(self, capacity: int, journal: 'EventJournal') -> None:
        self._capacity = capacity
        self._journal = journal
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count_cached_tokens(self, hashes: Iterable[int]) -> int:
        """Return the number of tokens in the leading cached blocks."""
        cached = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            cached += BLOCK_TOKENS
        return cached

    def insert(self, hashes: Iterable[int]) -> None:
        """Add blocks, evicting the least recently used if full."""
        wanted = tuple(hashes)[: self._capacity]
        added = tuple(block for block in wanted if block not in self._blocks)
        for block in reversed(wanted):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        surplus = max(len(self._blocks) - self._capacity, 0)
        removed = tuple(
            self._blocks.popitem(last=False)[0] for _ in range(surplus)
        )
        if added or removed:
            self._journal.append(added, removed)


class EventJournal:
    """Change events of the cache, published with a delay and with gaps.

    Parameters
    ----------
    lag_ms : float
        Delay in milliseconds until an event is published.
    gap : float
        Fraction (0 to 1) of the events that are lost.
    seed : int
        Seed of the random choice of lost events.
    """

    def __init__(self, lag_ms: float, gap: float, seed: int) -> None:
        self._lag_ms = lag_ms
        self._gap = gap
        self._random = random.Random(seed)
        self._clock = make_clock()
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def append(self, added: tuple[int, ...], removed: tuple[int, ...]) -> None:
        """Record a change, or drop it at random as a gap."""
        self._sequence += 1
        if self._random.random() < self._gap:
            return
        event = CacheEvent(self._sequence, added, removed)
        self._events.append((self._clock.now(), event))

    def list_after(self, sequence: int) -> tuple[CacheEvent, ...]:
        """Return the published events after a sequence number."""
        limit_ms = self._clock.now() - self._lag_ms
        return tuple(
            event
            for moment_ms, event in self._events
            if event.sequence > sequence and moment_ms <= limit_ms
        )
