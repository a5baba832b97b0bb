"""A bounded history of the decisions about requests."""

import collections
import dataclasses
from typing import Final

MAX_RECORDS: Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    request_id: str
    moment_ms: float
    decision: str
    detail: str


class History:
    """Keeps the latest decisions in a ring buffer."""

    def __init__(self) -> None:
        self._records: collections.deque[_Record] = collections.deque(
            maxlen=MAX_RECORDS,
        )

    def add(
        self,
        request_id: str,
        moment_ms: float,
        decision: str,
        detail: str = '',
    ) -> None:
        """Record a decision."""
        self._records.append(_Record(request_id, moment_ms, decision, detail))

    def list_lines(self, request_id: str) -> tuple[str, ...]:
        """List the decisions about a request, oldest first."""
        return tuple(
            f'{record.moment_ms:.0f} ms: {record.decision} {record.detail}'
            for record in self._records
            if record.request_id == request_id
        )
