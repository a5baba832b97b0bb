"""Pools that a node schedules, and its part of the bounds on their starts."""

import logging
from collections.abc import Callable
from typing import Final

from hornbeampulley import decisions
from hornbeampulley.configuration import Configuration
from hornbeampulley.logs import log_event

TAKEOVER_MS: Final = 300.0
# Others may take over from an owner that they have not heard for this time.
TAKEN_OVER_MS: Final = 500.0
_SEED: Final = 1
_log = logging.getLogger(__name__)


class ScheduledPool:
    """Decision core of one pool, with its times of opening and last use.

    Parameters
    ----------
    name : str
        Name of the pool.
    now_ms : float
        The current time.

    Attributes
    ----------
    opened_ms, used_ms : float
        Times in ms when it was opened, and of the last event of a home.
    share : float or None
        Part of the bounds on starts that the core may grant; None if it has
        not been told.
    is_resumed : bool
        Whether another node may have owned the pool meanwhile, which the core
        has to be told.
    """

    def __init__(self, name: str, now_ms: float) -> None:
        self.name = name
        self.core = decisions.Core(name, seed=_SEED, is_takeover=True)
        self.opened_ms = now_ms
        self.used_ms = now_ms
        self._is_takeover_ended = False
        self.share: float | None = None
        self.is_resumed = False
        self._ticked_ms = now_ms

    def end_takeover(self, now_ms: float) -> bool:
        """Tell once that homes had time to announce what runs.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        bool
            Whether the core has to be told now.
        """
        is_due = now_ms - self.opened_ms >= TAKEOVER_MS
        if self._is_takeover_ended or not is_due:
            return False
        self._is_takeover_ended = True
        return True

    def record_tick(self, now_ms: float) -> None:
        """Notice that this process was paused since the last tick.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        self.is_resumed |= now_ms - self._ticked_ms >= TAKEN_OVER_MS
        self._ticked_ms = now_ms

    def record_use(self, now_ms: float) -> None:
        """Record an event of a home.

        Parameters
        ----------
        now_ms : float
            The current time.
        """
        self.is_resumed |= now_ms - self.used_ms >= TAKEN_OVER_MS
        self.used_ms = now_ms


class StartShares:
    """Finds the part of the bounds on starts that this node may grant.

    Attributes
    ----------
    find_share : callable
        Returns the part of a common limit that this node may grant.
    phase : float
        Number from 0 to 1 that differs between nodes.
    """

    def __init__(self) -> None:
        self.find_share: Callable[[str], float] = _take_whole
        self.phase = 0.0
        self._limited_pools: set[str] = set()

    def configure(self, configuration: Configuration) -> None:
        """Find the pools whose targets have a bound.

        Parameters
        ----------
        configuration : Configuration
            Configuration of the scheduler.
        """
        targets = configuration.targets.values()
        self._limited_pools = {one.pool for one in targets if one.starts}

    def find_news(
        self, pool: ScheduledPool, *, has_new_targets: bool
    ) -> decisions.StartShare | None:
        """Return what the core of a pool has to be told.

        Parameters
        ----------
        pool : ScheduledPool
            The pool.
        has_new_targets : bool
            Whether the core may have targets without a share yet.

        Returns
        -------
        StartShare or None
            None if nothing has changed, or its targets have no bound.
        """
        if pool.name not in self._limited_pools:
            return None
        share = self.find_share(f'pool/{pool.name}')
        has_news = has_new_targets or pool.is_resumed
        if share == pool.share and not has_news:
            return None
        if share != pool.share:
            log_event(
                _log,
                'start_share_changed',
                pool=pool.name,
                share=round(share, 3),
            )
        is_takeover, pool.is_resumed = pool.is_resumed, False
        pool.share = share
        return decisions.StartShare(share, self.phase, is_takeover)


def _take_whole(_key: str) -> float:
    """Return the default of `StartShares.find_share`."""
    return 1
