"""The prefix cache of a fake engine: blocks in a limited memory, LRU."""

from collections import OrderedDict


class PrefixCache:
    """Holds block hashes and drops the least recently used.

    Parameters
    ----------
    capacity : int
        Blocks that fit.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def count_prefix(self, block_hashes: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached."""
        count = 0
        for block in block_hashes:
            if block not in self._blocks:
                break
            count += 1
        return count

    def touch(self, block_hashes: tuple[int, ...]) -> None:
        """Mark the blocks of a hit as used, the first block most recently."""
        for block in reversed(block_hashes):
            if block in self._blocks:
                self._blocks.move_to_end(block)

    def add(
        self,
        block_hashes: tuple[int, ...],
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Add the blocks of a prompt and return those added and removed."""
        added = tuple(
            block for block in block_hashes if block not in self._blocks
        )
        for block in reversed(block_hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        return added, self._evict()

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()

    def _evict(self) -> tuple[int, ...]:
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return tuple(removed)
