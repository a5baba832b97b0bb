"""Limits how often agents send each other the stamps of all tickets."""

import dataclasses
from collections.abc import Container


@dataclasses.dataclass(frozen=True, slots=True)
class _Comparison:
    serials: tuple[int, int]
    until_ms: float


class ComparisonTable:
    """Records which pairs of ticket sets were compared recently.

    Without it, two agents whose tickets differ would send each other a ticket
    summary on every tick.

    Parameters
    ----------
    interval_ms : float
        Time after which the same two serials are compared again, in ms.
    """

    def __init__(self, interval_ms: float) -> None:
        self._interval_ms = interval_ms
        self._latest: dict[str, _Comparison] = {}

    def is_due(
        self,
        peer: str,
        serials: tuple[int, int],
        now_ms: float,
    ) -> bool:
        """Tell whether to send a ticket summary to a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        serials : tuple of int
            Serials of the own tickets and of the peer's; a serial is a hash
            over the stamps of all tickets.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        bool
            False if the same serials were compared within the interval.
        """
        latest = self._latest.get(peer)
        if latest is None or now_ms >= latest.until_ms:
            return True
        return latest.serials != serials

    def record(
        self,
        peer: str,
        serials: tuple[int, int],
        now_ms: float,
    ) -> None:
        """Record that a ticket summary was sent to a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        serials : tuple of int
            Serials of the own tickets and of the peer's; a serial is a hash
            over the stamps of all tickets.
        now_ms : float
            The current time, in ms.
        """
        until_ms = now_ms + self._interval_ms
        self._latest[peer] = _Comparison(serials, until_ms)

    def keep_only(self, peers: Container[str]) -> None:
        """Drop the records of peers that have left.

        Parameters
        ----------
        peers : container of str
            Names of the peers that are still known.
        """
        self._latest = {
            peer: latest
            for peer, latest in self._latest.items()
            if peer in peers
        }
