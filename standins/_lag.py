"""Values that readers see late."""

import collections
from typing import Generic, TypeVar

import trio

from hornbeampulley.clock import Clock

_Value = TypeVar('_Value')


def make_clock() -> Clock:
    """Return a clock that follows the event loop's time."""
    return Clock(trio.current_time)


class LaggedValue(Generic[_Value]):
    """A value that readers see as it was some time ago.

    Parameters
    ----------
    initial : object
        Seen until the first value is old enough.
    lag_ms : float
        Age of what readers see.
    """

    def __init__(self, initial: _Value, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._clock = make_clock()
        self._visible = initial
        self._pending: collections.deque[tuple[float, _Value]] = (
            collections.deque()
        )

    def put(self, value: _Value) -> None:
        """Set the value, to be seen after the lag."""
        self._pending.append((self._clock.now(), value))
        self.get()

    def get(self) -> _Value:
        """Return the value as readers see it now."""
        limit_ms = self._clock.now() - self.lag_ms
        while self._pending and self._pending[0][0] <= limit_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible
