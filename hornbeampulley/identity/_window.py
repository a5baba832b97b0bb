"""Sliding window of the counters used under one id lease."""


class Window:
    """Anti-replay window: records which of the latest counters were used.

    Parameters
    ----------
    size : int
        Number of counters, up to the highest used one, that are tracked
        individually; all lower ones count as used.
    """

    __slots__ = ('_bits', '_next', '_size')

    def __init__(self, size: int) -> None:
        self._size = size
        self._next = 0
        self._bits = 0

    @property
    def next_counter(self) -> int:
        """The lowest counter above all used ones."""
        return self._next

    def is_used(self, counter: int) -> bool:
        """Tell whether a counter was used or is below the window.

        Parameters
        ----------
        counter : int
            A counter, not negative.

        Returns
        -------
        bool
            False only if the counter was certainly never used.
        """
        age = self._next - 1 - counter
        if age < 0:
            return False
        if age >= self._size:
            return True
        return bool(self._bits >> age & 1)

    def mark_used(self, counter: int) -> None:
        """Mark a counter as used.

        Parameters
        ----------
        counter : int
            A counter for which ``is_used`` is false.
        """
        step = counter + 1 - self._next
        if step > 0:
            self._shift(step)
        self._bits |= 1 << (self._next - 1 - counter)

    def _shift(self, step: int) -> None:
        self._next += step
        if step >= self._size:
            self._bits = 0
            return
        mask = (1 << self._size) - 1
        self._bits = (self._bits << step) & mask
