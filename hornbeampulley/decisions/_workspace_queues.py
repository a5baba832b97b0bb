"""The queue of one workspace in one tier."""

import collections
import heapq
from typing import Final

from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._urgency import compute_overtake_time

STALE_ENTRIES: Final = 64


class WorkspaceQueue:
    """Serves short requests before long ones, with a bound on overtaking.

    A request is overtaken only by those that arrive within the time given by
    `compute_overtake_time`. Removal leaves stale entries, which are ignored.

    Parameters
    ----------
    name : str
        Name of the workspace.
    share : float
        Weight of the workspace.

    Attributes
    ----------
    virtual_start : float
        Virtual start time: the price served in ms, divided by the share.
    backlog_ms : float
        Total price of the waiting requests.
    count : int
        Number of waiting requests.
    """

    def __init__(self, name: str, share: float) -> None:
        self.name = name
        self.share = share
        self.virtual_start = 0.0
        self.backlog_ms = 0.0
        self.count = 0
        self._order: list[tuple[float, int, Request]] = []
        self._skipped: list[tuple[float, int, Request]] = []
        self._newest: collections.deque[tuple[int, Request]] = (
            collections.deque()
        )

    @property
    def virtual_finish(self) -> float:
        """Return the virtual time at which the backlog will be served."""
        return self.virtual_start + self.backlog_ms / self.share

    def add(self, request: Request) -> None:
        """Add a request with a new serial."""
        key = request.arrived_ms + compute_overtake_time(request)
        heapq.heappush(self._order, (key, request.serial, request))
        if request.resume or request.is_return:
            self._newest.appendleft((request.serial, request))
        else:
            self._newest.append((request.serial, request))
        self.count += 1
        self.backlog_ms += request.price_ms

    @property
    def has_next(self) -> bool:
        """Tell whether there is a request that was not skipped."""
        return self.count > len(self._skipped)

    def find_first(self) -> Request:
        """Return the next request to be served; ``has_next`` must be true."""
        while self._order[0][2].serial != self._order[0][1]:
            heapq.heappop(self._order)
        return self._order[0][2]

    def skip_first(self) -> None:
        """Skip the next request to be served until ``restore_skipped``."""
        self.find_first()
        self._skipped.append(heapq.heappop(self._order))

    def restore_skipped(self) -> None:
        """Put skipped requests back in their places."""
        for entry in self._skipped:
            heapq.heappush(self._order, entry)
        self._skipped.clear()

    def find_newest(self) -> Request:
        """Return the request to be shed next."""
        while self._newest[-1][1].serial != self._newest[-1][0]:
            self._newest.pop()
        return self._newest[-1][1]

    def discard(self, request: Request) -> None:
        """Remove a request; its entries become stale."""
        request.serial = 0
        self.count -= 1
        self.backlog_ms -= request.price_ms
        if not self.count:
            self.backlog_ms = 0
        if len(self._newest) > 2 * self.count + STALE_ENTRIES:
            self._compact()

    def charge(self, cost_ms: float) -> None:
        """Add to the price served; a negative value corrects an estimate."""
        self.virtual_start += cost_ms / self.share

    def _compact(self) -> None:
        self._order = [
            item for item in self._order if item[2].serial == item[1]
        ]
        heapq.heapify(self._order)
        self._newest = collections.deque(
            item for item in self._newest if item[1].serial == item[0]
        )
