"""How much each target can do now, and how many requests it handles well.

The load: targets of one pool differ in speed, some slow down long before they
are full, and some are slow for a moment because of others on their machine.

A target handles as many requests well as callers still get their first event
within the objective and the next ones within the allowed pause. The estimate
begins as "as many as it has slots, at the speed of the pool", and only answers
of targets that report their slowness change it.
"""

import math
from typing import Final

# Time after which a reported slowness has decayed to 37 %; a transient
# slowness lasts about this long.
SLOWNESS_DECAY_MS: Final = 600.0
MAX_SLOWNESS: Final = 16.0
# Slowness below this counts as usual.
SLOW_FROM: Final = 1.05
USUAL: Final = 1.0
SAMPLE_WEIGHT: Final = 0.1
# Samples of a stream count in full from this many pauses on.
FULL_WEIGHT_PAUSES: Final = 16
# A first event alone tells little of how the target fills.
FIRST_EVENT_WEIGHT: Final = 0.1
# Samples of full weight before the number of requests follows the estimate.
MIN_WEIGHT: Final = 3.0
# Part of a time that grows in proportion to the requests, before it is known.
PRIOR_GROWTH: Final = 0.5
# The prior of the growth counts as much as samples with this variance of
# the number of requests.
PRIOR_VARIANCE: Final = 1.0
MIN_GROWTH: Final = 0.1
MAX_GROWTH: Final = 4.0
MIN_SHARE_OF_MEAN: Final = 0.25
# Part of the allowed times that is aimed at; the rest is for scatter.
AIM: Final = 0.8
DECREASE_FACTOR: Final = 0.85
DECREASE_PAUSE_MS: Final = 300.0
INCREASE_STEP: Final = 1.0
# Time without samples after which what is known of an idle slow target is
# forgotten, so that it gets work that shows whether it still is slow.
FORGET_MS: Final = 10_000.0
# Share of its slots that it then gets until streams have ended there.
TRIAL_SHARE: Final = 0.25


