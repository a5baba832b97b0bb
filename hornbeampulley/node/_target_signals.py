"""What targets have said of themselves in their answers.

The host that gets such an answer keeps to it at once; it tells the owner of the
pool, which tells the other hosts, and all of them tell the next owner. What a
target has said ends with its run.
"""

import dataclasses
import logging
from collections.abc import Iterator, Mapping
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import TargetSignals
from hornbeampulley.logs import log_event
from hornbeampulley.node.dialect import ResponseMetadata
from hornbeampulley.routing import TargetRecord

# Beyond this many targets, what was learned first is dropped.
MAX_TARGETS: Final = 20_000
# A message between hosts holds no longer one.
MAX_BACK_OFF_MS: Final = 86_400_000.0
# Difference between the ends of one back-off as told by several hosts.
SAME_END_MS: Final = 100.0
OWN: Final = 'own'
LEAVING: Final = 'leaving'
BACKING_OFF: Final = 'backing off'
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    """Signals of one run of a target, with times of this node's clock."""

    born_ms: int
    is_leaving: bool = False
    back_off_until_ms: float = 0
    rate_limit: float | None = None
    # When it named this limit, or named none any more; None if never.
    limited_ms: float | None = None


class SignalStore:
    """Keeps the latest signals of each target.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[str, _Kept] = {}

    def learn(
        self,
        record: TargetRecord,
        metadata: ResponseMetadata,
        sent_ms: float,
    ) -> TargetSignals | None:
        """Learn from an answer of a target.

        A limit ends with an answer that names none, but only if its request was
        sent after the limit was known here: answers come out of order.

        Parameters
        ----------
        record : TargetRecord
            Run of the target that has answered.
        metadata : ResponseMetadata
            Data from the headers of the answer.
        sent_ms : float
            When its request was sent, in ms.

        Returns
        -------
        TargetSignals or None
            What other hosts have to be told; None if it is known already.
        """
        has_word = self._has_word_on_limit(record, metadata, sent_ms)
        if not (metadata.is_leaving or metadata.back_off_ms or has_word):
            return None
        signals = TargetSignals(
            record.name,
            record.born_ms,
            is_leaving=metadata.is_leaving,
            back_off_ms=metadata.back_off_ms,
            rate_limit=metadata.rate_limit,
            limit_age_ms=0 if has_word else None,
        )
        return self.keep(signals, OWN)

    def keep(self, signals: TargetSignals, source: str) -> TargetSignals | None:
        """Add signals, unless they are of an older run or known already.

        Parameters
        ----------
        signals : TargetSignals
            Signals of a target.
        source : str
            Who told them, for the log.

        Returns
        -------
        TargetSignals or None
            All that holds of the target now; None if nothing is new.
        """
        nothing = _Kept(signals.born_ms)
        known = self._kept.get(signals.target, nothing)
        if signals.born_ms < known.born_ms:
            return None
        before = known if signals.born_ms == known.born_ms else nothing
        merged = self._merge(signals, before)
        self._put(signals.target, merged)
        # That a limit still holds is no news.
        if dataclasses.replace(merged, limited_ms=known.limited_ms) == known:
            return None
        log_event(
            _log,
            'target_signalled',
            target=signals.target,
            leaving=merged.is_leaving,
            back_off_ms=round(signals.back_off_ms) or None,
            rate_limit=merged.rate_limit,
            source=source,
        )
        return self._make_signals(signals.target)

    def find_reason_to_avoid(self, record: TargetRecord) -> str:
        """Tell why a target must not get a request now.

        Parameters
        ----------
        record : TargetRecord
            Run of the target.

        Returns
        -------
        str
            Reason for the log; empty if there is none.
        """
        known = self._kept.get(record.name)
        if known is None or known.born_ms != record.born_ms:
            return ''
        if known.is_leaving:
            return LEAVING
        is_backing_off = self._clock.now() < known.back_off_until_ms
        return BACKING_OFF if is_backing_off else ''

    def list_leaving(self) -> frozenset[str]:
        """List the targets that have said that they leave.

        Returns
        -------
        frozenset of str
            Their names.
        """
        return frozenset(
            name for name, known in self._kept.items() if known.is_leaving
        )

    def list_all(self) -> Iterator[TargetSignals]:
        """List all signals, for a host that may not know them.

        Yields
        ------
        TargetSignals
            What holds now of each target.
        """
        for name in self._kept:
            yield self._make_signals(name)

    def drop_old_runs(self, records: Mapping[str, TargetRecord]) -> None:
        """Forget what earlier runs of the targets have said.

        Parameters
        ----------
        records : mapping of str to TargetRecord
            Registered targets.
        """
        for name, known in tuple(self._kept.items()):
            record = records.get(name)
            if record is not None and record.born_ms > known.born_ms:
                self._put(name, _Kept(record.born_ms))

    def _merge(self, signals: TargetSignals, known: _Kept) -> _Kept:
        back_off_ms = min(signals.back_off_ms, MAX_BACK_OFF_MS)
        until_ms = known.back_off_until_ms
        told_until_ms = self._clock.now() + back_off_ms
        if back_off_ms > 0 and told_until_ms > until_ms + SAME_END_MS:
            until_ms = told_until_ms
        rate_limit, limited_ms = self._choose_limit(signals, known)
        return _Kept(
            known.born_ms,
            known.is_leaving or signals.is_leaving,
            until_ms,
            rate_limit,
            limited_ms,
        )

    def _choose_limit(
        self, signals: TargetSignals, known: _Kept
    ) -> tuple[float | None, float | None]:
        """Return the limit that was named last, and when."""
        if signals.limit_age_ms is None:
            return known.rate_limit, known.limited_ms
        named_ms = self._clock.now() - signals.limit_age_ms
        if known.limited_ms is not None and named_ms < known.limited_ms:
            return known.rate_limit, known.limited_ms
        return signals.rate_limit, named_ms

    def _has_word_on_limit(
        self,
        record: TargetRecord,
        metadata: ResponseMetadata,
        sent_ms: float,
    ) -> bool:
        """Tell whether an answer names a limit, or the end of one."""
        if metadata.rate_limit is not None:
            return True
        if metadata.is_limit_unreadable:
            return False
        known = self._kept.get(record.name)
        if known is None or known.rate_limit is None:
            return False
        return known.born_ms == record.born_ms and sent_ms > known.limited_ms

    def _make_signals(self, name: str) -> TargetSignals:
        known = self._kept[name]
        now_ms = self._clock.now()
        back_off_ms = max(known.back_off_until_ms - now_ms, 0)
        age_ms = None
        if known.limited_ms is not None:
            age_ms = now_ms - known.limited_ms
        return TargetSignals(
            name,
            known.born_ms,
            known.is_leaving,
            back_off_ms,
            known.rate_limit,
            age_ms,
        )

    def _put(self, name: str, kept: _Kept) -> None:
        self._kept[name] = kept
        if len(self._kept) > MAX_TARGETS:
            self._kept.pop(next(iter(self._kept)))
