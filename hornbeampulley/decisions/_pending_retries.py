"""Forecast of the work that refused callers will retry.

If the retry delays in a long burst were estimated from the queue alone, all
refused callers would retry during the same burst. Each delay therefore also
counts the work refused before, and a caller that returns at the time that it was
told is recognized, so that it is not refused for those that came since.
"""

import collections
import heapq
from typing import Final

MAX_PENDING_RETRIES: Final = 10_000
# How much earlier a caller may return than told, for its clock and the network.
EARLY_RETURN_MS: Final = 20.0
# How long the place of a caller is kept after the time that it was told.
PLACE_KEPT_MS: Final = 1000.0


class PendingRetries:
    """Refused work whose retry is not due yet, by rank."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, float]] = []
        self._work_ms: dict[int, float] = {}
        self._places: dict[int, collections.deque[float]] = {}
        self._kept: collections.deque[tuple[float, int]] = collections.deque()

    def add(
        self,
        retry_ms: float,
        rank: int,
        work_ms: float,
        fingerprint: int = 0,
    ) -> None:
        """Add refused work.

        Parameters
        ----------
        retry_ms : float
            Time at which the caller was told to retry.
        rank : int
            Rank of the request's tier.
        work_ms : float
            Price of the request.
        fingerprint : int
            Hash of its content, by which its return is recognized; 0 if it
            has none.
        """
        if len(self._entries) >= MAX_PENDING_RETRIES:
            return
        heapq.heappush(self._entries, (retry_ms, rank, work_ms))
        self._work_ms[rank] = self._work_ms.get(rank, 0) + work_ms
        if fingerprint and len(self._kept) < MAX_PENDING_RETRIES:
            places = self._places.setdefault(fingerprint, collections.deque())
            places.append(retry_ms)
            self._kept.append((retry_ms, fingerprint))

    def claim_place(self, fingerprint: int, now_ms: float) -> bool:
        """Claim the place of a caller that returns at the time it was told.

        Parameters
        ----------
        fingerprint : int
            Hash of the content of the request.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if no place is kept for it: it was not refused, or it returns
            too early or too late.
        """
        self._expire_places(now_ms)
        places = self._places.get(fingerprint)
        while places and places[0] + PLACE_KEPT_MS < now_ms:
            places.popleft()
        if not places or places[0] > now_ms + EARLY_RETURN_MS:
            return False
        places.popleft()
        return True

    def _expire_places(self, now_ms: float) -> None:
        # Retry times are nearly in order; what is out of order is removed later.
        while self._kept and self._kept[0][0] + PLACE_KEPT_MS < now_ms:
            told_ms, fingerprint = self._kept.popleft()
            places = self._places.get(fingerprint)
            if places and places[0] <= told_ms:
                places.popleft()
            if not places:
                self._places.pop(fingerprint, None)

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
