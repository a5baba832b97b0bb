"""Reads the store: lists once, then watches, and lists again after a gap."""

import logging
import random
from collections.abc import Callable
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._freshness import bound_held_time
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import (
    HistoryLostError,
    Revision,
    Store,
    StoredChanges,
    StoreUnavailableError,
)

# Longest time for which the store may hold a call. A lost answer is noticed only
# after it, so that this bounds how long a host hears nothing.
WAIT_MS: Final = 2500
# Shorter where few hosts read, since the others rely on these being up to date.
CHOSEN_READER_WAIT_MS: Final = 1500
# The store answers such a call at once.
CHECK_WAIT_MS: Final = 1
# Shortest wait, as a share: hosts that were woken by the same change do not all
# ask again at the same moments.
MIN_WAIT_SHARE: Final = 0.8
PAUSE_MS: Final = 150.0
MAX_PAUSE_MS: Final = 1000.0
# After one failed call only its connection may have been lost.
OUTAGE_FAILURES: Final = 2
SOURCE: Final = 'store'
_log = logging.getLogger(__name__)


class PrefixReader:
    """Keeps the items under one key prefix up to date.

    Parameters
    ----------
    store : Store
        Client of the store.
    store_view : StoreView
        Receives the items.
    prefix : str
        Key prefix.
    is_targets : bool
        Whether the items are targets, all of which a list replaces.
    generator : random.Random
        Jitter for waits and pauses, which spreads the calls of the hosts.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    is_reached : bool
        Whether the last call succeeded.
    confirmed_ms : float
        Latest moment in ms at which the items are known to have been up to date.
    on_answer : callable
        Called after each answer of the store.
    wait_ms : int
        Longest time in ms for which the store may hold a call without changes.
    """

    def __init__(
        self,
        store: Store,
        store_view: StoreView,
        prefix: str,
        *,
        is_targets: bool,
        generator: random.Random,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self.is_reached = False
        self.confirmed_ms = 0.0
        self.on_answer: Callable[[], None] = _do_nothing
        self.wait_ms = WAIT_MS
        self._store = store
        self._store_view = store_view
        self._prefix = prefix
        self._is_targets = is_targets
        self._generator = generator
        self._wait_share = generator.uniform(MIN_WAIT_SHARE, 1)
        self._revision: Revision | None = None
        self._failures = 0
        # When the last call that failed was sent.
        self._failed_call_ms = 0.0
        self._call_scope = trio.CancelScope()
        self._is_active = True
        self._activated = trio.Event()

    def set_active(self, *, is_active: bool) -> None:
        """Start or stop to read.

        Parameters
        ----------
        is_active : bool
            Whether to read. A reader that starts goes on from what peers have
            told meanwhile.
        """
        if is_active == self._is_active:
            return
        self._is_active = is_active
        log_event(
            _log, 'reading_changed', prefix=self._prefix, active=is_active
        )
        if is_active:
            self._resume_position()
            self._activated.set()
            return
        self._activated = trio.Event()
        self.is_reached = False
        self._failures = 0
        self.retry_now()

    def retry_now(self) -> None:
        """Cancel the call in progress and read again at once."""
        self._call_scope.cancel()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._is_active:
                await self._activated.wait()
            with trio.CancelScope() as scope:
                self._call_scope = scope
                await self._read_or_pause()

    async def _read_or_pause(self) -> None:
        call_ms = self._clock.now()
        try:
            self.confirmed_ms = await self._read_once()
        except HistoryLostError as error:
            log_event(
                _log,
                'history_lost',
                prefix=self._prefix,
                revision=self._revision,
                error=error,
            )
            self._revision = None
            await trio.sleep(to_seconds(PAUSE_MS))
        except StoreUnavailableError as error:
            await self._handle_failure(error, call_ms)
        except Exception as error:
            # The node goes on with what it knows, and tries again.
            _log.exception('reading %s failed', self._prefix)
            await self._handle_failure(error, call_ms)
        else:
            self._record_success()

    async def _read_once(self) -> float:
        """Make one call; return when its answer was given, at the earliest."""
        asked_ms = self._clock.now()
        if self._revision is None:
            await self._list()
            return asked_ms
        wait_ms = self._choose_wait()
        changes = await self._store.watch(
            self._prefix,
            self._revision,
            wait_ms,
        )
        taken_ms = self._clock.now() - asked_ms
        self._check_epoch(changes)
        self._store_view.apply_items(changes.items, SOURCE)
        self._revision = max(self._revision, changes.revision)
        held_ms = bound_held_time(changes, wait_ms, taken_ms)
        return asked_ms + held_ms

    def _choose_wait(self) -> int:
        """Choose for how long the store may hold the next call, in ms.

        After a failure the store may have come back from a copy, which only
        its answer tells. After changes the wait is shorter by the age of the
        view, which their answer leaves at the time since its question.
        """
        if self._failures:
            return CHECK_WAIT_MS
        age_ms = self._clock.now() - self.confirmed_ms
        left_ms = self.wait_ms * self._wait_share - age_ms
        return max(round(left_ms), CHECK_WAIT_MS)

    async def _list(self) -> None:
        changes = await self._store.list_items(self._prefix)
        self._check_epoch(changes)
        if self._is_targets:
            self._store_view.replace_targets(
                changes.items,
                changes.revision,
                SOURCE,
            )
        else:
            self._store_view.replace_operators_items(
                changes.items,
                changes.revision,
                SOURCE,
            )
        self._revision = changes.revision

    def _check_epoch(self, changes: StoredChanges) -> None:
        """Refuse an answer given before the store came back from a copy."""
        known = self._store_view.epoch
        if known is not None and changes.revision.epoch < known:
            raise StoreUnavailableError(
                f'the store answered from history {changes.revision.epoch}, '
                f'but peers know history {known}; look at the store',
            )

    def _resume_position(self) -> None:
        position = self._store_view.position
        known = position.targets if self._is_targets else position.routing
        if known.number:
            self._revision = max(known, self._revision or known)

    def _record_success(self) -> None:
        if not self.is_reached:
            log_event(
                _log,
                'store_reached',
                prefix=self._prefix,
                revision=self._revision,
                failures=self._failures,
            )
            self._record_outage()
        self.is_reached = True
        self._failures = 0
        self.on_answer()

    async def _handle_failure(self, error: Exception, call_ms: float) -> None:
        self._failures += 1
        self._failed_call_ms = call_ms
        if self.is_reached or self._failures == 1:
            log_event(
                _log,
                'store_lost',
                severity=logging.WARNING,
                prefix=self._prefix,
                revision=self._revision,
                error=error,
            )
        self.is_reached = False
        self._record_outage()
        pause_ms = min(PAUSE_MS * self._failures, MAX_PAUSE_MS)
        await trio.sleep(
            to_seconds(pause_ms * self._generator.uniform(0.5, 1)),
        )

    def _record_outage(self) -> None:
        """Let removals be held back if the store has been away."""
        if self._failures >= OUTAGE_FAILURES:
            self._store_view.record_outage(self._failed_call_ms)


def make_readers(
    store: Store,
    store_view: StoreView,
    prefixes: tuple[str, str],
    generator: random.Random,
    clock: Clock,
) -> tuple[PrefixReader, PrefixReader]:
    """Make the readers of the operators' items and the targets.

    Parameters
    ----------
    store : Store
        Client of the store.
    store_view : StoreView
        Receives the items.
    prefixes : tuple of (str, str)
        Key prefixes of the operators' items and of the targets.
    generator : random.Random
        Jitter for the pauses.
    clock : Clock
        Monotonic clock.

    Returns
    -------
    tuple of PrefixReader
        One reader for each prefix.
    """
    routing, targets = prefixes
    return (
        PrefixReader(
            store,
            store_view,
            routing,
            is_targets=False,
            generator=generator,
            clock=clock,
        ),
        PrefixReader(
            store,
            store_view,
            targets,
            is_targets=True,
            generator=generator,
            clock=clock,
        ),
    )


def _do_nothing() -> None:
    """Default of `PrefixReader.on_answer`."""
