"""The state that the components of the core share."""

import dataclasses
import math
import random
from typing import Final

from hornbeampulley.configuration import Configuration
from hornbeampulley.decisions._actions import Action, Reason, Refuse, Warn
from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._deadly_parts import DeadlyParts
from hornbeampulley.decisions._drain import DrainRate
from hornbeampulley.decisions._feasibility import FeasibilityChecker
from hornbeampulley.decisions._fleet import Fleet
from hornbeampulley.decisions._history import History
from hornbeampulley.decisions._pending_retries import PendingRetries
from hornbeampulley.decisions._placement import PrefixIndex
from hornbeampulley.decisions._quarantine import QuarantineList
from hornbeampulley.decisions._queue import WaitingQueue
from hornbeampulley.decisions._request_table import RequestTable, RetryBudget
from hornbeampulley.decisions._requests import Request

MIN_RETRY_MS: Final = 100.0
MAX_RETRY_MS: Final = 15_000.0
RETRY_JITTER: Final = 0.2
# Callers wait for at most this share of the time that they have left.
HONOURED_SHARE: Final = 1 / 3
# Share of the measured rate that is counted on for work that returns, however
# much new work arrives.
MIN_SPARE_SHARE: Final = 0.2


@dataclasses.dataclass(slots=True)
class State:
    """The state of a core, and the actions for the current event.

    Attributes
    ----------
    pool : str
        Name of the pool.
    random : random.Random
        The only source of random numbers.
    cost : CostModel
        Measured rates and output lengths.
    fleet : Fleet
        The targets and the requests running on them.
    feasibility : FeasibilityChecker
        Checks which requests can be served in time, and by which targets.
    now_ms : float
        Time of the current event.
    configuration : Configuration or None
        Configuration from the change tickets; no decision is made before the
        first one.
    index : PrefixIndex
        Prompt blocks in the caches of the targets.
    queue : WaitingQueue
        The waiting requests.
    request_table : RequestTable
        All known requests.
    retry_budget : RetryBudget
        Remaining retries of each workspace.
    quarantine : QuarantineList
        Suspect and quarantined contents.
    deadly_parts : DeadlyParts
        Suspect and quarantined parts of prompts.
    drain : DrainRate
        Rate at which the pool completes work.
    demand : DrainRate
        Rate at which work arrives.
    pending_retries : PendingRetries
        Refused work that callers are expected to retry.
    history : History
        Recent decisions, for explanations.
    urgent_targets : list of str
        Targets of the top tier's leases since the last preemption round.
    actions : list of Action
        Actions for the current event.
    """

    pool: str
    random: random.Random
    cost: CostModel
    fleet: Fleet
    feasibility: FeasibilityChecker
    now_ms: float = 0
    configuration: Configuration | None = None
    index: PrefixIndex = dataclasses.field(default_factory=PrefixIndex)
    queue: WaitingQueue = dataclasses.field(default_factory=WaitingQueue)
    request_table: RequestTable = dataclasses.field(
        default_factory=RequestTable
    )
    retry_budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    quarantine: QuarantineList = dataclasses.field(
        default_factory=QuarantineList,
    )
    deadly_parts: DeadlyParts = dataclasses.field(default_factory=DeadlyParts)
    drain: DrainRate = dataclasses.field(default_factory=DrainRate)
    demand: DrainRate = dataclasses.field(default_factory=DrainRate)
    pending_retries: PendingRetries = dataclasses.field(
        default_factory=PendingRetries
    )
    history: History = dataclasses.field(default_factory=History)
    urgent_targets: list[str] = dataclasses.field(default_factory=list)
    actions: list[Action] = dataclasses.field(default_factory=list)

    def record_decision(
        self, request: Request, decision: str, detail: str = ''
    ) -> None:
        """Record a decision about a request."""
        self.history.add(request.request_id, self.now_ms, decision, detail)

    def warn(self, event: str, subject: str) -> None:
        """Add a warning to the actions."""
        self.actions.append(Warn(event, subject))

    def admit(self, request: Request) -> None:
        """Queue a new request, with the place kept for it if it returns."""
        reserve = request.reserve
        self.demand.record_work(request.price_ms)
        request.is_return = self.pending_retries.claim_place(
            reserve.fingerprint, self.now_ms
        )
        self.queue.push(request)
        detail = f'{reserve.tier}, returned' if request.is_return else ''
        self.record_decision(request, 'wait', detail or reserve.tier)

    def estimate_spare_rate(self) -> float:
        """Return the rate of work for what new arrivals leave over."""
        rate = self.drain.estimate(self.fleet.capacity)
        new = self.demand.estimate(0)
        return max(rate - new, MIN_SPARE_SHARE * rate)

    def refuse(
        self,
        request: Request,
        reason: Reason,
        ran: bool = False,
    ) -> None:
        """Refuse a request that is neither queued nor running."""
        self.request_table.end(request)
        self.record_decision(request, 'refuse', reason.value)
        self.actions.append(
            Refuse(
                request.request_id,
                request.reserve.home,
                reason,
                ran or request.resume,
                self._estimate_retry_delay(request, reason),
                self.queue.count,
                self.fleet.capacity,
                request.price_ms,
                self._compute_time_left(request),
            ),
        )

    def _compute_time_left(self, request: Request) -> float:
        if not request.latest_start_ms:
            return 0
        return request.latest_start_ms - self.now_ms

    def _estimate_retry_delay(self, request: Request, reason: Reason) -> float:
        if reason in {Reason.DUPLICATE_KEY, Reason.OTHER_SOFTWARE}:
            return 0
        if reason is Reason.QUARANTINED:
            parts = request.reserve.prompt_parts
            return self.deadly_parts.get_time_left(parts, self.now_ms)
        work_ms = (
            self.queue.sum_work(request.rank)
            + self.pending_retries.sum_work(request.rank, self.now_ms)
            + request.price_ms
        )
        rate = self.drain.estimate(self.fleet.capacity)
        if request.objective_start_ms:
            rate = self.estimate_spare_rate()
        wait_ms = work_ms / rate
        jitter = 1 + RETRY_JITTER * self.random.random()
        longest_ms = self._find_longest_delay(request)
        retry_ms = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS) * jitter
        # A place is kept only where there is expected capacity for it.
        has_place = request.objective_start_ms and retry_ms <= longest_ms
        self.pending_retries.add(
            self.now_ms + min(retry_ms, longest_ms),
            request.rank,
            request.price_ms,
            request.reserve.fingerprint if has_place else 0,
        )
        return min(retry_ms, longest_ms)

    def _find_longest_delay(self, request: Request) -> float:
        """Return the longest retry delay that the caller honours."""
        reserve = request.reserve
        if not (reserve.objective_ms and reserve.deadline_ms):
            return math.inf
        return HONOURED_SHARE * max(reserve.deadline_ms - self.now_ms, 0)
