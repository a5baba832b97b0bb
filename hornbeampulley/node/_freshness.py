"""How long ago a node's view is known to have been up to date."""

import math
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node.stored import StoredChanges

MAX_AGE_MS: Final = 3_600_000.0


class Freshness:
    """Latest moment at which the view of this node matched the store.

    An answer may lie unread while this process is paused, so it does not count
    from the moment at which it is read, but from that of its question.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms = -math.inf

    @property
    def age_ms(self) -> float:
        """Time since then, in ms; `MAX_AGE_MS` at most, also if unknown."""
        return min(self._clock.now() - self._confirmed_ms, MAX_AGE_MS)

    def confirm(self, moment_ms: float) -> None:
        """Record that the view was up to date.

        Parameters
        ----------
        moment_ms : float
            When it was; an earlier moment than one known is ignored.
        """
        self._confirmed_ms = max(self._confirmed_ms, moment_ms)


def bound_held_time(
    changes: StoredChanges, wait_ms: float, taken_ms: float
) -> float:
    """Return for how long the store has held a watch, at least.

    The store answers as soon as there is a change. So an answer with changes may
    have been given just after the question, and been unread since. One without
    changes is given once the wait is over, and tells that there was no change
    until then; if it is read sooner, the store has cut the wait short.

    Parameters
    ----------
    changes : StoredChanges
        Its answer.
    wait_ms : float
        Time in ms for which the store was allowed to hold the watch.
    taken_ms : float
        Time in ms from the question until the answer was read.

    Returns
    -------
    float
        Time in ms from the question until the answer was given.
    """
    is_whole_wait = taken_ms >= wait_ms and not changes.items
    return wait_ms if is_whole_wait else 0
