"""Forecast of the work that refused callers will retry.

If the retry delays in a long burst were estimated from the queue alone, all
refused callers would retry during the same burst. Each delay therefore also
counts the work refused before.
"""

import heapq
from typing import Final

MAX_PENDING_RETRIES: Final = 10_000


class PendingRetries:
    """Refused work whose retry is not due yet, by rank."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, float]] = []
        self._work_ms: dict[int, float] = {}

    def add(self, retry_ms: float, rank: int, work_ms: float) -> None:
        """Add refused work.

        Parameters
        ----------
        retry_ms : float
            Time at which the caller was told to retry.
        rank : int
            Rank of the request's tier.
        work_ms : float
            Price of the request.
        """
        if len(self._entries) >= MAX_PENDING_RETRIES:
            return
        heapq.heappush(self._entries, (retry_ms, rank, work_ms))
        self._work_ms[rank] = self._work_ms.get(rank, 0) + work_ms

    def sum_work(self, rank: int, now_ms: float) -> float:
        """Return the price of the work whose retry is not due yet.

        Parameters
        ----------
        rank : int
            The least urgent rank to be included.
        now_ms : float
            The current time; work due by then has been retried, or never will
            be.

        Returns
        -------
        float
            Price in ms.
        """
        while self._entries and self._entries[0][0] <= now_ms:
            _, due_rank, work_ms = heapq.heappop(self._entries)
            self._work_ms[due_rank] -= work_ms
        if not self._entries:
            self._work_ms.clear()
        return sum(
            work_ms
            for waiting, work_ms in self._work_ms.items()
            if waiting <= rank
        )
