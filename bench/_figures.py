"""Figures and their bounds."""

import dataclasses
import math

from bench._driver import Run
from bench._requests import Record


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes
    ----------
    name : str
        What was measured.
    amount : float
        The figure.
    at_most, at_least : float
        Bounds; infinite where there is none.
    """

    name: str
    amount: float
    at_most: float = math.inf
    at_least: float = -math.inf

    def is_met(self) -> bool:
        """Tell whether the figure keeps its bounds."""
        return self.at_least <= self.amount <= self.at_most

    def describe_bound(self) -> str:
        """Return the bound as text."""
        if self.at_most < math.inf:
            return f'<= {self.at_most:g}'
        if self.at_least > -math.inf:
            return f'>= {self.at_least:g}'
        return ''


def find_percentile(amounts: list[float], percent: float) -> float:
    """Return the nearest-rank percentile; infinity if there are none."""
    if not amounts:
        return math.inf
    rank = math.ceil(len(amounts) * percent / 100)
    return sorted(amounts)[max(rank - 1, 0)]


def find_first_token(records: list[Record], percent: float) -> float:
    """Return a percentile of first-token delays; unanswered are infinite."""
    return find_percentile(
        [
            record.measure_first_token_delay()
            if record.first_token_ms >= 0
            else math.inf
            for record in records
        ],
        percent,
    )


def find_response(records: list[Record], percent: float) -> float:
    """Return a percentile of response times; unanswered are infinite."""
    return find_percentile(
        [
            record.measure_response() if record.is_good() else math.inf
            for record in records
        ],
        percent,
    )


def measure_goodput(records: list[Record]) -> float:
    """Return the share of the work that was answered in time."""
    asked = sum(record.request.measure_work() for record in records)
    good = sum(
        record.request.measure_work() for record in records if record.is_good()
    )
    return good / asked if asked else 1


def list_invariants(run: Run) -> tuple[Figure, ...]:
    """List the figures that must be 0 in every run."""
    violations = run.audit.violations
    return (
        Figure('second dispatches', violations.second_dispatches, at_most=0),
        Figure('untrue refusals', violations.untrue_refusals, at_most=0),
        Figure('answers held back', run.count_held_back(), at_most=0),
        Figure(
            'shed above waiting lower tier', violations.inversions, at_most=0
        ),
        Figure(
            'leases on leaving target', violations.late_to_leaving, at_most=0
        ),
    )
