"""The waiting requests of one tier, in weighted fair order by workspace."""

import heapq
import itertools
import math
from typing import Final

from hornbeampulley.decisions._lanes import STALE_ENTRIES, Lane
from hornbeampulley.decisions._requests import Request

# Time in which a refusal reaches a caller that is about to leave.
ANSWER_MS: Final = 50.0


class TierQueue:
    """Waiting requests of a tier.

    Most stand in the lane of their workspace. Those that can no longer meet
    their objective stand behind all lanes, those that can't meet their deadline
    behind them, and those that must run alone stand aside until a target is
    idle. In an overload that lasts, fresh requests are thus served in time,
    instead of all of them late.

    Attributes
    ----------
    count : int
        How many wait, late and aside ones with them.
    work_ms : float
        Their price.
    aside : dict
        Those that must run alone, by id.
    """

    def __init__(self) -> None:
        self.count = 0
        self.work_ms = 0.0
        self.aside: dict[str, Request] = {}
        self._late: dict[str, Request] = {}
        self._overdue: dict[str, Request] = {}
        self._lanes: dict[str, Lane] = {}
        self._order: list[tuple[float, str]] = []
        self._excess: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, int, Request]] = []
        self._objectives: list[tuple[float, int, Request]] = []
        self._departures: list[tuple[float, int, Request]] = []
        self._numbers = itertools.count()
        self._skipped: dict[str, Request] = {}
        self._skipped_lanes: dict[str, Lane] = {}
        self._virtual = 0.0

    @property
    def ready(self) -> int:
        """Return how many requests can be leased to any target."""
        return self.count - len(self.aside) - len(self._skipped)

    def list_late(self, now_ms: float) -> list[Request]:
        """List the requests that cannot meet their deadline."""
        overdue = [
            request
            for request in self.aside.values()
            if 0 < request.reserve.deadline_ms < now_ms
        ]
        return overdue + list(self._late.values())

    def list_hopeless(self, now_ms: float) -> list[Request]:
        """List the requests whose callers are about to leave."""
        hopeless = [
            request
            for request in self.aside.values()
            if 0 < request.reserve.begin_by_ms <= now_ms + ANSWER_MS
        ]
        while self._departures and self._departures[0][0] <= now_ms:
            _, _, request = heapq.heappop(self._departures)
            if self._late.get(request.request_id) is request:
                hopeless.append(request)
        return hopeless

    def push(self, request: Request, share: float) -> None:
        """Add a request whose serial is new."""
        self._count(request, 1)
        lane = self._find_lane(request.reserve.workspace, share)
        latest_ms = request.latest_start_ms
        if latest_ms:
            if latest_ms < request.arrived_ms:
                self._set_late(request)
                return
            entry = (latest_ms, request.serial, request)
            heapq.heappush(self._deadlines, entry)
        self._add(lane, request)
        if request.timely_start_ms:
            start = (request.timely_start_ms, request.serial, request)
            heapq.heappush(self._objectives, start)

    def find_next(self) -> Request:
        """Return the request to be leased next; ``ready`` must not be 0."""
        lane = self._find_next_lane()
        if lane is not None:
            return lane.find_first()
        return next(
            request
            for request in itertools.chain(
                self._overdue.values(),
                self._late.values(),
            )
            if request.request_id not in self._skipped
        )

    def take(self, request: Request) -> None:
        """Remove a request that is to be leased, at its workspace's cost."""
        if not self._is_behind(request):
            lane = self._lanes[request.reserve.workspace]
            self._virtual = max(self._virtual, lane.served)
            lane.charge(request.price_ms)
        self.remove(request)

    def skip(self, request: Request) -> None:
        """Pass over the request to be leased next until ``restore``."""
        self._skipped[request.request_id] = request
        if not self._is_behind(request):
            self._lanes[request.reserve.workspace].skip_first()

    def restore(self) -> None:
        """Give what was skipped its place back."""
        for request in self._skipped.values():
            lane = self._lanes.get(request.reserve.workspace)
            if lane is not None:
                lane.restore()
        self._skipped.clear()
        for lane in self._skipped_lanes.values():
            self._list(lane)
        self._skipped_lanes.clear()

    def find_worst(self) -> Request:
        """Return the request to be shed next; ``count`` must not be 0.

        It is one that has missed its objective, or else the newest of the
        workspace that is most over its share.
        """
        if self._overdue:
            return next(iter(self._overdue.values()))
        lane = self._find_excess()
        if lane is not None:
            return lane.find_newest()
        rest = self._late or self.aside
        return next(reversed(rest.values()))

    def find_other(self, request: Request) -> Request | None:
        """Return the first request of the workspace most over its share.

        Parameters
        ----------
        request : Request
            The request to be leased next.

        Returns
        -------
        Request or None
            None if it is the same workspace.
        """
        lane = self._find_excess()
        if lane is None or lane.name == request.reserve.workspace:
            return None
        return lane.find_first() if lane.has_next else None

    def pop_worst(self) -> Request:
        """Remove the request to be shed next; ``count`` must not be 0."""
        request = self.find_worst()
        self.remove(request)
        return request

    def remove(self, request: Request) -> None:
        """Remove a waiting request wherever it stands."""
        name = request.request_id
        if name in self.aside:
            self.aside.pop(name)
        elif name in self._late:
            self._late.pop(name)
        elif name in self._overdue:
            self._overdue.pop(name)
            request.serial = 0
        else:
            lane = self._lanes[request.reserve.workspace]
            lane.discard(request)
            self._list(lane)
        self._count(request, -1)

    def set_aside(self, request: Request) -> None:
        """Keep a popped request until a target is idle."""
        self.aside[request.request_id] = request
        self._count(request, 1)

    def mark_late(self, now_ms: float) -> int:
        """Move requests that cannot meet their deadline behind the others.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        int
            How many were moved.
        """
        self._mark_overdue(now_ms)
        moved = 0
        while self._deadlines and self._deadlines[0][0] < now_ms:
            _, serial, request = heapq.heappop(self._deadlines)
            if request.serial == serial:
                self._take_out(request)
                self._set_late(request)
                moved += 1
        return moved

    def correct(self, workspace: str, difference_ms: float) -> None:
        """Charge a workspace the difference of actual and expected cost."""
        lane = self._lanes.get(workspace)
        if lane is not None:
            lane.charge(difference_ms)
            self._list(lane)

    def _is_behind(self, request: Request) -> bool:
        """Tell whether a request stands behind all lanes."""
        name = request.request_id
        return name in self._overdue or name in self._late

    def _mark_overdue(self, now_ms: float) -> None:
        while self._objectives and self._objectives[0][0] < now_ms:
            _, serial, request = heapq.heappop(self._objectives)
            if request.serial == serial:
                self._take_out(request)
                self._set_overdue(request, -serial)

    def _set_late(self, request: Request) -> None:
        self._late[request.request_id] = request
        if request.reserve.begin_by_ms:
            answer_ms = request.reserve.begin_by_ms - ANSWER_MS
            entry = (answer_ms, next(self._numbers), request)
            heapq.heappush(self._departures, entry)

    def _set_overdue(self, request: Request, serial: int) -> None:
        # A new serial, as the entries of its lane are stale now.
        request.serial = serial
        self._overdue[request.request_id] = request
        if request.latest_start_ms:
            entry = (request.latest_start_ms, serial, request)
            heapq.heappush(self._deadlines, entry)

    def _take_out(self, request: Request) -> None:
        """Take a request out of its lane or of those that are overdue."""
        if self._overdue.pop(request.request_id, None) is None:
            self._lanes[request.reserve.workspace].discard(request)

    def _add(self, lane: Lane, request: Request) -> None:
        if not lane.count:
            lane.served = max(lane.served, self._virtual)
        lane.add(request)
        self._list(lane)

    def _find_lane(self, workspace: str, share: float) -> Lane:
        lane = self._lanes.get(workspace)
        if lane is None:
            lane = Lane(workspace, share)
            self._lanes[workspace] = lane
        lane.share = share
        return lane

    def _list(self, lane: Lane) -> None:
        if lane.count:
            heapq.heappush(self._order, (lane.served, lane.name))
            heapq.heappush(self._excess, (-lane.finish, lane.name))
        longest = max(len(self._order), len(self._excess))
        if longest > 4 * len(self._lanes) + STALE_ENTRIES:
            self._compact()

    def _compact(self) -> None:
        lanes = [lane for lane in self._lanes.values() if lane.count]
        self._order = [(lane.served, lane.name) for lane in lanes]
        self._excess = [(-lane.finish, lane.name) for lane in lanes]
        heapq.heapify(self._order)
        heapq.heapify(self._excess)

    def _find_next_lane(self) -> Lane | None:
        while self._order:
            served, name = self._order[0]
            lane = self._lanes[name]
            if lane.count and lane.served == served:
                if lane.has_next:
                    return lane
                self._skipped_lanes[name] = lane
            heapq.heappop(self._order)
        return None

    def _find_excess(self) -> Lane | None:
        while self._excess:
            finish, name = self._excess[0]
            lane = self._lanes[name]
            if lane.count and math.isclose(-finish, lane.finish):
                return lane
            heapq.heappop(self._excess)
            if lane.count and -finish > lane.finish:
                heapq.heappush(self._excess, (-lane.finish, name))
        return None

    def _count(self, request: Request, number: int) -> None:
        self.count += number
        self.work_ms += number * request.price_ms
        if not self.count:
            self.work_ms = 0
