"""Periodic work that goes on after a failure."""

import logging
from collections.abc import Callable

import trio

from hornbeampulley.clock import to_seconds

_log = logging.getLogger(__name__)


async def repeat(step: Callable[[], None], pause_ms: float) -> None:
    """Take a step again and again until cancelled.

    Parameters
    ----------
    step : callable
        One that fails is logged, and the next one is taken all the same.
    pause_ms : float
        Time between two steps.
    """
    while True:
        try:
            step()
        except Exception:
            _log.exception('a periodic step failed')
        await trio.sleep(to_seconds(pause_ms))
