"""Monotonic clocks in milliseconds."""

import time
from collections.abc import Callable
from typing import Final

MS_PER_SECOND: Final = 1000.0


class Clock:
    """Monotonic clock in milliseconds.

    Parameters
    ----------
    read_seconds : callable
        Returns monotonic time in seconds: ``time.monotonic`` in scripts,
        ``trio.current_time`` inside an event loop.
    """

    def __init__(
        self,
        read_seconds: Callable[[], float] = time.monotonic,
    ) -> None:
        self._read_seconds = read_seconds

    def now(self) -> float:
        """Return the current time.

        Returns
        -------
        float
            Milliseconds since an arbitrary origin; never decreases.
        """
        return self._read_seconds() * MS_PER_SECOND


class ManualClock(Clock):
    """A clock that is advanced explicitly, for tests and benchmarks."""

    def __init__(self, start_ms: float = 0) -> None:
        super().__init__(self._read)
        self._now_ms = float(start_ms)

    def advance(self, delta_ms: float) -> None:
        """Advance by a duration.

        Parameters
        ----------
        delta_ms : float
            Milliseconds to add; a negative value counts as 0.
        """
        self._now_ms += max(delta_ms, 0)

    def advance_to(self, moment_ms: float) -> None:
        """Advance to a point in time, or do nothing if it has passed.

        Parameters
        ----------
        moment_ms : float
            Point in time, in milliseconds of this clock.
        """
        self._now_ms = max(self._now_ms, moment_ms)

    def _read(self) -> float:
        return self._now_ms / MS_PER_SECOND


def to_seconds(duration_ms: float) -> float:
    """Convert milliseconds to seconds.

    Parameters
    ----------
    duration_ms : float
        Duration in milliseconds.

    Returns
    -------
    float
        Duration in seconds.
    """
    return duration_ms / MS_PER_SECOND
