"""Health of a target: outlier ejection, probes and recovery."""

import enum
from typing import Final

from hornbeampulley.decisions._cost import smooth

RECENT_WEIGHT: Final = 0.3
LONG_TERM_WEIGHT: Final = 0.02
MIN_SAMPLES: Final = 5
SLOWER_THAN_LONG_TERM: Final = 3.0
SLOWER_THAN_POOL: Final = 2.0
RESTORE_THRESHOLD: Final = 1.5
PROBE_PAUSE_MS: Final = 3000.0
DOWN_MS: Final = 1000.0
MAX_DOWN_MS: Final = 30000.0
# Pause between probes while no target of the pool is healthy: there is none that
# could serve instead.
LAST_RESORT_PAUSE_MS: Final = 300.0
PROBES_TO_RESTORE: Final = 2


class Condition(enum.Enum):
    """Health state of a target.

    A target that is not healthy gets only probes: single requests that show
    whether it has recovered.
    """

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    DOWN = 'down'


class Health:
    """Tracks how fast a target completes work and whether it is up.

    Attributes
    ----------
    condition : Condition
        Current health state.
    recent_ratio : float
        Moving average of request durations relative to their prices.
    """

    def __init__(self) -> None:
        self.condition = Condition.HEALTHY
        self.recent_ratio = 0.0
        self._long_term_ratio = 0.0
        self._samples = 0
        self._next_probe_ms = 0.0
        # Since when it waits for the next probe.
        self._pause_began_ms = 0.0
        self._down_ms = DOWN_MS
        self._down_since_ms = 0.0
        self._good_probes = 0

    @property
    def is_healthy(self) -> bool:
        """Tell whether the target may get leases without restriction."""
        return self.condition is Condition.HEALTHY

    def is_probe_due(self, now_ms: float) -> bool:
        """Tell whether a request may be sent to probe the target."""
        return now_ms >= self._next_probe_ms

    def is_last_resort_due(self, now_ms: float) -> bool:
        """Tell the same for a target of a pool without any healthy one."""
        next_ms = self._pause_began_ms + LAST_RESORT_PAUSE_MS
        return now_ms >= min(self._next_probe_ms, next_ms)

    def start_probe(self, now_ms: float) -> None:
        """Schedule the next probe, as one has been sent."""
        self._pause_began_ms = now_ms
        self._next_probe_ms = now_ms + PROBE_PAUSE_MS

    def observe(self, ratio: float, pool_ratio: float, now_ms: float) -> None:
        """Update the condition from the duration of a request.

        Parameters
        ----------
        ratio : float
            Duration of the request relative to its price.
        pool_ratio : float
            Mean of the recent ratios of the other targets.
        now_ms : float
            The current time.
        """
        self._samples += 1
        if self.condition is Condition.EJECTED:
            self._evaluate_probe(ratio, pool_ratio)
            return
        self.record_response()
        self._update_means(ratio)
        if self._is_slow(pool_ratio):
            self.condition = Condition.EJECTED
            self._pause_began_ms = now_ms
            self._next_probe_ms = now_ms + PROBE_PAUSE_MS

    def cancel_ejection(self) -> None:
        """Cancel an ejection, as too few healthy targets would be left."""
        self.condition = Condition.HEALTHY

    def record_response(self) -> None:
        """Record a response, which shows that the target is not down."""
        if self.condition is Condition.DOWN:
            self.condition = Condition.HEALTHY
        self._down_ms = DOWN_MS

    def mark_down(self, now_ms: float) -> None:
        """Mark the target as down; probes follow with exponential backoff."""
        self._pause_began_ms = now_ms
        if self.condition is Condition.DOWN and now_ms < self._next_probe_ms:
            return
        self.condition = Condition.DOWN
        self._down_since_ms = now_ms
        self._next_probe_ms = now_ms + self._down_ms
        self._down_ms = min(self._down_ms * 2, MAX_DOWN_MS)

    def allow_early_probe(self, reported_ms: float) -> None:
        """Allow a probe at once if a report is newer than the failure.

        A report shows that a target is up, and not how fast it is, so that it
        counts for nothing after an ejection.

        Parameters
        ----------
        reported_ms : float
            When the target reported its load.
        """
        is_down = self.condition is Condition.DOWN
        if is_down and reported_ms > self._down_since_ms:
            self._next_probe_ms = min(self._next_probe_ms, reported_ms)

    def _update_means(self, ratio: float) -> None:
        if not self.recent_ratio:
            self.recent_ratio = ratio
            self._long_term_ratio = ratio
        self.recent_ratio = smooth(self.recent_ratio, ratio, RECENT_WEIGHT)
        if self.recent_ratio < SLOWER_THAN_POOL * self._long_term_ratio:
            self._long_term_ratio = smooth(
                self._long_term_ratio, ratio, LONG_TERM_WEIGHT
            )

    def _is_slow(self, pool_ratio: float) -> bool:
        if self._samples < MIN_SAMPLES:
            return False
        if self.recent_ratio < SLOWER_THAN_LONG_TERM * self._long_term_ratio:
            return False
        return self.recent_ratio >= SLOWER_THAN_POOL * pool_ratio

    def _evaluate_probe(self, ratio: float, pool_ratio: float) -> None:
        if ratio > RESTORE_THRESHOLD * max(self._long_term_ratio, pool_ratio):
            self._good_probes = 0
            return
        self._good_probes += 1
        if self._good_probes >= PROBES_TO_RESTORE:
            self._good_probes = 0
            self.recent_ratio = self._long_term_ratio
            self.condition = Condition.HEALTHY
