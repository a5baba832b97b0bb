"""Which software versions the targets of a pool have had lately."""

from collections.abc import Iterable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.routing import TargetRecord

# The wall clocks of targets and hosts differ by less.
CLOCK_SLACK_MS: Final = 5000.0
# Ends of versions are remembered for this long.
KEEP_MS: Final = 120_000.0


class SoftwareHistory:
    """Tells whether all targets of a pool have had one version for some time.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    wall : Clock
        Wall time, for comparison with the starts of targets.
    """

    def __init__(self, clock: Clock, wall: Clock) -> None:
        self._clock = clock
        self._wall = wall
        self._since_ms: float | None = None
        self._records: tuple[TargetRecord, ...] = ()
        self._ended_ms: dict[tuple[str, str], float] = {}

    def update(self, records: Iterable[TargetRecord]) -> None:
        """Take over the targets that are registered now.

        Parameters
        ----------
        records : iterable of TargetRecord
            All registered targets.
        """
        now_ms = self._clock.now()
        if self._since_ms is None:
            self._since_ms = now_ms
        before = {(one.pool, one.software) for one in self._records}
        self._records = tuple(records)
        now = {(one.pool, one.software) for one in self._records}
        ended = dict.fromkeys(before - now, now_ms)
        oldest_ms = now_ms - KEEP_MS
        self._ended_ms = {
            version: ended_ms
            for version, ended_ms in {**self._ended_ms, **ended}.items()
            if version not in now and ended_ms > oldest_ms
        }

    def find_only(self, pool: str, window_ms: float) -> str | None:
        """Return the only version that targets of a pool have had lately.

        Parameters
        ----------
        pool : str
            Name of the pool.
        window_ms : float
            Length in ms of the time in question, which ends now.

        Returns
        -------
        str or None
            None if there were several, or if that is not known.
        """
        records = [one for one in self._records if one.pool == pool]
        versions = {one.software for one in records}
        if len(versions) != 1:
            return None
        limit_ms = self._clock.now() - window_ms
        for (name, _software), ended_ms in self._ended_ms.items():
            if name == pool and ended_ms >= limit_ms:
                return None
        has_watched = self._since_ms is not None and self._since_ms <= limit_ms
        if has_watched or self._are_old(records, window_ms):
            return versions.pop()
        return None

    def _are_old(self, records: list[TargetRecord], window_ms: float) -> bool:
        """Tell whether no target has started since: then none was replaced."""
        limit_ms = self._wall.now() - window_ms - CLOCK_SLACK_MS
        return all(one.born_ms < limit_ms for one in records)
