"""Tickets that were asked for and have not come yet."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable

from hornbeampulley.membership._outcomes import Stamp


@dataclasses.dataclass(slots=True)
class _Pending:
    number: int
    until_ms: float
    holder: str


class PullTable:
    """Keeps a ticket from being asked of two peers at once.

    Parameters
    ----------
    timeout_ms : float
        Time after which the peer that named the ticket last is asked.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._pending: dict[str, _Pending] = {}

    def start(
        self,
        peer: str,
        stamps: Iterable[Stamp],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Select what to ask for now.

        Parameters
        ----------
        peer : str
            Name of the peer that has the tickets.
        stamps : iterable of Stamp
            Tickets that it has and this process lacks.
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
            if pending and pending.number >= stamp.number:
                if pending.number == stamp.number:
                    pending.holder = peer
                continue
            until_ms = now_ms + self._timeout_ms
            pending = _Pending(stamp.number, until_ms, peer)
            self._pending[stamp.scope] = pending
            selected.append(stamp.scope)
        return tuple(selected)

    def retry(self, now_ms: float) -> dict[str, tuple[str, ...]]:
        """Select what to ask for once more.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        dict
            Maps peers to the scopes that are to be pulled from them.
        """
        selected: dict[str, tuple[str, ...]] = defaultdict(tuple)
        for scope, pending in self._pending.items():
            if now_ms >= pending.until_ms:
                pending.until_ms = now_ms + self._timeout_ms
                selected[pending.holder] += (scope,)
        return selected

    def finish(self, scope: str) -> None:
        """Note that a ticket has come; a newer one is named again.

        Parameters
        ----------
        scope : str
            The scope.
        """
        self._pending.pop(scope, None)

    def keep_only(self, peers: Iterable[str]) -> None:
        """Forget what only peers that are gone have named.

        Parameters
        ----------
        peers : iterable of str
            Names of those that are known still.
        """
        known = frozenset(peers)
        self._pending = {
            scope: pending
            for scope, pending in self._pending.items()
            if pending.holder in known
        }

    @property
    def is_waiting(self) -> bool:
        """Whether a ticket is still expected."""
        return bool(self._pending)
