"""The queue of a pool's waiting requests, by tier."""

import itertools
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from hornbeampulley.configuration import Tier, Workspace
from hornbeampulley.decisions._requests import Request, Stage
from hornbeampulley.decisions._tiers import TierQueue

MAX_CREDIT: Final = 2.0
# Largest sum of the floors of the waiting tiers, so that many tiers with a floor
# do not take all dispatches from the most urgent one.
MAX_FLOOR_SUM: Final = 0.6


class WaitingQueue:
    """Serves tiers strictly by rank, except for guaranteed floors.

    The floor of a tier is the share of dispatches that it gets even while
    more urgent tiers have waiting requests.
    """

    def __init__(self) -> None:
        self._ranks: dict[str, int] = {}
        self._floors: dict[int, float] = {}
        self._floor_credits: dict[int, float] = {}
        self._shares: dict[str, float] = {}
        self._tiers: dict[int, TierQueue] = {}
        self._serial = 0

    @property
    def count(self) -> int:
        """Return the number of waiting requests."""
        return sum(tier.count for tier in self._tiers.values())

    @property
    def work_ms(self) -> float:
        """Return the total price of the waiting requests in ms."""
        return sum(tier.work_ms for tier in self._tiers.values())

    def configure(
        self,
        tiers: Mapping[str, Tier],
        workspaces: Mapping[str, Workspace],
    ) -> None:
        """Apply tiers and workspaces; requeue all requests if ranks change."""
        ranks = {tier.name: tier.rank for tier in tiers.values()}
        waiting = [] if ranks == self._ranks else list(self._drain())
        self._ranks = ranks
        self._floors = {tier.rank: tier.floor for tier in tiers.values()}
        self._shares = {
            workspace.name: workspace.share for workspace in workspaces.values()
        }
        for rank in self._ranks.values():
            self._get_or_add_tier(rank)
        for request in reversed(waiting):
            request.rank = self.find_rank(request.reserve.tier)
            self.push(request)

    def find_rank(self, tier: str) -> int:
        """Return the rank of a tier; the least urgent one if it is unknown."""
        lowest = max(self._ranks.values(), default=0)
        return self._ranks.get(tier, lowest)

    def push(self, request: Request) -> None:
        """Add a request."""
        self._serial += 1
        request.serial = self._serial
        request.stage = Stage.WAITING
        share = self._shares.get(request.reserve.workspace, 1.0)
        self._get_or_add_tier(request.rank).push(request, share)

    def find_next(self, rank: int) -> Request:
        """Return the next request of a rank to be leased."""
        return self._tiers[rank].find_next()

    def find_most_over_share(self, request: Request) -> Request | None:
        """Return the next request of the workspace most over its share.

        None if that is the workspace of the given request.
        """
        return self._tiers[request.rank].find_most_over_share(request)

    def dequeue(self, request: Request) -> None:
        """Remove a request to be leased and charge it to its workspace."""
        self._tiers[request.rank].dequeue(request)

    def skip(self, request: Request) -> None:
        """Skip the next request of its rank until ``restore_skipped``."""
        self._tiers[request.rank].skip(request)

    def restore_skipped(self) -> None:
        """Put skipped requests back in their places."""
        for tier in self._tiers.values():
            tier.restore_skipped()

    def remove(self, request: Request) -> None:
        """Remove a waiting request."""
        self._tiers[request.rank].remove(request)

    def isolate(self, request: Request) -> None:
        """Hold a dequeued request until a reserved target is idle."""
        self._tiers[request.rank].isolate(request)

    def list_isolated(self) -> list[Request]:
        """List the requests to be run in isolation, by rank and price."""
        return [
            request
            for tier in self._tiers.values()
            if tier.isolated
            for request in sorted(tier.isolated.values(), key=_get_price)
        ]

    def find_shed_candidate(self) -> Request:
        """Return the request to be shed next; the queue must not be empty."""
        return self._tiers[self.find_lowest_rank()].find_shed_candidate()

    def pop_shed_candidate(self) -> Request:
        """Remove and return the request to be shed next."""
        return self._tiers[self.find_lowest_rank()].pop_shed_candidate()

    def find_lowest_rank(self) -> int:
        """Return the least urgent rank with waiting requests, or -1."""
        waiting = [rank for rank in self._tiers if self._tiers[rank].count]
        return max(waiting, default=-1)

    def choose_rank(self, has_free_slot: Callable[[int], bool]) -> int | None:
        """Choose the rank to be served next.

        Parameters
        ----------
        has_room : callable
            Tells whether any target has a free slot for a rank.

        Returns
        -------
        int or None
            The rank; None if no request is ready, or if there is no free slot
            for the most urgent rank nor for one that is due by its floor.
        """
        ready = [rank for rank, tier in self._tiers.items() if tier.ready_count]
        for rank in ready:
            if self._floor_credits.get(rank, 0) >= 1 and has_free_slot(rank):
                return rank
        if ready and has_free_slot(ready[0]):
            return ready[0]
        return None

    def record_dispatch(self, rank: int) -> None:
        """Credit the waiting tiers that have a floor; debit the served one."""
        floors = {
            waiting: floor
            for waiting, floor in self._floors.items()
            if floor and self._tiers[waiting].ready_count
        }
        scale = MAX_FLOOR_SUM / max(sum(floors.values()), MAX_FLOOR_SUM)
        for waiting, floor in floors.items():
            credit = self._floor_credits.get(waiting, 0) + floor * scale
            self._floor_credits[waiting] = min(credit, MAX_CREDIT)
        if self._floor_credits.get(rank, 0):
            self._floor_credits[rank] = max(self._floor_credits[rank] - 1, 0)

    def count_ready(self, rank: int) -> int:
        """Return the number of requests of a rank that are ready for a lease.

        Isolated and skipped requests do not count.
        """
        return self._get_or_add_tier(rank).ready_count

    def count_tiers(self) -> dict[str, int]:
        """Return the number of waiting requests by tier name."""
        return {
            name: self._tiers[rank].count for name, rank in self._ranks.items()
        }

    def sum_work(self, rank: int) -> float:
        """Return the price in ms of all requests at least as urgent."""
        return sum(
            tier.work_ms
            for waiting, tier in self._tiers.items()
            if waiting <= rank
        )

    def mark_late(self, now_ms: float) -> list[int]:
        """Demote requests that can no longer meet objective or deadline.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        list of int
            Ranks of those that can no longer meet their deadline, one entry
            per request.
        """
        ranks: list[int] = []
        for rank, tier in self._tiers.items():
            ranks.extend(itertools.repeat(rank, tier.mark_late(now_ms)))
        return ranks

    def list_late(self, now_ms: float) -> list[Request]:
        """List the late requests of the lowest tier with waiting requests."""
        rank = self.find_lowest_rank()
        return self._tiers[rank].list_late(now_ms) if rank >= 0 else []

    def find_expired_rank(self, now_ms: float) -> int | None:
        """Return the most urgent rank with a request past its deadline.

        None if there is no such request.
        """
        for rank, tier in self._tiers.items():
            if tier.has_expired(now_ms):
                return rank
        return None

    def list_departing(self, now_ms: float) -> list[Request]:
        """List late requests whose callers are about to disconnect."""
        return [
            request
            for tier in self._tiers.values()
            for request in tier.list_departing(now_ms)
        ]

    def charge_difference(self, request: Request, difference_ms: float) -> None:
        """Charge the workspace for the error of an estimated price.

        Parameters
        ----------
        request : Request
            A request that was leased.
        difference_ms : float
            Actual price less the estimated one.
        """
        tier = self._get_or_add_tier(request.rank)
        tier.charge_difference(request.reserve.workspace, difference_ms)

    def _get_or_add_tier(self, rank: int) -> TierQueue:
        if rank not in self._tiers:
            self._tiers[rank] = TierQueue()
            self._tiers = dict(sorted(self._tiers.items()))
        return self._tiers[rank]

    def _drain(self) -> Iterator[Request]:
        for tier in self._tiers.values():
            while tier.count:
                yield tier.pop_shed_candidate()
        self._tiers.clear()
        self._floor_credits.clear()


def _get_price(request: Request) -> float:
    return request.price_ms
