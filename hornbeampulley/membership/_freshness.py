"""How long ago the configuration service last confirmed each ticket."""

import math
from collections.abc import Iterable
from typing import Final

MAX_AGE_MS: Final = 3_600_000


class Freshness:
    """Remembers when each scope was last confirmed."""

    def __init__(self) -> None:
        self._confirmed_ms: dict[str, float] = {}

    def confirm(self, scope: str, moment_ms: float) -> None:
        """Note that the ticket in force was confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        moment_ms : float
            When; an earlier moment than the one known is ignored.
        """
        known_ms = self._confirmed_ms.get(scope, -math.inf)
        self._confirmed_ms[scope] = max(known_ms, moment_ms)

    def replace(self, scope: str, moment_ms: float) -> None:
        """Note when a new ticket of a scope was confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        moment_ms : float
            When the new ticket was confirmed.
        """
        self._confirmed_ms[scope] = moment_ms

    def get_age_ms(self, scope: str, now_ms: float) -> float:
        """Return the time since a scope was last confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        now_ms : float
            The current time.

        Returns
        -------
        float
            Infinite if it never was.
        """
        return now_ms - self._confirmed_ms.get(scope, -math.inf)

    def is_known(self, scope: str) -> bool:
        """Tell whether a scope was ever confirmed.

        Parameters
        ----------
        scope : str
            The scope.

        Returns
        -------
        bool
            False if no ticket of it is held.
        """
        return scope in self._confirmed_ms

    def list_ages_ms(
        self,
        scopes: Iterable[str],
        now_ms: float,
    ) -> tuple[int, ...]:
        """List the ages of some scopes as peers are told them.

        Parameters
        ----------
        scopes : iterable of str
            The scopes.
        now_ms : float
            The current time.

        Returns
        -------
        tuple of int
            Rounded up and at most ``MAX_AGE_MS``, in the order given.
        """
        return tuple(
            math.ceil(min(self.get_age_ms(scope, now_ms), MAX_AGE_MS))
            for scope in scopes
        )

    def renew(
        self,
        scopes: Iterable[str],
        ages_ms: Iterable[int],
        sent_ms: float,
    ) -> None:
        """Take over the ages that a peer knows for the same tickets.

        Parameters
        ----------
        scopes : iterable of str
            The scopes.
        ages_ms : iterable of int
            The peer's ages in the same order.
        sent_ms : float
            The earliest moment at which the peer can have sent them.
        """
        for scope, age_ms in zip(scopes, ages_ms, strict=False):
            self.confirm(scope, sent_ms - age_ms)
