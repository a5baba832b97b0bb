"""Checks each action of a policy against what must always hold."""

import dataclasses
from collections import Counter
from typing import Final

from bench._loop import Loop
from hornbeampulley.configuration import Configuration
from hornbeampulley.decisions import (
    Action,
    Event,
    Lease,
    Outcome,
    Preempt,
    Reason,
    Refuse,
    Release,
    Reserve,
)

LEAVING_GRACE_MS: Final = 3000.0
SHED_REASONS: Final = frozenset((Reason.SHED, Reason.DEADLINE))


@dataclasses.dataclass(slots=True)
class Violations:
    """How often something happened that never may.

    Attributes
    ----------
    second_dispatches : int
        Leases of requests that were leased and not given back.
    untrue_refusals : int
        Refusals whose ``ran`` is wrong, or of requests that run.
    inversions : int
        Requests shed, or refused as late, while one of a lower tier waited.
    late_to_leaving : int
        Leases on a leaving target after a grace time.
    """

    second_dispatches: int = 0
    untrue_refusals: int = 0
    inversions: int = 0
    late_to_leaving: int = 0


class Audit:
    """Follows each request from the policy's own side.

    Parameters
    ----------
    configuration : Configuration
        Ranks of the tiers.
    loop : Loop
        Virtual time.
    """

    def __init__(self, configuration: Configuration, loop: Loop) -> None:
        self.violations = Violations()
        self.leaving: dict[str, float] = {}
        self.reasons: Counter[Reason] = Counter()
        self._ranks = {
            name: tier.rank for name, tier in configuration.tiers.items()
        }
        self._loop = loop
        self._waiting: dict[str, int] = {}
        self._leased: dict[str, int] = {}
        self._ran: set[str] = set()
        self._preempted: set[str] = set()
        self._by_rank: Counter[int] = Counter()

    def check(self, event: Event, actions: tuple[Action, ...]) -> None:
        """Note an event and check the actions that answer it."""
        if isinstance(event, Reserve):
            self._wait(event.request_id, self._ranks[event.tier])
        elif isinstance(event, Release):
            self._note_release(event)
        for action in actions:
            if isinstance(action, Lease):
                self._check_lease(action)
            elif isinstance(action, Refuse):
                self._check_refusal(action)
            elif isinstance(action, Preempt):
                self._preempted.add(action.request_id)

    def _wait(self, request_id: str, rank: int) -> None:
        self._waiting[request_id] = rank
        self._by_rank[rank] += 1

    def _note_release(self, release: Release) -> None:
        rank = self._leased.pop(release.request_id, None)
        if rank is None:
            return
        if release.request_id in self._preempted:
            self._ran.add(release.request_id)
        elif release.outcome is Outcome.NOT_SENT:
            self._ran.discard(release.request_id)
        if release.outcome in {Outcome.NOT_SENT, Outcome.PREEMPTED}:
            self._wait(release.request_id, rank)

    def _check_lease(self, lease: Lease) -> None:
        rank = self._waiting.pop(lease.request_id, None)
        if rank is None:
            self.violations.second_dispatches += 1
            return
        self._by_rank[rank] -= 1
        self._leased[lease.request_id] = rank
        self._ran.add(lease.request_id)
        left_ms = self.leaving.get(lease.target, self._loop.now_ms)
        if self._loop.now_ms - left_ms > LEAVING_GRACE_MS:
            self.violations.late_to_leaving += 1

    def _check_refusal(self, refusal: Refuse) -> None:
        rank = self._waiting.pop(refusal.request_id, None)
        self.reasons[refusal.reason] += 1
        if self._is_untrue(refusal):
            self.violations.untrue_refusals += 1
        if rank is None:
            return
        self._by_rank[rank] -= 1
        if refusal.reason in SHED_REASONS and self._is_lower_waiting(rank):
            self.violations.inversions += 1

    def _is_untrue(self, refusal: Refuse) -> bool:
        if refusal.request_id in self._leased:
            return True
        return refusal.ran != (refusal.request_id in self._ran)

    def _is_lower_waiting(self, rank: int) -> bool:
        return any(
            count and other > rank for other, count in self._by_rank.items()
        )
