"""Log lines on limits that acted, one a second for each at most."""

import dataclasses
import logging
from collections.abc import Callable, Iterable

from hornbeampulley.logs import log_event

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitCount:
    """How often a limit has acted.

    Attributes
    ----------
    event : str
        Name of the log event.
    read : callable
        Returns how often it has acted since the start.
    """

    event: str
    read: Callable[[], int]


class LimitReports:
    """Logs how often limits have acted since the last report.

    Parameters
    ----------
    counts : iterable of LimitCount
        The limits.
    """

    def __init__(self, counts: Iterable[LimitCount]) -> None:
        self._reported = dict.fromkeys(counts, 0)

    def write(self) -> None:
        """Log a line for each limit that has acted."""
        for limit, reported in self._reported.items():
            count = limit.read()
            if count > reported:
                self._reported[limit] = count
                log_event(
                    _log,
                    limit.event,
                    severity=logging.WARNING,
                    count=count - reported,
                )
