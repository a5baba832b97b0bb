"""Reports of the load of targets to the owner of their pool.

Each answer of a target may tell how busy and how slow it is. One message for
each answer would cost as much as the leases, so that a home sends only changes.
"""

import dataclasses
import math
from typing import Final

from hornbeampulley import decisions
from hornbeampulley.clock import Clock
from hornbeampulley.node.dialect import ResponseMetadata
from hornbeampulley.wire.generated.peer import ttypes

# Least time between two reports of one home on one target.
MIN_PAUSE_MS: Final = 250.0
# Smaller changes of slowness are within the scatter of what targets report.
CHANGE_FACTOR: Final = 1.2
# Beyond this many targets, what was reported first is forgotten.
MAX_TARGETS: Final = 20_000
# Largest number that a field of 32 bits holds.
_MAX_COUNT: Final = (1 << 31) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """The last report on a target."""

    sent_ms: float
    slots: int | None
    has_queue: bool


class LoadNews:
    """Tells which reported loads the owner of the pool does not know.

    Each lease tells which slowness the owner knows, so that of many homes only
    those report a change whose requests were leased before it was known. What
    the owner knows decays, so that a target that stays slow is reported again.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent: dict[str, _Sent] = {}

    def is_news(
        self, target: str, load: ResponseMetadata, known_slowness: float
    ) -> bool:
        """Tell whether a load must be reported, and count it as reported.

        Parameters
        ----------
        target : str
            Name of the target.
        load : ResponseMetadata
            Data from an answer of the target.
        known_slowness : float
            Slowness that the owner knew when it leased the target.

        Returns
        -------
        bool
            Always False for a target that does not report its slowness.
        """
        if load.slowness is None:
            return False
        now_ms = self._clock.now()
        sent = self._sent.get(target)
        is_other = _is_other(load.slowness, known_slowness)
        if not (is_other or self._is_change(load, sent)):
            return False
        if sent is not None and now_ms - sent.sent_ms < MIN_PAUSE_MS:
            return False
        self._sent.pop(target, None)
        self._sent[target] = _Sent(now_ms, load.slots, bool(load.queued))
        if len(self._sent) > MAX_TARGETS:
            self._sent.pop(next(iter(self._sent)))
        return True

    def _is_change(self, load: ResponseMetadata, sent: _Sent | None) -> bool:
        if load.is_rejection:
            return True
        if sent is None:
            return bool(load.queued)
        return sent.slots != load.slots or sent.has_queue != bool(load.queued)


def write_load_report(
    target: str, load: ResponseMetadata | None, *, is_down: bool
) -> ttypes.TargetReport:
    """Make the message on the load or failure of a target.

    Parameters
    ----------
    target : str
        Name of the target.
    load : ResponseMetadata or None
        What the target has just reported; None if it has reported nothing.
    is_down : bool
        Whether the target can't be connected to.

    Returns
    -------
    ttypes.TargetReport
        Message to the owner of its pool. The new fields are set only for a
        target that reports its slowness.
    """
    if load is None:
        return ttypes.TargetReport(target, 0, 0, is_down)
    message = ttypes.TargetReport(
        target, _bound(load.running), _bound(load.queued), is_down
    )
    if load.slowness is not None:
        message.slots = _bound(load.slots)
        message.slowness = load.slowness
    return message


def read_load_report(message: ttypes.TargetReport) -> decisions.Event:
    """Read the message on the load or failure of a target.

    Parameters
    ----------
    message : ttypes.TargetReport
        Message of this host or of a peer.

    Returns
    -------
    LoadReport or TargetDown
        Event for the scheduler of its pool.
    """
    if message.is_down:
        return decisions.TargetDown(message.target)
    slowness = message.slowness
    return decisions.LoadReport(
        message.target,
        message.running,
        message.queued,
        max(message.age_ms or 0, 0),
        message.slots,
        # A factor of a faulty peer must not reach the estimates.
        slowness if slowness and 0 < slowness < math.inf else None,
    )


def _bound(count: int | None) -> int:
    return min(count or 0, _MAX_COUNT)


def _is_other(slowness: float, known: float) -> bool:
    low, high = sorted((slowness, known))
    return high > CHANGE_FACTOR * low
