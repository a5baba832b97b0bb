"""What targets have said of themselves in their answers.

The host that gets such an answer keeps to it at once; it tells the owner of the
pool, which tells the other hosts, and all of them tell the next owner. What a
target has said ends with its run.
"""

import logging
from collections.abc import Iterator, Mapping
from typing import Final

from hornbeampulley.decisions import TargetSignals
from hornbeampulley.logs import log_event
from hornbeampulley.node.dialect import ResponseMetadata
from hornbeampulley.routing import TargetRecord

# Beyond this many targets, what was learned first is dropped.
MAX_TARGETS: Final = 20_000
OWN: Final = 'own'
LEAVING: Final = 'leaving'
_log = logging.getLogger(__name__)


class SignalStore:
    """Keeps the latest signals of each target."""

    def __init__(self) -> None:
        self._kept: dict[str, TargetSignals] = {}

    def learn(
        self, record: TargetRecord, metadata: ResponseMetadata
    ) -> TargetSignals | None:
        """Learn from an answer of a target.

        Parameters
        ----------
        record : TargetRecord
            Run of the target that has answered.
        metadata : ResponseMetadata
            Data from the headers of the answer.

        Returns
        -------
        TargetSignals or None
            What other hosts have to be told; None if it is known already.
        """
        if not metadata.is_leaving:
            return None
        signals = TargetSignals(record.name, record.born_ms, is_leaving=True)
        return signals if self.keep(signals, OWN) else None

    def keep(self, signals: TargetSignals, source: str) -> bool:
        """Keep signals, unless they are of an older run or known already.

        Parameters
        ----------
        signals : TargetSignals
            Signals of a target.
        source : str
            Who told them, for the log.

        Returns
        -------
        bool
            Whether they are new.
        """
        known = self._kept.get(signals.target)
        if known is not None and not _is_news(signals, known):
            return False
        self._put(signals)
        log_event(
            _log,
            'target_signalled',
            target=signals.target,
            leaving=signals.is_leaving,
            source=source,
        )
        return True

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
        return LEAVING if known.is_leaving else ''

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
            The latest signals of each target.
        """
        yield from self._kept.values()

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
                self._put(TargetSignals(name, record.born_ms))

    def _put(self, signals: TargetSignals) -> None:
        self._kept[signals.target] = signals
        if len(self._kept) > MAX_TARGETS:
            self._kept.pop(next(iter(self._kept)))


def _is_news(signals: TargetSignals, known: TargetSignals) -> bool:
    if signals.born_ms != known.born_ms:
        return signals.born_ms > known.born_ms
    return signals.is_leaving and not known.is_leaving
