"""Which software versions the targets of a pool have had lately."""

import math
from collections.abc import Iterable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.routing import TargetRecord

# Ends of versions are remembered for this long.
KEEP_MS: Final = 120_000.0

PoolVersion = tuple[str, str]
"""Name of a pool and version of the software of a target of it."""


class SoftwareHistory:
    """Follows the targets of all pools change by change.

    What a list of the targets does not show may have left just before it. So a
    version is known to be the only one only for a time that was followed without
    a gap, or if all changes that the store has ever had were read.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_ms: float | None = None
        self._current: dict[str, PoolVersion] = {}
        self._ended_ms: dict[PoolVersion, float] = {}
        self._unknown_end_ms = -math.inf

    def begin(self) -> None:
        """Record that all targets are known from now on, if not begun yet."""
        if self._since_ms is None:
            self.restart()

    def restart(self) -> None:
        """Record that changes may have been missed before now."""
        self._since_ms = self._clock.now()

    def record(self, record: TargetRecord) -> None:
        """Record that a target is registered.

        Parameters
        ----------
        record : TargetRecord
            Its latest record.
        """
        version = (record.pool, record.software)
        known = self._current.get(record.name)
        if known is not None and known != version:
            self._end(known)
        self._current[record.name] = version

    def record_removal(self, name: str) -> None:
        """Record that a target is not registered any more.

        Parameters
        ----------
        name : str
            Name of the target.
        """
        known = self._current.pop(name, None)
        if known is not None:
            self._end(known)

    def record_unknown_removal(self) -> None:
        """Record the removal of a target that was never known here."""
        self._unknown_end_ms = self._clock.now()

    def replay(
        self, changes: Iterable[tuple[str, TargetRecord | None]]
    ) -> bool:
        """Learn all changes that the store has ever had.

        When they were made is not known, so that a version that has ended counts
        as ended now.

        Parameters
        ----------
        changes : iterable of (str, TargetRecord or None)
            Names of targets with their records, None if removed, oldest first.

        Returns
        -------
        bool
            False if registered targets are not among them, so that the changes
            are not all.
        """
        replayed = SoftwareHistory(self._clock)
        for name, record in changes:
            if record is None:
                replayed.record_removal(name)
            else:
                replayed.record(record)
        if not self._current.keys() <= replayed.get_names():
            return False
        self._ended_ms.update(replayed.get_ended())
        self._unknown_end_ms = -math.inf
        self._since_ms = -math.inf
        return True

    def get_names(self) -> set[str]:
        """Return the names of the registered targets."""
        return set(self._current)

    def get_ended(self) -> dict[PoolVersion, float]:
        """Return when targets of a version ended last, in ms."""
        return dict(self._ended_ms)

    def covers(self, window_ms: float) -> bool:
        """Tell whether the time up to the last change was followed whole.

        Parameters
        ----------
        window_ms : float
            Length in ms of the time in question, which ends now.

        Returns
        -------
        bool
            Whether no change within it can have been missed.
        """
        limit_ms = self._clock.now() - window_ms
        return (
            self._since_ms is not None
            and self._since_ms <= limit_ms
            and self._unknown_end_ms < limit_ms
        )

    def list_versions(self, pool: str, window_ms: float) -> set[str]:
        """List the versions that targets of a pool are known to have had.

        Parameters
        ----------
        pool : str
            Name of the pool.
        window_ms : float
            Length in ms of the time in question, which ends now.

        Returns
        -------
        set of str
            Known versions; there may be others unless the time is covered.
        """
        limit_ms = self._clock.now() - window_ms
        ended = [
            version
            for version, ended_ms in self._ended_ms.items()
            if ended_ms >= limit_ms
        ]
        versions = (*self._current.values(), *ended)
        return {software for name, software in versions if name == pool}

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
        versions = self.list_versions(pool, window_ms)
        if len(versions) != 1 or not self.covers(window_ms):
            return None
        return versions.pop()

    def _end(self, version: PoolVersion) -> None:
        """Record that a target of a version has ended."""
        now_ms = self._clock.now()
        self._ended_ms[version] = now_ms
        oldest_ms = now_ms - KEEP_MS
        self._ended_ms = {
            known: ended_ms
            for known, ended_ms in self._ended_ms.items()
            if ended_ms > oldest_ms
        }
