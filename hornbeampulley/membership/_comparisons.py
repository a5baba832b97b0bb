"""Which peers' holdings were compared with the own ones lately."""

import dataclasses
from collections.abc import Container


@dataclasses.dataclass(frozen=True, slots=True)
class _Comparison:
    serials: tuple[int, int]
    until_ms: float


class ComparisonTable:
    """Keeps two agents whose tickets differ from comparing them each tick.

    Parameters
    ----------
    interval_ms : float
        Time after which the same two serials are compared again.
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
        """Tell whether a summary is to be sent.

        Parameters
        ----------
        peer : str
            Name of the peer.
        serials : tuple of int
            The own serial and the peer's.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if these serials were compared within the interval.
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
        """Note that a summary was sent.

        Parameters
        ----------
        peer : str
            Name of the peer.
        serials : tuple of int
            The own serial and the peer's.
        now_ms : float
            The current time.
        """
        until_ms = now_ms + self._interval_ms
        self._latest[peer] = _Comparison(serials, until_ms)

    def keep_only(self, peers: Container[str]) -> None:
        """Forget the peers that are gone.

        Parameters
        ----------
        peers : container of str
            Names of those that are known still.
        """
        self._latest = {
            peer: latest
            for peer, latest in self._latest.items()
            if peer in peers
        }
