"""The retry budget of a host, a fixed part of the fleet's.

The share of own requests adds up over any number of hosts, and the constant
part is small enough for the largest number of hosts, so that no message is
needed to keep the sum.
"""

import dataclasses
from collections import defaultdict, deque
from typing import Final

RATIO_MARGIN: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget of all hosts together.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    window_ms : float
        Time over which both are counted.
    slack : float
        Retries allowed beside the ratio.
    hosts : int
        Hosts among which the slack is divided.
    """

    ratio: float = 0.2
    window_ms: float = 10_000
    slack: float = 56
    hosts: int = 16


class HostRetryBudget:
    """Counts requests and retries of each pool at this host.

    Parameters
    ----------
    settings : RetrySettings
        The budget.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def count_request(self, pool: str, now_ms: float) -> None:
        """Count a caller's request.

        Parameters
        ----------
        pool : str
            Pool that it goes to.
        now_ms : float
            The current time.
        """
        self._trim(self._requests[pool], now_ms)
        self._requests[pool].append(now_ms)

    def spend(self, pool: str, now_ms: float) -> bool:
        """Take a retry out of the budget.

        Parameters
        ----------
        pool : str
            Pool that the retry would go to.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if the budget is spent.
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
