"""Times at which the configuration service last confirmed each ticket."""

import math
from collections.abc import Iterable
from typing import Final

MAX_AGE_MS: Final = 3_600_000


class Freshness:
    """Records when the ticket of each scope was last confirmed.

    A ticket is confirmed when the configuration service is known to have held
    it as its newest.
    """

    def __init__(self) -> None:
        self._confirmed_ms: dict[str, float] = {}

    def confirm(self, scope: str, moment_ms: float) -> None:
        """Record that the ticket in force was confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        moment_ms : float
            Time of the confirmation, in ms; ignored if it is earlier than the
            one recorded.
        """
        known_ms = self._confirmed_ms.get(scope, -math.inf)
        self._confirmed_ms[scope] = max(known_ms, moment_ms)

    def replace(self, scope: str, moment_ms: float) -> None:
        """Record when a new ticket of a scope was confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        moment_ms : float
            Time of the confirmation, in ms, even if it is earlier than that of
            the ticket replaced.
        """
        self._confirmed_ms[scope] = moment_ms

    def get_age_ms(self, scope: str, now_ms: float) -> float:
        """Return the time since a scope was last confirmed.

        Parameters
        ----------
        scope : str
            The scope.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        float
            In ms; infinite if it never was.
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
        """List the ages of some scopes in the form sent to peers.

        Parameters
        ----------
        scopes : iterable of str
            The scopes.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        tuple of int
            In ms, rounded up and at most `MAX_AGE_MS`, in the order of the
            scopes.
        """
        return tuple(
            math.ceil(min(self.get_age_ms(scope, now_ms), MAX_AGE_MS))
            for scope in scopes
        )

    def adopt_ages(
        self,
        scopes: Iterable[str],
        ages_ms: Iterable[int],
        sent_ms: float,
    ) -> None:
        """Adopt the ages that a peer reports for the same tickets.

        Parameters
        ----------
        scopes : iterable of str
            The scopes.
        ages_ms : iterable of int
            The peer's ages in the same order, in ms.
        sent_ms : float
            Earliest time at which the peer can have sent them, in ms.
        """
        for scope, age_ms in zip(scopes, ages_ms, strict=False):
            self.confirm(scope, sent_ms - age_ms)
