"""Values that become visible to readers after a delay."""

import collections
from typing import Generic, TypeVar

import trio

from hornbeampulley.clock import Clock

_Value = TypeVar('_Value')


def make_clock() -> Clock:
    """Return a clock that reads the time of trio's event loop."""
    return Clock(trio.current_time)


class LaggedValue(Generic[_Value]):
    """A value whose changes become visible after a fixed delay.

    Parameters
    ----------
    initial : object
        Visible until the first value that was put becomes visible.
    lag_ms : float
        Delay in milliseconds.
    """

    def __init__(self, initial: _Value, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._clock = make_clock()
        self._visible = initial
        self._pending: collections.deque[tuple[float, _Value]] = (
            collections.deque()
        )

    def put(self, value: _Value) -> None:
        """Set the value, visible once the lag has passed."""
        self._pending.append((self._clock.now(), value))
        self.get()

    def get(self) -> _Value:
        """Return the value that is visible now."""
        limit_ms = self._clock.now() - self.lag_ms
        while self._pending and self._pending[0][0] <= limit_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible
