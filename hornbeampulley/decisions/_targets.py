"""The state of one target."""

import dataclasses
import math
from collections.abc import Iterator, Mapping
from typing import Final

from hornbeampulley.configuration import Target
from hornbeampulley.decisions._health import Condition, Health
from hornbeampulley.decisions._limits import AdaptiveLimit
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._start_limit import StartLimiter
from hornbeampulley.decisions._throttle import Throttle

REPORT_TTL_MS: Final = 3000.0
MAX_PREFILL_MS: Final = 20.0
TOP_PROBE_DELAY_MS: Final = 30000.0


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """The core's state of one target.

    Attributes
    ----------
    target : Target
        Its configuration.
    limit : AdaptiveLimit
        Limit on its concurrent requests.
    health : Health
        Whether it is up and as fast as usual.
    throttle : Throttle
        When it takes requests, by its own words.
    starts : StartLimiter or None
        When it may get requests, as it may be cold; None if it is not limited.
    running : dict
        Requests leased to it, by id.
    is_leaving : bool
        Whether it is being removed and must get no lease.
    is_reserved : bool
        Whether it is reserved for requests that must run alone.
    prefill_end_ms : float
        Time at which the prefill of its requests is expected to be done.
    unfinished_prefill_ms : float
        Expected duration of the prefill of its requests without a first token.
    open_ranks : tuple of int
        Ranks for which it had a free slot when it was last refreshed.
    version : int
        Version of its valid heap entry in the fleet.
    counted_slots : int
        Its contribution to the capacity of the fleet.
    reported_slots : int or None
        Slots by its own last report, which is newer than its configuration;
        None if it names none.
    """

    target: Target
    limit: AdaptiveLimit
    health: Health = dataclasses.field(default_factory=Health)
    throttle: Throttle = dataclasses.field(default_factory=Throttle)
    starts: StartLimiter | None = None
    running: dict[str, Request] = dataclasses.field(default_factory=dict)
    is_leaving: bool = False
    is_reserved: bool = False
    prefill_end_ms: float = 0
    unfinished_prefill_ms: float = 0
    open_ranks: tuple[int, ...] = ()
    version: int = 0
    counted_slots: int = 0
    reported_slots: int | None = None
    _unleased_requests: float = 0
    _reported_ms: float = -math.inf

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.target.name

    @property
    def ceiling(self) -> int:
        """Return how many requests it can run at once."""
        return min(self.target.slots, self.reported_slots or math.inf)

    @property
    def lower_ranks_open_ms(self) -> float:
        """Return the time from which it may get lower-tier prompts again.

        Engines prefill in order of arrival, so a long prefill backlog would
        delay the first token of urgent requests.
        """
        return self.prefill_end_ms - MAX_PREFILL_MS

    @property
    def slots(self) -> int:
        """Return how many requests may run; 0 while leaving or unhealthy."""
        if self.is_leaving or not self.health.is_healthy:
            return 0
        return self.limit.slots

    def is_replaced_by(self, target: Target) -> bool:
        """Tell whether a record is of another server with its name."""
        known = self.target
        return (
            known.address != target.address
            or known.port != target.port
            or known.software != target.software
            or known.slots != target.slots
        )

    @property
    def limits_starts(self) -> bool:
        """Tell whether it bounds how often requests start there."""
        return self.starts is not None or self.throttle.rate_limit is not None

    def limit_starts(self, now_ms: float) -> None:
        """Apply the limit on starts of its configuration."""
        limit = self.target.starts
        if limit is None:
            self.starts = None
        elif self.starts is None or self.starts.limit.bound != limit.bound:
            self.starts = StartLimiter(limit, now_ms)
        else:
            self.starts.limit = limit

    def find_open_time(self, now_ms: float) -> float:
        """Return the time from which it may get the next request."""
        if self.starts is None:
            return self.throttle.open_ms
        return max(self.throttle.open_ms, self.starts.find_open_time(now_ms))

    def bound_slots(self, mean_ms: float, now_ms: float) -> int:
        """Return how many slots its limits on starts can keep busy."""
        slots = self.throttle.bound_slots(self.slots, mean_ms)
        if self.starts is None:
            return slots
        return int(min(slots, self.starts.count_busy(now_ms, mean_ms)))

    def record_start(self, now_ms: float) -> None:
        """Record that it gets a request."""
        self.throttle.record_start(now_ms)
        if self.starts is not None:
            self.starts.record(now_ms)

    def find_open_ranks(
        self,
        headroom: Mapping[int, float],
        now_ms: float,
        *,
        is_last_resort: bool = False,
    ) -> tuple[int, ...]:
        """Find the ranks from which it can accept one more request.

        Parameters
        ----------
        headroom : mapping
            Share of the limit that each rank must leave free, most urgent
            rank first.
        now_ms : float
            The current time.
        is_last_resort : bool
            Whether no target of the pool is healthy.

        Returns
        -------
        tuple of int
            The ranks, most urgent first.
        """
        if self.is_leaving or self.is_reserved:
            return ()
        if now_ms < self.find_open_time(now_ms):
            return ()
        if not self.health.is_healthy:
            if is_last_resort and self._is_last_resort_due(now_ms):
                return tuple(headroom)
            return self._find_probe_ranks(tuple(headroom), now_ms)
        return tuple(self._iterate_open_ranks(headroom))

    def add(self, request: Request) -> None:
        """Add a request that was leased to it."""
        self.running[request.request_id] = request

    def remove(self, request: Request) -> None:
        """Remove a request that ended."""
        self.running.pop(request.request_id)
        self.remove_prefill(request)

    def remove_prefill(self, request: Request) -> None:
        """Remove a request's prefill, done or abandoned, from the backlog."""
        self.unfinished_prefill_ms = max(
            self.unfinished_prefill_ms - request.prefill_ms, 0
        )
        request.prefill_ms = 0

    def reset_prefill_backlog(self, now_ms: float) -> None:
        """Set the backlog to the prefill of requests without a first token."""
        self.prefill_end_ms = now_ms + self.unfinished_prefill_ms

    def lacks_headroom(self, share: float) -> bool:
        """Tell whether too few slots are free or about to become free.

        Parameters
        ----------
        share : float
            Share of the limit that must be free.

        Returns
        -------
        bool
            True if another request should be preempted.
        """
        staying = sum(
            not request.preempting for request in self.running.values()
        )
        slots = self.limit.slots
        return staying > slots - _count_reserved_slots(share, slots)

    def add_prefill(self, prefill_ms: float, now_ms: float) -> float:
        """Add prefill work and return the time for what was pending before."""
        pending_ms = self.estimate_prefill_backlog(now_ms)
        self.prefill_end_ms = now_ms + pending_ms + prefill_ms
        self.unfinished_prefill_ms += prefill_ms
        return pending_ms

    def estimate_prefill_backlog(self, now_ms: float) -> float:
        """Return the time in ms until its pending prefill is done."""
        return max(self.prefill_end_ms - now_ms, 0)

    def record_load_report(self, requests: int, reported_ms: float) -> None:
        """Record a load report from the target.

        Requests beyond those leased here count as additional load. A report
        that arrives after a newer one counts for nothing.
        """
        if reported_ms < self._reported_ms:
            return
        self._unleased_requests = float(max(requests - len(self.running), 0))
        self._reported_ms = reported_ms

    def estimate_load(self, now_ms: float) -> float:
        """Return the share of the limit in use.

        Requests that only the last report shows count less as it ages.
        """
        age_ms = now_ms - self._reported_ms
        weight = max(1 - age_ms / REPORT_TTL_MS, 0)
        used = len(self.running) + weight * self._unleased_requests
        return used / self.limit.slots

    def _iterate_open_ranks(
        self, headroom: Mapping[int, float]
    ) -> Iterator[int]:
        slots = self.limit.slots
        used = len(self.running)
        for rank, share in headroom.items():
            if used >= slots - _count_reserved_slots(share, slots):
                return
            yield rank

    def _is_last_resort_due(self, now_ms: float) -> bool:
        has_slot = len(self.running) < self.target.slots
        return has_slot and self.health.is_last_resort_due(now_ms)

    def _find_probe_ranks(
        self,
        ranks: tuple[int, ...],
        now_ms: float,
    ) -> tuple[int, ...]:
        """Return the ranks from which a probe may be taken now.

        The top tier is not used for probes, unless a probe has been due for
        ``TOP_PROBE_DELAY_MS`` or there is no other tier.
        """
        if self.health.condition is Condition.DOWN and self.running:
            return ()
        if self.health.is_probe_due(now_ms - TOP_PROBE_DELAY_MS):
            return ranks
        if self.health.is_probe_due(now_ms):
            return ranks[1:] or ranks
        return ()


def _count_reserved_slots(share: float, slots: int) -> int:
    return min(math.ceil(share * slots), slots - 1)
