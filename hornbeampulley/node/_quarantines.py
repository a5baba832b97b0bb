"""Quarantined contents and parts of prompts that a node knows of.

Each node keeps what the owner of a pool has decided, and tells the next owner,
so that a decision outlives the owner that made it.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import PartQuarantine
from hornbeampulley.logs import log_event

# Beyond this many the oldest is dropped.
MAX_QUARANTINES: Final = 256
# Difference between the times of one decision as told by several nodes.
REPEAT_MS: Final = 1000.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolQuarantine:
    """A quarantined part of the prompts for one pool.

    Attributes
    ----------
    pool : str
        Name of the pool.
    decision : PartQuarantine
        The decision; its time left counts from when it was made or received.
    """

    pool: str
    decision: PartQuarantine


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    """A decision, when it was heard, and when at the latest it was made."""

    decision: PartQuarantine
    kept_ms: float
    decided_ms: float


class QuarantineStore:
    """Keeps the latest decisions, and tells of new ones.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    on_change : callable
        Called with each `PoolQuarantine` that this node's scheduler decides.
    on_content : callable
        Called with the fingerprint of each content that it quarantines.
    """

    def __init__(self, clock: Clock) -> None:
        self.on_change: Callable[[PoolQuarantine], None] = _do_nothing
        self.on_content: Callable[[int], None] = _ignore_content
        self._clock = clock
        self._contents: dict[int, None] = {}
        self._kept: dict[tuple[str, int], _Kept] = {}

    @property
    def contents(self) -> tuple[int, ...]:
        """Fingerprints of the quarantined contents, oldest first."""
        return tuple(self._contents)

    def decide_content(self, fingerprint: int) -> None:
        """Keep a content that this node's scheduler has quarantined.

        Parameters
        ----------
        fingerprint : int
            Hash of the content.
        """
        self.keep_content(fingerprint)
        self.on_content(fingerprint)

    def keep_content(self, fingerprint: int) -> None:
        """Keep a content that a scheduler has quarantined.

        Parameters
        ----------
        fingerprint : int
            Hash of the content.
        """
        self._contents.pop(fingerprint, None)
        self._contents[fingerprint] = None
        if len(self._contents) > MAX_QUARANTINES:
            self._contents.pop(next(iter(self._contents)))

    def decide(self, quarantine: PoolQuarantine) -> None:
        """Keep a decision of this node's scheduler and tell the homes.

        Parameters
        ----------
        quarantine : PoolQuarantine
            The decision.
        """
        self._put(quarantine, self._clock.now(), 'own')
        self.on_change(quarantine)

    def keep(self, quarantine: PoolQuarantine, source: str) -> bool:
        """Keep a decision in place of an earlier one on the same part.

        Parameters
        ----------
        quarantine : PoolQuarantine
            The decision.
        source : str
            Incarnation of the node that told it, for the log.

        Returns
        -------
        bool
            False if what is known already is as new.
        """
        decision = quarantine.decision
        elapsed_ms = max(decision.period_ms - decision.left_ms, 0)
        decided_ms = self._clock.now() - elapsed_ms
        known = self._kept.get((quarantine.pool, decision.part))
        if known is not None and not _is_newer(decision, decided_ms, known):
            return False
        self._put(quarantine, decided_ms, source)
        return True

    def list_all(self, pool: str = '') -> Iterator[PoolQuarantine]:
        """List the decisions with the time that is left now.

        Parameters
        ----------
        pool : str
            Name of a pool; empty for all pools.

        Yields
        ------
        PoolQuarantine
            Decisions in force, oldest first.
        """
        now_ms = self._clock.now()
        for (name, _), kept in self._kept.items():
            if kept.decision.period_ms and pool in {'', name}:
                left_ms = kept.decision.left_ms - (now_ms - kept.kept_ms)
                yield PoolQuarantine(
                    name,
                    dataclasses.replace(kept.decision, left_ms=max(left_ms, 0)),
                )

    def _put(
        self, quarantine: PoolQuarantine, decided_ms: float, source: str
    ) -> None:
        decision = quarantine.decision
        key = (quarantine.pool, decision.part)
        self._kept.pop(key, None)
        self._kept[key] = _Kept(decision, self._clock.now(), decided_ms)
        if len(self._kept) > MAX_QUARANTINES:
            self._kept.pop(next(iter(self._kept)))
        log_event(
            _log,
            'part_quarantined' if decision.period_ms else 'part_released',
            severity=logging.WARNING,
            pool=quarantine.pool,
            part=f'{decision.part:x}',
            left_ms=round(decision.left_ms) or None,
            source=source,
        )


def _is_newer(
    decision: PartQuarantine, decided_ms: float, known: _Kept
) -> bool:
    if not decision.period_ms:
        return known.decision.period_ms > 0
    # When a decision was made that has run out is not known.
    return decision.left_ms > 0 and decided_ms > known.decided_ms + REPEAT_MS


def _do_nothing(_: PoolQuarantine) -> None:
    """Default of `QuarantineStore.on_change`."""


def _ignore_content(_: int) -> None:
    """Default of `QuarantineStore.on_content`."""
