"""Log output that is limited in rate and never blocks."""

import logging
import os
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND, Clock
from hornbeampulley.logs import get_event

LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 2000.0
# So many seconds' worth of the lines of one warning may come at once.
WARNING_BURST_S: Final = 10
_WRITE_FAILED: Final = (BlockingIOError, BrokenPipeError)


class LineRate:
    """Lines that may still be written, a number of them each second.

    Parameters
    ----------
    per_second, burst : float
        Lines a second, and at once.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, per_second: float, burst: float, clock: Clock) -> None:
        self._per_second = per_second
        self._burst = burst
        self._clock = clock
        self._left = burst
        self._refilled_ms = clock.now()

    def take(self) -> bool:
        """Take a line; return whether there is one left."""
        now_ms = self._clock.now()
        passed_s = (now_ms - self._refilled_ms) / MS_PER_SECOND
        self._refilled_ms = now_ms
        gained = passed_s * self._per_second
        self._left = min(self._left + gained, self._burst)
        if self._left < 1:
            return False
        self._left -= 1
        return True


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines beyond the rate limit, and lines that can't be written at once, are
    dropped and counted. Each kind of warning has a lower limit of its own, so
    that those about clients leave room for the lines of requests.

    Parameters
    ----------
    descriptor : int
        File descriptor open for writing; it is made non-blocking.
    clock : Clock
        Monotonic clock.
    warnings_per_s : float
        Lines a second of each kind of warning.

    Attributes
    ----------
    lost : int
        Number of lines dropped since the last call of `reset_lost`.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock,
        warnings_per_s: float = LINES_PER_SECOND,
    ) -> None:
        super().__init__()
        self.lost = 0
        self._descriptor = descriptor
        self._clock = clock
        self._warnings_per_s = warnings_per_s
        self._rate = LineRate(LINES_PER_SECOND, BURST_LINES, clock)
        self._warning_rates: dict[str, LineRate] = {}
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it."""
        if not self._may_write(record):
            self.lost += 1
            return
        line = f'{self.format(record)}\n'.encode()
        try:
            written = os.write(self._descriptor, line)
        except _WRITE_FAILED:
            self.lost += 1
            return
        if written < len(line):
            self.lost += 1

    def reset_lost(self) -> int:
        """Return the number of dropped lines and reset it to 0.

        Returns
        -------
        int
            Number of lines dropped since the last call.
        """
        lost, self.lost = self.lost, 0
        return lost

    def _may_write(self, record: logging.LogRecord) -> bool:
        if record.levelno != logging.WARNING:
            return self._rate.take()
        return self._get_warning_rate(record).take() and self._rate.take()

    def _get_warning_rate(self, record: logging.LogRecord) -> LineRate:
        event = get_event(record)
        rate = self._warning_rates.get(event)
        if rate is None:
            per_second = self._warnings_per_s
            burst = per_second * WARNING_BURST_S
            rate = LineRate(per_second, burst, self._clock)
            self._warning_rates[event] = rate
        return rate


def install_handler(
    handler: BoundedHandler,
    formatter: logging.Formatter,
    level: int,
) -> None:
    """Install the only log handler of the process.

    Recording of source line, thread and process is switched off, as the log
    format does not contain them.

    Parameters
    ----------
    handler : BoundedHandler
        Handler to install.
    formatter : logging.Formatter
        Formatter of the lines.
    level : int
        Lowest level that is logged.
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    # The documented way to switch off the look-up of the calling source line.
    logging._srcfile = None  # noqa: SLF001
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
