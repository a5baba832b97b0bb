"""Time in milliseconds."""

import time
from collections.abc import Callable
from typing import Final

MS_PER_SECOND: Final = 1000.0


class Clock:
    """Monotonic time in milliseconds, read from a source in seconds.

    Parameters
    ----------
    read_seconds : callable
        Returns monotonic seconds: ``time.monotonic`` in scripts,
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
            Milliseconds since an arbitrary start; never decreases.
        """
        return self._read_seconds() * MS_PER_SECOND


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and benchmarks."""

    def __init__(self, start_ms: float = 0) -> None:
        super().__init__(self._read)
        self._now_ms = float(start_ms)

    def advance(self, delta_ms: float) -> None:
        """Move forward.

        Parameters
        ----------
        delta_ms : float
            Milliseconds to add; not negative.
        """
        self._now_ms += max(delta_ms, 0)

    def advance_to(self, moment_ms: float) -> None:
        """Move forward to a moment, or stay if it has passed.

        Parameters
        ----------
        moment_ms : float
            The moment in milliseconds of this clock.
        """
        self._now_ms = max(self._now_ms, moment_ms)

    def _read(self) -> float:
        return self._now_ms / MS_PER_SECOND


def to_seconds(duration_ms: float) -> float:
    """Convert milliseconds for libraries that count in seconds.

    Parameters
    ----------
    duration_ms : float
        A duration in milliseconds.

    Returns
    -------
    float
        The same duration in seconds.
    """
    return duration_ms / MS_PER_SECOND
