"""Tickets that were pulled from peers and have not arrived yet."""

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
    """Tracks pending pulls, so that no ticket is pulled from two peers at once.

    Parameters
    ----------
    timeout_ms : float
        Time after which a pull is repeated, in ms. It then goes to the peer
        that reported the ticket last.
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
        """Select the tickets to pull now and record them as pending.

        Parameters
        ----------
        peer : str
            Name of the peer that holds the tickets.
        stamps : iterable of Stamp
            Stamps of tickets that the peer holds and this process lacks.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        tuple of str
            Scopes to pull from the peer.
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
        """Select the pulls to repeat because they have timed out.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        dict
            Maps peers to the scopes to pull from them.
        """
        selected: dict[str, tuple[str, ...]] = defaultdict(tuple)
        for scope, pending in self._pending.items():
            if now_ms >= pending.until_ms:
                pending.until_ms = now_ms + self._timeout_ms
                selected[pending.holder] += (scope,)
        return selected

    def finish(self, scope: str) -> None:
        """Record that a ticket has arrived.

        A newer ticket of the scope will be reported by peers again.

        Parameters
        ----------
        scope : str
            The scope.
        """
        self._pending.pop(scope, None)

    def keep_only(self, peers: Iterable[str]) -> None:
        """Drop the pending pulls from peers that have left.

        Parameters
        ----------
        peers : iterable of str
            Names of the peers that are still known.
        """
        known = frozenset(peers)
        self._pending = {
            scope: pending
            for scope, pending in self._pending.items()
            if pending.holder in known
        }

    @property
    def is_waiting(self) -> bool:
        """Whether a pulled ticket has not arrived yet."""
        return bool(self._pending)
