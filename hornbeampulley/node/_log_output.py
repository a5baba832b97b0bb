"""Log lines on standard output: bounded in number, and never waited for."""

import logging
import os
from typing import Final

from hornbeampulley.clock import MS_PER_SECOND, Clock

LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 2000.0
_WRITE_FAILED: Final = (BlockingIOError, BrokenPipeError)


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; drops those that are too many.

    Parameters
    ----------
    descriptor : int
        Open for writing; it becomes non-blocking.
    clock : Clock
        Time.

    Attributes
    ----------
    lost : int
        Lines dropped since the last call of `reset_lost`.
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
        """Return how many lines were dropped, and count anew.

        Returns
        -------
        int
            Number of lines.
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
    """Send all logs of the process to a handler.

    Records name no source line, thread or task, which no line shows.

    Parameters
    ----------
    handler : BoundedHandler
        Where they go.
    formatter : logging.Formatter
        Forms the lines.
    level : int
        Least level that is logged.
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    # The documented way to keep records from looking for their caller.
    logging._srcfile = None  # noqa: SLF001
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
