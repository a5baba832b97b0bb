"""Work that refused callers bring back, for a burst that outlasts one wait.

If all who are refused in a long burst are told the time that the queue alone
needs, they come back into the same burst. Each refusal is therefore placed
behind those before it.
"""

import heapq
from typing import Final

MAX_PENDING_RETRIES: Final = 10_000


class PendingRetries:
    """Refused work that has not come back yet, by rank."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, float]] = []
        self._work_ms: dict[int, float] = {}

    def add(self, return_ms: float, rank: int, work_ms: float) -> None:
        """Note refused work.

        Parameters
        ----------
        return_ms : float
            When its caller was told to come back.
        rank : int
            Rank of its tier.
        work_ms : float
            Its price.
        """
        if len(self._entries) >= MAX_PENDING_RETRIES:
            return
        heapq.heappush(self._entries, (return_ms, rank, work_ms))
        self._work_ms[rank] = self._work_ms.get(rank, 0) + work_ms

    def sum_work(self, rank: int, now_ms: float) -> float:
        """Return the price of what is still to come back.

        Parameters
        ----------
        rank : int
            The lowest rank that counts.
        now_ms : float
            The current time; what was due before it has come, or never will.

        Returns
        -------
        float
            In milliseconds at the pool's average rates.
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
