"""Tickets that were asked for and have not come yet."""

import dataclasses
from collections.abc import Iterable

from hornbeampulley.membership._store import Stamp


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    number: int
    until_ms: float


class PullTable:
    """Keeps a ticket from being asked of two peers at once.

    Parameters
    ----------
    timeout_ms : float
        Time after which another peer may be asked.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._pending: dict[str, _Pending] = {}

    def start(
        self,
        stamps: Iterable[Stamp],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Select what to ask for now.

        Parameters
        ----------
        stamps : iterable of Stamp
            Tickets that a peer has and this process lacks.
        now_ms : float
            The current time.

        Returns
        -------
        tuple of str
            Scopes that are to be pulled from that peer.
        """
        selected: list[str] = []
        for stamp in stamps:
            pending = self._pending.get(stamp.scope)
            if pending and now_ms < pending.until_ms:
                if pending.number >= stamp.number:
                    continue
            until_ms = now_ms + self._timeout_ms
            self._pending[stamp.scope] = _Pending(stamp.number, until_ms)
            selected.append(stamp.scope)
        return tuple(selected)

    def finish(self, scope: str, number: int) -> None:
        """Note that a ticket is in force or was refused.

        Parameters
        ----------
        scope : str
            The scope.
        number : int
            The ticket's number.
        """
        pending = self._pending.get(scope)
        if pending and pending.number <= number:
            self._pending.pop(scope)

    def is_waiting(self, now_ms: float) -> bool:
        """Tell whether a ticket is still expected.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if all have come or timed out.
        """
        return any(
            now_ms < pending.until_ms for pending in self._pending.values()
        )
