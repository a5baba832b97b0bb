"""The state of one target."""

import dataclasses
import math

from hornbeampulley.configuration import Target
from hornbeampulley.decisions._health import Condition, Health
from hornbeampulley.decisions._limits import AdaptiveLimit
from hornbeampulley.decisions._requests import Request

REPORT_LIFE_MS = 3000.0
TOP_PROBE_DELAY_MS = 30000.0


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """What the core knows of a target.

    Attributes
    ----------
    target : Target
        Its entry in the configuration.
    limit : AdaptiveLimit
        How many requests may run on it.
    health : Health
        Whether it is up and as fast as usual.
    running : dict
        Requests leased to it, by id.
    by_rank : dict
        Number of those by rank of tier.
    is_leaving : bool
        Whether it must get no lease.
    is_reserved : bool
        Whether it is kept for a request that must run alone.
    version : int
        Number of its valid entry among the candidates.
    counted_slots : int
        What it adds to the capacity of the fleet.
    """

    target: Target
    limit: AdaptiveLimit
    health: Health = dataclasses.field(default_factory=Health)
    running: dict[str, Request] = dataclasses.field(default_factory=dict)
    by_rank: dict[int, int] = dataclasses.field(default_factory=dict)
    is_leaving: bool = False
    is_reserved: bool = False
    version: int = 0
    counted_slots: int = 0
    _foreign: float = 0
    _reported_ms: float = -math.inf

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.target.name

    @property
    def slots(self) -> int:
        """Return how many requests may run; 0 while it gets no work."""
        if self.is_leaving or not self.health.is_healthy:
            return 0
        return self.limit.slots

    def has_room(
        self,
        rank: int,
        headroom: float,
        top: int,
        now_ms: float,
    ) -> bool:
        """Tell whether a request of a rank may be leased.

        Parameters
        ----------
        rank : int
            Rank of its tier.
        headroom : float
            Share of the limit kept free of this rank.
        top : int
            The most urgent rank.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if it may.
        """
        if self.is_leaving or self.is_reserved:
            return False
        if not self.health.is_healthy:
            return self._has_probe(rank == top, now_ms)
        slots = self.limit.slots
        if len(self.running) >= slots:
            return False
        kept = min(math.ceil(headroom * slots), slots - 1)
        return self._count_from(rank) < slots - kept

    def add(self, request: Request) -> None:
        """Add a request that was leased to it."""
        self.running[request.request_id] = request
        count = self.by_rank.get(request.rank, 0)
        self.by_rank[request.rank] = count + 1

    def remove(self, request: Request) -> None:
        """Remove a request that ended."""
        self.running.pop(request.request_id)
        self.by_rank[request.rank] -= 1

    def report(self, requests: int, reported_ms: float) -> None:
        """Take the target's own report of its load."""
        self._foreign = float(max(requests - len(self.running), 0))
        self._reported_ms = reported_ms

    def estimate_load(self, now_ms: float) -> float:
        """Return the share of the limit in use, by leases and reports."""
        age_ms = now_ms - self._reported_ms
        trust = max(1 - age_ms / REPORT_LIFE_MS, 0)
        used = len(self.running) + trust * self._foreign
        return used / self.limit.slots

    def _count_from(self, rank: int) -> int:
        return sum(
            count for other, count in self.by_rank.items() if other >= rank
        )

    def _has_probe(self, is_top: bool, now_ms: float) -> bool:
        if self.health.condition is Condition.DOWN and self.running:
            return False
        delay_ms = TOP_PROBE_DELAY_MS if is_top else 0
        return self.health.is_probe_due(now_ms - delay_ms)
