"""HTTP client of the platform's metadata store."""

import base64
import dataclasses
import json
import logging
from collections.abc import Callable
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import (
    ConnectionPool,
    ConnectionSettings,
    Request,
    ResponseHead,
    exchange,
    find_header,
)
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.logs import log_event
from hornbeampulley.node.stored import (
    HistoryLostError,
    Revision,
    StoredChanges,
    StoredItem,
    StoreUnavailableError,
)
from hornbeampulley.platform._documents import EVACUATIONS_PREFIX
from hornbeampulley.platform._fields import (
    MALFORMED,
    expect_count,
    expect_text,
)

RANGE_PATH: Final = '/-/kv-range'
WATCH_PATH: Final = '/-/kv-watch'
MAX_ANSWER_BYTES: Final = 16 << 20
CALL_TIMEOUT_MS: Final = 1500.0
# For the answer of a watch, beyond the time for which the store holds it.
WATCH_MARGIN_MS: Final = 1000.0
# Number of the store's history; rises when it has come back from a copy.
ERA: Final = b'store-era'
_OK: Final = 200
_GONE: Final = 410
_SERVER: Final = 'store'
MAX_REVISION: Final = 1 << 62
MAX_EPOCH_DIGITS: Final = 18
# Characters of an item that can't be read.
MAX_LOGGED: Final = 80
_Content = TypeVar('_Content')
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Body of an answer, and the history that it was given from."""

    epoch: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """Items of one answer; the key to go on after is empty at the end."""

    changes: StoredChanges
    last_key: str


class StoreClient:
    """Lists and watches items of the store; each call has a time limit.

    Parameters
    ----------
    endpoint : Endpoint
        Address and port of the store.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, endpoint: Endpoint, clock: Clock) -> None:
        self._endpoint = endpoint
        self._pool = ConnectionPool(clock, ConnectionSettings(idle_ms=2000))

    async def list_items(self, prefix: str) -> StoredChanges:
        """List all items whose keys start with a prefix.

        The pages are not a consistent snapshot, so changes have to be watched
        from the revision of the first page.

        Parameters
        ----------
        prefix : str
            Key prefix.

        Returns
        -------
        StoredChanges
            All items, and the revision of the first page.

        Raises
        ------
        StoreUnavailableError
            If a page can't be read.
        HistoryLostError
            If the store has come back from a copy between two pages.
        """
        items: list[StoredItem] = []
        revision: Revision | None = None
        query = {'prefix': prefix}
        while True:
            answer = await self._call(RANGE_PATH, query, CALL_TIMEOUT_MS)
            page = _read(_read_page, answer)
            items.extend(page.changes.items)
            revision = page.changes.revision if revision is None else revision
            _check_epoch(page.changes.revision, revision)
            if not page.last_key:
                return StoredChanges(tuple(items), revision)
            query['after'] = page.last_key

    async def watch(
        self,
        prefix: str,
        revision: Revision,
        wait_ms: int,
    ) -> StoredChanges:
        """Wait for changes after a revision.

        Parameters
        ----------
        prefix : str
            Key prefix.
        revision : Revision
            Latest known revision.
        wait_ms : int
            Longest time in ms for which the store waits for a change.

        Returns
        -------
        StoredChanges
            Changes; empty if there were none within the time.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes after the revision, or has
            come back from a copy since.
        StoreUnavailableError
            If the store does not answer, or answers with an error.
        """
        query = {
            'prefix': prefix,
            'after': revision.number,
            'wait_ms': wait_ms,
        }
        answer = await self._call(WATCH_PATH, query, wait_ms + WATCH_MARGIN_MS)
        changes = _read(_read_events, answer)
        _check_epoch(changes.revision, revision)
        return changes

    async def _call(
        self,
        path: str,
        query: dict[str, Any],
        timeout_ms: float,
    ) -> _Answer:
        target = f'{path}?{urlencode(query)}'
        host = (b'host', str(self._endpoint).encode())
        request = Request(b'GET', target.encode(), (host,))
        try:
            head, body = await self._exchange(request, timeout_ms)
        except (NotConnectedError, ResponseBrokenError) as error:
            raise StoreUnavailableError(
                f'no answer from the store for {path}: {error}',
            ) from error
        _check_status(head, path)
        return _Answer(_read_epoch(head), body)

    async def _exchange(
        self,
        request: Request,
        timeout_ms: float,
    ) -> tuple[ResponseHead, bytes]:
        connection = await self._pool.acquire(_SERVER, self._endpoint)
        is_complete = False
        try:
            head, body = await exchange(
                connection,
                request,
                MAX_ANSWER_BYTES,
                timeout_ms,
            )
            is_complete = True
        finally:
            if not is_complete:
                connection.close()
        self._pool.release(_SERVER, connection, None)
        return head, body


