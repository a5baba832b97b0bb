"""The waiting requests of a pool, by tier."""

import itertools
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from hornbeampulley.configuration import Tier, Workspace
from hornbeampulley.decisions._requests import Request, Stage
from hornbeampulley.decisions._tiers import TierQueue

MAX_CREDIT: Final = 2.0


class WaitingQueue:
    """Orders tiers by rank, with a floor on the dispatches of lower ones."""

    def __init__(self) -> None:
        self._ranks: dict[str, int] = {}
        self._floors: dict[int, float] = {}
        self._floor_credits: dict[int, float] = {}
        self._shares: dict[str, float] = {}
        self._tiers: dict[int, TierQueue] = {}
        self._serial = 0

    @property
    def count(self) -> int:
        """Return how many requests wait."""
        return sum(tier.count for tier in self._tiers.values())

    @property
    def work_ms(self) -> float:
        """Return the price of the waiting requests."""
        return sum(tier.work_ms for tier in self._tiers.values())

    def configure(
        self,
        tiers: Mapping[str, Tier],
        workspaces: Mapping[str, Workspace],
    ) -> None:
        """Take tiers and workspaces; requests that wait are sorted anew."""
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
        """Return the rank of a tier; an unknown one counts as the lowest."""
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
        """Return the request of a rank that is to be leased next."""
        return self._tiers[rank].find_next()

    def find_most_over_share(self, request: Request) -> Request | None:
        """Return the first request of the workspace most over its share."""
        return self._tiers[request.rank].find_most_over_share(request)

    def dequeue(self, request: Request) -> None:
        """Remove a request that is to be leased."""
        self._tiers[request.rank].dequeue(request)

    def skip(self, request: Request) -> None:
        """Pass over a request that is to be leased next."""
        self._tiers[request.rank].skip(request)

    def restore_skipped(self) -> None:
        """Give what was skipped its place back."""
        for tier in self._tiers.values():
            tier.restore_skipped()

    def remove(self, request: Request) -> None:
        """Remove a waiting request."""
        self._tiers[request.rank].remove(request)

    def isolate(self, request: Request) -> None:
        """Keep a popped request until a target is idle."""
        self._tiers[request.rank].isolate(request)

    def list_isolated(self) -> list[Request]:
        """List what must run alone: urgent before others, then the short."""
        return [
            request
            for tier in self._tiers.values()
            if tier.isolated
            for request in sorted(tier.isolated.values(), key=_get_price)
        ]

    def find_shed_candidate(self) -> Request:
        """Return the request that is to be shed next; one must wait."""
        return self._tiers[self.find_lowest_rank()].find_shed_candidate()

    def pop_shed_candidate(self) -> Request:
        """Remove the request that is to be shed next."""
        return self._tiers[self.find_lowest_rank()].pop_shed_candidate()

    def find_lowest_rank(self) -> int:
        """Return the least urgent rank that waits, or -1."""
        waiting = [rank for rank in self._tiers if self._tiers[rank].count]
        return max(waiting, default=-1)

    def choose_rank(self, has_room: Callable[[int], bool]) -> int | None:
        """Choose the rank to be served next.

        Parameters
        ----------
        has_room : callable
            Tells whether any target has room for a rank.

        Returns
        -------
        int or None
            The rank; none if there is no room for the most urgent request.
        """
        ready = [rank for rank, tier in self._tiers.items() if tier.ready]
        for rank in ready:
            if self._floor_credits.get(rank, 0) >= 1 and has_room(rank):
                return rank
        if ready and has_room(ready[0]):
            return ready[0]
        return None

    def record_dispatch(self, rank: int) -> None:
        """Credit the waiting tiers that have a floor; debit the one served."""
        for waiting, floor in self._floors.items():
            if floor and self._tiers[waiting].ready:
                credit = self._floor_credits.get(waiting, 0) + floor
                self._floor_credits[waiting] = min(credit, MAX_CREDIT)
        if self._floor_credits.get(rank, 0):
            self._floor_credits[rank] = max(self._floor_credits[rank] - 1, 0)

    def count_ready(self, rank: int) -> int:
        """Return how many requests of a rank can be leased to any target."""
        return self._get_or_add_tier(rank).ready

    def count_tiers(self) -> dict[str, int]:
        """Return how many requests wait, by name of tier."""
        return {
            name: self._tiers[rank].count for name, rank in self._ranks.items()
        }

    def sum_work(self, rank: int) -> float:
        """Return the price of what waits at a rank or above."""
        return sum(
            tier.work_ms
            for waiting, tier in self._tiers.items()
            if waiting <= rank
        )

    def mark_late(self, now_ms: float) -> list[int]:
        """Move requests that cannot meet their deadline behind the others.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        list of int
            Ranks of those that were moved, one for each.
        """
        ranks: list[int] = []
        for rank, tier in self._tiers.items():
            ranks.extend(itertools.repeat(rank, tier.mark_late(now_ms)))
        return ranks

    def list_late(self, now_ms: float) -> list[Request]:
        """List the late requests of the lowest tier that waits."""
        rank = self.find_lowest_rank()
        return self._tiers[rank].list_late(now_ms) if rank >= 0 else []

    def list_departing(self, now_ms: float) -> list[Request]:
        """List the requests of all tiers whose callers are about to leave."""
        return [
            request
            for tier in self._tiers.values()
            for request in tier.list_departing(now_ms)
        ]

    def charge_difference(self, request: Request, difference_ms: float) -> None:
        """Charge the difference of a request's actual and expected cost."""
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
