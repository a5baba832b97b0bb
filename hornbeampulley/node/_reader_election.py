"""Chooses the hosts that read the store; the others learn from them."""

import random
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node._freshness import Freshness
from hornbeampulley.node._membership import Membership

# Up to this many hosts all read the store.
ALL_READ_HOSTS: Final = 16
READERS: Final = 4
# Times after the start for which a host waits to hear of the others, and then
# of what the readers among them have read.
JOIN_MS: Final = 600.0
FIRST_NEWS_MS: Final = 900.0
# A host reads the store itself if it may have been behind for this long.
STALE_MS: Final = 5000.0
MAX_JITTER_MS: Final = 1000.0
# Afterwards it reads for at least this long, so that it need not list again.
KEEP_READING_MS: Final = 5000.0


class ReaderElection:
    """Decides whether this host reads the store.

    Parameters
    ----------
    membership : Membership
        Live nodes.
    freshness : Freshness
        Tells how fresh the view of the store is.
    clock : Clock
        Monotonic clock.
    generator : random.Random
        Spreads the moments at which hosts begin to read.
    """

    def __init__(
        self,
        membership: Membership,
        freshness: Freshness,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._membership = membership
        self._freshness = freshness
        self._clock = clock
        self._started_ms = clock.now()
        self._stale_ms = STALE_MS + generator.uniform(0, MAX_JITTER_MS)
        self._reads_until_ms = 0.0

    @property
    def reads_everywhere(self) -> bool:
        """Whether there are so few hosts that all of them read."""
        return len(self._membership.live) <= ALL_READ_HOSTS

    def is_reader(self) -> bool:
        """Tell whether this host has to read the store now.

        Returns
        -------
        bool
            True for a chosen reader, and for a host that may have been behind
            for too long.
        """
        now_ms = self._clock.now()
        if now_ms < self._started_ms + JOIN_MS:
            return False
        if self.reads_everywhere or self._has_to_help_itself(now_ms):
            return True
        return self._membership.is_reader(READERS)

    def _has_to_help_itself(self, now_ms: float) -> bool:
        """Tell whether to read although others are chosen for it."""
        has_waited = now_ms >= self._started_ms + JOIN_MS + FIRST_NEWS_MS
        if has_waited and self._freshness.age_ms > self._stale_ms:
            self._reads_until_ms = now_ms + KEEP_READING_MS
        return now_ms < self._reads_until_ms
