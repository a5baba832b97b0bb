"""The queue of one tier, with weighted fair queueing over workspaces."""

import heapq
import itertools
import math
from typing import Final

from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._urgency import find_fresh_end
from hornbeampulley.decisions._workspace_queues import (
    STALE_ENTRIES,
    WorkspaceQueue,
)

# Time allowed for a refusal to reach a caller that is about to disconnect.
REFUSAL_DELIVERY_MS: Final = 50.0
# Homes withdraw what is past its deadline themselves, if they can.
EXPIRY_MS: Final = 500.0


class TierQueue:
    """The waiting requests of a tier.

    Requests are normally in the queue of their workspace. Those that are no
    longer fresh (`find_fresh_end`) are served after all workspace queues, and
    late ones, which can no longer meet their deadline, after these. Requests
    that must run alone are isolated until a reserved target is idle. During a
    sustained overload, fresh requests are thus served in time.

    Attributes
    ----------
    count : int
        Number of waiting requests, including late and isolated ones.
    work_ms : float
        Total price of the waiting requests.
    isolated : dict
        Requests that must run alone, by id.
    """

    def __init__(self) -> None:
        self.count = 0
        self.work_ms = 0.0
        self.isolated: dict[str, Request] = {}
        self._late: dict[str, Request] = {}
        self._past_objective: dict[str, Request] = {}
        self._queues: dict[str, WorkspaceQueue] = {}
        self._by_start: list[tuple[float, str]] = []
        self._by_finish: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, int, Request]] = []
        self._objectives: list[tuple[float, int, Request]] = []
        self._departures: list[tuple[float, int, Request]] = []
        self._departure_serials = itertools.count()
        self._skipped: dict[str, Request] = {}
        self._skipped_queues: dict[str, WorkspaceQueue] = {}
        self._virtual_time = 0.0

    @property
    def ready_count(self) -> int:
        """Return the number of requests that are neither isolated nor skipped.

        These can be leased to any target.
        """
        return self.count - len(self.isolated) - len(self._skipped)

    def list_late(self, now_ms: float) -> list[Request]:
        """List the requests that can no longer meet their deadline."""
        overdue = [
            request
            for request in self.isolated.values()
            if 0 < request.reserve.deadline_ms < now_ms
        ]
        return overdue + list(self._late.values())

    def has_expired(self, now_ms: float) -> bool:
        """Tell whether a late request is `EXPIRY_MS` past its deadline.

        Those whose deadline could never be met are not counted.
        """
        return any(
            0 < request.reserve.deadline_ms < now_ms - EXPIRY_MS
            for request in self._late.values()
            if request.latest_start_ms >= request.arrived_ms
        )

    def list_departing(self, now_ms: float) -> list[Request]:
        """List late and isolated requests whose callers will disconnect soon.

        A late request is listed only once.
        """
        departing = {
            request.request_id: request
            for request in self.isolated.values()
            if 0 < request.reserve.begin_by_ms <= now_ms + REFUSAL_DELIVERY_MS
        }
        while self._departures and self._departures[0][0] <= now_ms:
            _, _, request = heapq.heappop(self._departures)
            if self._late.get(request.request_id) is request:
                # One that was leased and came back unsent has two entries.
                departing[request.request_id] = request
        return list(departing.values())

    def push(self, request: Request, share: float) -> None:
        """Add a request with a new serial."""
        self._adjust_totals(request, 1)
        queue = self._get_or_add_queue(request.reserve.workspace, share)
        latest_ms = request.latest_start_ms
        if latest_ms:
            if latest_ms < request.arrived_ms:
                self._add_late(request)
                return
            entry = (latest_ms, request.serial, request)
            heapq.heappush(self._deadlines, entry)
        self._add(queue, request)
        if request.objective_start_ms:
            start = (find_fresh_end(request), request.serial, request)
            heapq.heappush(self._objectives, start)

    def find_next(self) -> Request:
        """Return the next request to lease; ``ready_count`` must not be 0."""
        queue = self._find_next_queue()
        if queue is not None:
            return queue.find_first()
        return next(
            request
            for request in itertools.chain(
                self._past_objective.values(),
                self._late.values(),
            )
            if request.request_id not in self._skipped
        )

    def dequeue(self, request: Request) -> None:
        """Remove a request to be leased and charge it to its workspace.

        Requests past their objective or deadline are not charged.
        """
        if not self._is_demoted(request):
            queue = self._queues[request.reserve.workspace]
            self._virtual_time = max(self._virtual_time, queue.virtual_start)
            queue.charge(request.price_ms)
        self.remove(request)

    def skip(self, request: Request) -> None:
        """Skip the next request to be leased until ``restore_skipped``."""
        self._skipped[request.request_id] = request
        if not self._is_demoted(request):
            self._queues[request.reserve.workspace].skip_first()

    def restore_skipped(self) -> None:
        """Put skipped requests back in their places."""
        for request in self._skipped.values():
            queue = self._queues.get(request.reserve.workspace)
            if queue is not None:
                queue.restore_skipped()
        self._skipped.clear()
        for queue in self._skipped_queues.values():
            self._index(queue)
        self._skipped_queues.clear()

    def find_shed_candidate(self) -> Request:
        """Return the request to be shed next; ``count`` must not be 0.

        This is one that can no longer meet its objective, or else the newest
        one of the workspace that is most over its share.
        """
        if self._past_objective:
            return next(iter(self._past_objective.values()))
        queue = self._find_highest_finish()
        if queue is not None:
            return queue.find_newest()
        rest = self._late or self.isolated
        return next(reversed(rest.values()))

    def find_most_over_share(self, request: Request) -> Request | None:
        """Return the next request of the workspace most over its share.

        Parameters
        ----------
        request : Request
            The next request to be leased.

        Returns
        -------
        Request or None
            None if that workspace is the one of the given request, or if it
            has no request that was not skipped.
        """
        queue = self._find_highest_finish()
        if queue is None or queue.name == request.reserve.workspace:
            return None
        return queue.find_first() if queue.has_next else None

    def pop_shed_candidate(self) -> Request:
        """Remove and return the request to be shed next.

        ``count`` must not be 0.
        """
        request = self.find_shed_candidate()
        self.remove(request)
        return request

    def remove(self, request: Request) -> None:
        """Remove a waiting request from the collection that holds it."""
        name = request.request_id
        if name in self.isolated:
            self.isolated.pop(name)
        elif name in self._late:
            self._late.pop(name)
        elif name in self._past_objective:
            self._past_objective.pop(name)
            request.serial = 0
        else:
            queue = self._queues[request.reserve.workspace]
            queue.discard(request)
            self._index(queue)
        self._adjust_totals(request, -1)

    def isolate(self, request: Request) -> None:
        """Hold a dequeued request until a reserved target is idle."""
        self.isolated[request.request_id] = request
        self._adjust_totals(request, 1)

    def mark_late(self, now_ms: float) -> int:
        """Demote requests that can no longer meet objective or deadline.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        int
            Number of requests that can no longer meet their deadline.
        """
        self._demote_past_objective(now_ms)
        moved = 0
        while self._deadlines and self._deadlines[0][0] < now_ms:
            _, serial, request = heapq.heappop(self._deadlines)
            if request.serial == serial:
                self._remove_from_order(request)
                self._add_late(request)
                moved += 1
        return moved

    def charge_difference(self, workspace: str, difference_ms: float) -> None:
        """Charge a workspace the difference of actual and estimated price."""
        queue = self._queues.get(workspace)
        if queue is not None:
            queue.charge(difference_ms)
            self._index(queue)

    def _is_demoted(self, request: Request) -> bool:
        """Tell whether a request is past its objective or deadline."""
        name = request.request_id
        return name in self._past_objective or name in self._late

    def _demote_past_objective(self, now_ms: float) -> None:
        while self._objectives and self._objectives[0][0] < now_ms:
            _, serial, request = heapq.heappop(self._objectives)
            if request.serial == serial:
                self._remove_from_order(request)
                self._add_past_objective(request, -serial)

    def _add_late(self, request: Request) -> None:
        self._late[request.request_id] = request
        if request.reserve.begin_by_ms:
            refuse_by_ms = request.reserve.begin_by_ms - REFUSAL_DELIVERY_MS
            entry = (refuse_by_ms, next(self._departure_serials), request)
            heapq.heappush(self._departures, entry)

    def _add_past_objective(self, request: Request, serial: int) -> None:
        # A new serial invalidates its entries in the workspace queue.
        request.serial = serial
        self._past_objective[request.request_id] = request
        if request.latest_start_ms:
            entry = (request.latest_start_ms, serial, request)
            heapq.heappush(self._deadlines, entry)

    def _remove_from_order(self, request: Request) -> None:
        """Remove a request from the objects that hold it in serving order."""
        if self._past_objective.pop(request.request_id, None) is None:
            self._queues[request.reserve.workspace].discard(request)

    def _add(self, queue: WorkspaceQueue, request: Request) -> None:
        if not queue.count:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        queue.add(request)
        self._index(queue)

    def _get_or_add_queue(self, workspace: str, share: float) -> WorkspaceQueue:
        queue = self._queues.get(workspace)
        if queue is None:
            queue = WorkspaceQueue(workspace, share)
            self._queues[workspace] = queue
        queue.share = share
        return queue

    def _index(self, queue: WorkspaceQueue) -> None:
        if queue.count:
            heapq.heappush(
                self._by_start,
                (queue.virtual_start, queue.name),
            )
            heapq.heappush(
                self._by_finish,
                (-queue.virtual_finish, queue.name),
            )
        longest = max(len(self._by_start), len(self._by_finish))
        if longest > 4 * len(self._queues) + STALE_ENTRIES:
            self._compact()

    def _compact(self) -> None:
        queues = [queue for queue in self._queues.values() if queue.count]
        self._by_start = [(queue.virtual_start, queue.name) for queue in queues]
        self._by_finish = [
            (-queue.virtual_finish, queue.name) for queue in queues
        ]
        heapq.heapify(self._by_start)
        heapq.heapify(self._by_finish)

    def _find_next_queue(self) -> WorkspaceQueue | None:
        while self._by_start:
            virtual_start, name = self._by_start[0]
            queue = self._queues[name]
            if queue.count and queue.virtual_start == virtual_start:
                if queue.has_next:
                    return queue
                self._skipped_queues[name] = queue
            heapq.heappop(self._by_start)
        return None

    def _find_highest_finish(self) -> WorkspaceQueue | None:
        while self._by_finish:
            virtual_finish, name = self._by_finish[0]
            queue = self._queues[name]
            if queue.count and math.isclose(
                -virtual_finish, queue.virtual_finish
            ):
                return queue
            heapq.heappop(self._by_finish)
            if queue.count and -virtual_finish > queue.virtual_finish:
                heapq.heappush(self._by_finish, (-queue.virtual_finish, name))
        return None

    def _adjust_totals(self, request: Request, number: int) -> None:
        self.count += number
        self.work_ms += number * request.price_ms
        if not self.count:
            self.work_ms = 0
