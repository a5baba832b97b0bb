"""Log output that is limited in rate and never blocks."""

import logging
import os
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND, Clock

LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 2000.0
_WRITE_FAILED: Final = (BlockingIOError, BrokenPipeError)


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines beyond the rate limit, and lines that can't be written at once, are
    dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor open for writing; it is made non-blocking.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    lost : int
        Number of lines dropped since the last call of `reset_lost`.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        super().__init__()
        self.lost = 0
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_ms = clock.now()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it."""
        if not self._take_token():
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

    def _take_token(self) -> bool:
        now_ms = self._clock.now()
        gained = (now_ms - self._refilled_ms) / MS_PER_SECOND * LINES_PER_SECOND
        self._refilled_ms = now_ms
        self._tokens = min(self._tokens + gained, BURST_LINES)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


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
