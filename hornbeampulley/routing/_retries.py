"""Retry budget of a host, as a fixed part of the budget of the fleet.

Each host allows retries in proportion to its own requests, which adds up to
the same ratio over any number of hosts, plus a constant that is divided by
the largest number of hosts. The hosts therefore need no messages to stay
within the common budget.
"""

import dataclasses
from collections import defaultdict, deque
from typing import Final

RATIO_MARGIN: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Retry budget of all hosts together.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    window_ms : float
        Length of the sliding window for requests and retries, in ms.
    slack : float
        Retries allowed per window in addition to the ratio.
    hosts : int
        Largest number of hosts, among which the slack is divided.
    """

    ratio: float = 0.2
    window_ms: float = 10_000
    slack: float = 56
    hosts: int = 16


class HostRetryBudget:
    """Limits the retries of each pool at this host.

    Parameters
    ----------
    settings : RetrySettings
        Budget of all hosts together.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def count_request(self, pool: str, now_ms: float) -> None:
        """Count a request of a caller.

        Parameters
        ----------
        pool : str
            Pool that serves the request.
        now_ms : float
            The current time in ms.
        """
        self._trim(self._requests[pool], now_ms)
        self._requests[pool].append(now_ms)

    def spend(self, pool: str, now_ms: float) -> bool:
        """Spend one retry of the budget, if any is left.

        Parameters
        ----------
        pool : str
            Pool that serves the request.
        now_ms : float
            The current time in ms.

        Returns
        -------
        bool
            False if the budget is exhausted.
        """
        requests = self._trim(self._requests[pool], now_ms)
        retries = self._trim(self._retries[pool], now_ms)
        settings = self._settings
        allowed = RATIO_MARGIN * settings.ratio * requests
        if retries >= allowed + settings.slack / settings.hosts:
            return False
        self._retries[pool].append(now_ms)
        return True

    def _trim(self, moments: deque[float], now_ms: float) -> int:
        while moments and moments[0] < now_ms - self._settings.window_ms:
            moments.popleft()
        return len(moments)
