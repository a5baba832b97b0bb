"""Schedules the calls to the configuration service."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Final

from hornbeampulley.membership._buckets import TokenBucket
from hornbeampulley.membership._freshness import Freshness

_BACKOFF_FACTOR: Final = 2
_BURST_CALLS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingSettings:
    """Limits and intervals of the calls to the configuration service.

    Attributes
    ----------
    calls_per_second : float
        Rate of calls for all agents together; half of it is reserved for the
        readers.
    watch_ms : float
        How long a reader's watch waits for a change.
    refresh_ms : float
        Age of a ticket after which an agent that is not a reader reads it
        itself; each agent adds a random part of up to the same length.
    answer_ms : float
        Time after which an unanswered call counts as failed.
    backoff_ms : float
        First delay after a call that neither confirmed nor changed a ticket.
    backoff_limit_ms : float
        Upper bound of the delay, which doubles with each such call.
    absent_limit_ms : float
        Upper bound for a scope of which no ticket is held.
    """

    calls_per_second: float = 1000
    watch_ms: float = 1500
    refresh_ms: float = 5000
    answer_ms: float = 2000
    backoff_ms: float = 1000
    backoff_limit_ms: float = 8000
    absent_limit_ms: float = 60_000


@dataclasses.dataclass(slots=True)
class _ScopeState:
    busy_until_ms: float = 0
    not_before_ms: float = 0
    backoff_ms: float = 0
    threshold_ms: float = 0


class ReadPlanner:
    """Selects the scopes to read now, within this agent's share of calls.

    Parameters
    ----------
    settings : ReadingSettings
        Limits and intervals.
    freshness : Freshness
        Provides the ages of the tickets in force.
    generator : random.Random
        Spreads the reads of many agents over time.
    now_ms : float
        The current time, in ms.
    """

    def __init__(
        self,
        settings: ReadingSettings,
        freshness: Freshness,
        generator: random.Random,
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._freshness = freshness
        self._generator = generator
        self._started_ms = now_ms
        self._scopes: dict[str, _ScopeState] = {}
        self._is_reader = True
        rate = settings.calls_per_second
        self._bucket = TokenBucket(rate, _BURST_CALLS, now_ms)

    @property
    def watch_ms(self) -> float:
        """How long calls wait for a change, in ms; 0 if this is no reader."""
        return self._settings.watch_ms if self._is_reader else 0

    def set_share(
        self,
        agents: int,
        readers: int,
        now_ms: float,
        *,
        is_reader: bool,
    ) -> None:
        """Set this agent's share of the calls.

        Parameters
        ----------
        agents, readers : int
            Number of all agents and of the readers among them.
        now_ms : float
            The current time, in ms.
        is_reader : bool
            Whether this agent is one of the readers.
        """
        self._is_reader = is_reader
        sharers = readers if is_reader else agents
        rate = self._settings.calls_per_second / 2 / max(sharers, 1)
        self._bucket.set_rate(rate, now_ms)

    def plan(self, scopes: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Select the scopes to read now and record the calls as pending.

        Parameters
        ----------
        scopes : iterable of str
            All scopes that may exist.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        tuple of str
            The scopes to read.
        """
        selected: list[str] = []
        for scope in scopes:
            state = self._get_scope_state(scope)
            if not self._is_due(scope, state, now_ms):
                continue
            if not self._bucket.take(now_ms):
                break
            wait_ms = self.watch_ms + self._settings.answer_ms
            state.busy_until_ms = now_ms + wait_ms
            selected.append(scope)
        return tuple(selected)

    def finish(self, scope: str, now_ms: float, *, is_useful: bool) -> None:
        """Record the end of a call.

        Parameters
        ----------
        scope : str
            The scope.
        now_ms : float
            The current time, in ms.
        is_useful : bool
            Whether it confirmed or changed the ticket in force; if not, the
            next call is delayed by the backoff.
        """
        state = self._get_scope_state(scope)
        state.busy_until_ms = 0
        state.threshold_ms = self._choose_threshold()
        state.backoff_ms = (
            0 if is_useful else self._increase_backoff(scope, state)
        )
        jitter = 1 - self._generator.random() / 2
        state.not_before_ms = now_ms + state.backoff_ms * jitter

    def _get_scope_state(self, scope: str) -> _ScopeState:
        if scope not in self._scopes:
            threshold_ms = self._choose_threshold()
            self._scopes[scope] = _ScopeState(threshold_ms=threshold_ms)
        return self._scopes[scope]

    def _is_due(self, scope: str, state: _ScopeState, now_ms: float) -> bool:
        if now_ms < max(state.busy_until_ms, state.not_before_ms):
            return False
        if self._is_reader:
            return True
        age_ms = min(
            self._freshness.get_age_ms(scope, now_ms),
            now_ms - self._started_ms,
        )
        return age_ms >= state.threshold_ms

    def _choose_threshold(self) -> float:
        return self._settings.refresh_ms * (1 + self._generator.random())

    def _increase_backoff(self, scope: str, state: _ScopeState) -> float:
        limit_ms = self._settings.backoff_limit_ms
        if not self._freshness.is_known(scope):
            limit_ms = self._settings.absent_limit_ms
        longer_ms = max(
            state.backoff_ms * _BACKOFF_FACTOR,
            self._settings.backoff_ms,
        )
        return min(longer_ms, limit_ms)
