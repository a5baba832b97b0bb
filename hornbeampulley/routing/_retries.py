"""Retry budget of a host, as a fixed part of the budget of the fleet.

Each host allows retries in proportion to its own requests, which adds up to
the same ratio over any number of hosts, plus a constant that is divided by
the number of hosts. The hosts therefore need no messages to stay
within the common budget.
"""

import dataclasses
from collections import defaultdict, deque
from collections.abc import Callable
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
        Number of hosts among which the slack is divided at least.
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
    count_hosts : callable, optional
        Returns the number of hosts that are known.
    """

    def __init__(
        self,
        settings: RetrySettings,
        count_hosts: Callable[[], int] | None = None,
    ) -> None:
        self._settings = settings
        self._count_hosts = count_hosts or _count_none
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
        allowed = RATIO_MARGIN * self._settings.ratio * requests
        if retries >= allowed + self._get_slack():
            return False
        self._retries[pool].append(now_ms)
        return True

    def _get_slack(self) -> float:
        """Return this host's part of the slack.

        A host spends whole retries, so up to one more than its part; where hosts
        are many that is left out of the part.
        """
        hosts = max(self._count_hosts(), self._settings.hosts)
        slack = self._settings.slack / hosts
        return slack if hosts == self._settings.hosts else slack - 1

    def _trim(self, moments: deque[float], now_ms: float) -> int:
        while moments and moments[0] < now_ms - self._settings.window_ms:
            moments.popleft()
        return len(moments)


def _count_none() -> int:
    """Default of `HostRetryBudget`, which knows of no hosts."""
    return 0
