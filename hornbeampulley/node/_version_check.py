"""Checks with the store which software versions the targets have and had."""

import logging
from collections.abc import Callable
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._unknown_streams import CHECK_LIMIT_MS
from hornbeampulley.node.stored import (
    Decoder,
    HistoryLostError,
    Revision,
    Store,
    StoredChanges,
    StoreUnavailableError,
)

SOURCE: Final = 'version_check'
# The store answers such a call at once.
NO_WAIT_MS: Final = 1
POLL_MS: Final = 20.0
_log = logging.getLogger(__name__)


class VersionCheck:
    """Reads the latest changes of the targets, or all changes if need be.

    Parameters
    ----------
    store : Store
        Client of the store.
    store_view : StoreView
        Receives the changes.
    decoder : Decoder
        Reads the content of the items.
    clock : Clock
        Monotonic clock.
    nursery : trio.Nursery
        Runs the calls.

    Attributes
    ----------
    on_checked : callable
        Called after an answer, with the time in ms when the call was sent.
    """

    def __init__(
        self,
        store: Store,
        store_view: StoreView,
        decoder: Decoder,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> None:
        self.on_checked: Callable[[float], None] = _ignore
        self._store = store
        self._store_view = store_view
        self._decoder = decoder
        self._clock = clock
        self._nursery = nursery
        self._is_running = False
        self._is_requested = False
        # Whether the store has forgotten its first changes.
        self._is_history_lost = False

    def request(self, window_ms: float) -> None:
        """Start a check, or another one after that in progress.

        Parameters
        ----------
        window_ms : float
            Time in ms for which the versions of targets have to be known.
        """
        self._is_requested = True
        if not self._is_running:
            self._is_running = True
            self._nursery.start_soon(self._run, window_ms)

    async def _run(self, window_ms: float) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                sent_ms = self._clock.now()
                if await self._check(window_ms):
                    self.on_checked(sent_ms)
        finally:
            self._is_running = False

    async def _check(self, window_ms: float) -> bool:
        """Read the changes; return whether the view is up to date."""
        with trio.move_on_after(to_seconds(CHECK_LIMIT_MS)):
            try:
                await self._read(window_ms)
            except (StoreUnavailableError, HistoryLostError) as error:
                log_event(_log, 'version_check_failed', error=error)
                return False
            except Exception:
                _log.exception('the check of software versions failed')
                return False
            return True
        log_event(_log, 'version_check_failed', error='no answer in time')
        return False

    async def _read(self, window_ms: float) -> None:
        epoch = await self._wait_for_epoch()
        known = self._store_view.position.targets
        history = self._store_view.software_history
        if not (self._is_history_lost or history.covers(window_ms)):
            whole = await self._read_all(epoch)
            if whole is not None:
                self._replay(whole)
                self._apply(whole, known)
                return
        self._apply(await self._watch(known), known)

    async def _wait_for_epoch(self) -> int:
        """Wait until this host knows which history of the store it reads."""
        epoch = self._store_view.epoch
        while epoch is None:
            await trio.sleep(to_seconds(POLL_MS))
            epoch = self._store_view.epoch
        return epoch

    async def _read_all(self, epoch: int) -> StoredChanges | None:
        """Read all changes that there ever were; None if some are forgotten."""
        try:
            return await self._watch(Revision(epoch))
        except HistoryLostError as error:
            self._is_history_lost = True
            log_event(_log, 'first_changes_forgotten', error=error)
            return None

    async def _watch(self, revision: Revision) -> StoredChanges:
        _, prefix = self._store_view.prefixes
        return await self._store.watch(prefix, revision, NO_WAIT_MS)

    def _replay(self, whole: StoredChanges) -> None:
        changes = (
            (
                self._decoder.read_target_name(item.key),
                None if item.is_deleted else self._decoder.read_target(item),
            )
            for item in whole.items
        )
        is_whole = self._store_view.software_history.replay(changes)
        log_event(
            _log, 'changes_replayed', count=len(whole.items), whole=is_whole
        )

    def _apply(self, changes: StoredChanges, known: Revision) -> None:
        newer = [item for item in changes.items if item.revision > known]
        self._store_view.apply_items(newer, SOURCE)


def _ignore(_sent_ms: float) -> None:
    """Default of `VersionCheck.on_checked`."""