def _check_status(head: ResponseHead, path: str) -> None:
    if head.status == _GONE:
        raise HistoryLostError(
            f'the store has no history for {path}; list all items again',
        )
    if head.status != _OK:
        raise StoreUnavailableError(
            f'the store answered {path} with {head.status}; try again later',
        )


def _read_epoch(head: ResponseHead) -> int:
    text = find_header(head.headers, ERA)
    if text is None:
        return 0
    if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        raise StoreUnavailableError(
            'the store sent a malformed number of its history; check its '
            'version',
        )
    return int(text)


def _check_epoch(answered: Revision, asked: Revision) -> None:
    if answered.epoch != asked.epoch:
        raise HistoryLostError(
            f'the store has gone from history {asked.epoch} to '
            f'{answered.epoch}; list all items again',
        )


def _read(
    reader: Callable[[dict[str, Any], int], _Content], answer: _Answer
) -> _Content:
    try:
        return reader(json.loads(answer.body), answer.epoch)
    except MALFORMED as error:
        raise StoreUnavailableError(
            f'the store sent a malformed answer: {error!r}; check its version',
        ) from error


def _read_page(page: dict[str, Any], epoch: int) -> _Page:
    items = page['items']
    changes = _read_changes(items, page, epoch)
    last_key = items[-1]['key'] if items and page['has_more'] else ''
    return _Page(changes, last_key)


def _read_events(answer: dict[str, Any], epoch: int) -> StoredChanges:
    return _read_changes(answer['events'], answer, epoch)


def _read_changes(
    items: list[dict[str, Any]], answer: dict[str, Any], epoch: int
) -> StoredChanges:
    number = expect_count(answer, 'store_revision', 0, MAX_REVISION)
    return StoredChanges(_read_items(items, epoch), Revision(epoch, number))


def _read_items(
    items: list[dict[str, Any]], epoch: int
) -> tuple[StoredItem, ...]:
    """Read items; one that can't be read must not hold up the others."""
    readable: list[StoredItem] = []
    for item in items:
        try:
            readable.append(_read_item(item, epoch))
        except MALFORMED as error:
            log_event(
                _log,
                'item_refused',
                severity=logging.WARNING,
                key=str(item)[:MAX_LOGGED],
                error=repr(error),
            )
    return tuple(readable)


def _read_item(item: dict[str, Any], epoch: int) -> StoredItem:
    key = expect_text(item, 'key')
    number = expect_count(item, 'revision', 0, MAX_REVISION)
    revision = Revision(epoch, number)
    if item.get('deleted'):
        return StoredItem(key, b'', revision, is_deleted=True)
    return StoredItem(key, _read_value(item, key), revision)


def _read_value(item: dict[str, Any], key: str) -> bytes:
    try:
        return base64.b64decode(item['value'], validate=True)
    except MALFORMED:
        # The key of an evacuation is sufficient; the decoder logs the fault.
        if key.startswith(EVACUATIONS_PREFIX):
            return b''
        raise
