"""When a target takes requests, by what it has said of itself."""

import math


class Throttle:
    """Keeps a target free of requests while it wants none."""

    def __init__(self) -> None:
        self._back_off_until_ms = -math.inf

    @property
    def open_ms(self) -> float:
        """Time from which it takes the next request."""
        return self._back_off_until_ms

    def set(self, back_off_ms: float, now_ms: float) -> None:
        """Apply what the target has said.

        Parameters
        ----------
        back_off_ms : float
            Time from now for which it wants no request.
        now_ms : float
            The current time.
        """
        self._back_off_until_ms = now_ms + back_off_ms
