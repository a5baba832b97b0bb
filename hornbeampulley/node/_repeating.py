"""Periodic tasks that continue after a failure."""

import logging
from collections.abc import Callable

import trio

from hornbeampulley.clock import to_seconds

_log = logging.getLogger(__name__)


async def repeat(step: Callable[[], None], pause_ms: float) -> None:
    """Call a function periodically until cancelled.

    Parameters
    ----------
    step : callable
        Function to call; an exception is logged and does not end the loop.
    pause_ms : float
        Time between two calls, in ms.
    """
    while True:
        try:
            step()
        except Exception:
            _log.exception('a periodic step failed')
        await trio.sleep(to_seconds(pause_ms))