class FillCurve:
    """A time that grows linearly with the number of requests of a target.

    The line goes through the moving average of the samples. Its slope is fitted
    to them, together with a prior, as a target at a constant fill shows none.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self._fill = 1.0
        self._mean = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        self._slope = 1.0

    def update(self, fill: float, sample: float, weight: float) -> None:
        """Update the curve with a sample.

        Parameters
        ----------
        fill : float
            Requests that ran on the target, this one included.
        sample : float
            Time that was measured, in any one unit.
        weight : float
            Weight of the sample, at most 1.
        """
        self.weight += weight
        share = max(SAMPLE_WEIGHT * weight, weight / self.weight)
        fill_step = fill - self._fill
        step = sample - self._mean
        self._fill += share * fill_step
        self._mean += share * step
        rest = 1 - share
        self._variance = rest * (self._variance + share * fill_step**2)
        self._covariance = rest * (self._covariance + share * fill_step * step)
        # Estimates are asked for much more often than samples come.
        self._slope = self._fit_slope()

    def estimate(self, fill: float) -> float:
        """Return the time at a number of requests."""
        line = self._mean + self._slope * (fill - self._fill)
        return max(line, MIN_SHARE_OF_MEAN * self._mean)

    def find_fill(self, limit: float) -> float:
        """Return the number of requests at which the time is at its limit."""
        return self._fill + (limit - self._mean) / self._slope

    def _fit_slope(self) -> float:
        proportional = max(self._mean, math.ulp(1)) / max(self._fill, 1)
        prior = PRIOR_VARIANCE * PRIOR_GROWTH * proportional
        slope = (self._covariance + prior) / (self._variance + PRIOR_VARIANCE)
        least = MIN_GROWTH * proportional
        return min(max(slope, least), MAX_GROWTH * proportional)


class TargetCapacity:
    """Estimate of what one target can do.

    Attributes
    ----------
    slowness : float
        How long work takes at the last refresh, as a multiple of the usual
        time.
    handled : float
        Number of requests that it handles well; infinite as long as nothing
        shows that its slots are too many.
    slots : int
        Its concurrency limit at the last refresh.
    """

    def __init__(self) -> None:
        self.slowness = USUAL
        self.handled = math.inf
        self.slots = 1
        self._pace = FillCurve()
        self._strain = FillCurve()
        self._reported = USUAL
        self._reported_ms = -math.inf
        self._sampled_ms = -math.inf
        self._decreased_ms = -math.inf

    def is_stale(self, now_ms: float) -> bool:
        """Tell whether its speed was measured, but long ago."""
        return self.is_measured and now_ms - self._sampled_ms > FORGET_MS

    @property
    def is_measured(self) -> bool:
        """Tell whether its speed by fill is known from its answers."""
        return self._pace.weight > 0

    def record_report(self, slowness: float, reported_ms: float) -> None:
        """Record a reported slowness, unless a newer one is known.

        Parameters
        ----------
        slowness : float
            Multiple of the usual time.
        reported_ms : float
            When the target reported it.
        """
        if reported_ms < self._reported_ms:
            return
        self._reported = min(max(slowness, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        self._reported_ms = reported_ms

    def refresh(self, slots: int, now_ms: float) -> None:
        """Bring what decays with time up to now.

        Parameters
        ----------
        slots : int
            Concurrency limit of the target.
        now_ms : float
            The current time.
        """
        self.slots = slots
        age_ms = now_ms - self._reported_ms
        left = math.exp(-max(age_ms, 0) / SLOWNESS_DECAY_MS)
        slowness = USUAL + (self._reported - USUAL) * left
        is_usual = abs(slowness - USUAL) <= SLOW_FROM - USUAL
        self.slowness = USUAL if is_usual else slowness

    def observe(
        self, fill: float, step_ms: float, pause_ratio: float, pauses: float
    ) -> None:
        """Learn from a stream that has ended.

        Parameters
        ----------
        fill : float
            Requests that ran on the target meanwhile, this one included.
        step_ms : float
            Mean time for an output token.
        pause_ratio : float
            The larger of the longest pause and the delay of the first event,
            as a share of what its caller allows.
        pauses : float
            Number of pauses between its events.
        """
        weight = min(max(pauses / FULL_WEIGHT_PAUSES, FIRST_EVENT_WEIGHT), 1)
        self._strain.update(fill, pause_ratio, weight)
        if step_ms > 0:
            self._pace.update(fill, step_ms, weight)

    def track(self, ceiling: int, now_ms: float) -> bool:
        """Move the number of requests towards the estimate.

        Parameters
        ----------
        ceiling : int
            Slots of the target.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            True if the whole number has changed.
        """
        self._sampled_ms = now_ms
        if self._strain.weight < MIN_WEIGHT:
            return False
        before = min(self.handled, ceiling)
        aim = min(max(self._strain.find_fill(AIM), 1), ceiling)
        if aim >= before:
            self.handled = min(before + INCREASE_STEP, aim)
        elif now_ms - self._decreased_ms >= DECREASE_PAUSE_MS:
            self._decreased_ms = now_ms
            self.handled = max(before * DECREASE_FACTOR, aim)
        return int(min(self.handled, ceiling)) != int(before)

    def estimate_step(self, load: float) -> float | None:
        """Return the time in ms for an output token, by fill.

        Parameters
        ----------
        load : float
            Share of its limit in use.

        Returns
        -------
        float or None
            Without the present slowness; None if nothing was measured.
        """
        if not self.is_measured:
            return None
        return self._pace.estimate(load * self.slots + 1)

    def stretch(self, duration_ms: float) -> float:
        """Return how long some work takes with the present slowness.

        The slowness is expected to last `SLOWNESS_DECAY_MS`.
        """
        slow_ms = min(duration_ms, SLOWNESS_DECAY_MS)
        return duration_ms + (self.slowness - USUAL) * slow_ms


class Capacities:
    """The estimates of the targets of a pool."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetCapacity] = {}

    def get(self, target: str) -> TargetCapacity:
        """Return the estimate of a target, which starts from the prior."""
        if target not in self._targets:
            self._targets[target] = TargetCapacity()
        return self._targets[target]

    def start_trial(self, target: str, ceiling: int) -> None:
        """Start anew from the prior, with few requests.

        Parameters
        ----------
        target : str
            Name of a target whose estimate is stale.
        ceiling : int
            Its slots.
        """
        self.remove(target)
        self.get(target).handled = max(ceiling * TRIAL_SHARE, 1)

    def remove(self, target: str) -> None:
        """Discard the estimate of a removed target."""
        self._targets.pop(target, None)
