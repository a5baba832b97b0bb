"""HTTP client of the platform's metadata store."""

import base64
import json
import logging
from typing import Any, Final
from urllib.parse import urlencode

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import (
    ConnectionPool,
    ConnectionSettings,
    Request,
    ResponseHead,
    exchange,
)
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.node.stored import (
    HistoryLostError,
    StoredChanges,
    StoredItem,
    StoreUnavailableError,
)

RANGE_PATH: Final = '/-/kv-range'
WATCH_PATH: Final = '/-/kv-watch'
MAX_ANSWER_BYTES: Final = 16 << 20
CALL_TIMEOUT_MS: Final = 1500.0
# For the answer of a watch, beyond the time for which the store holds it.
WATCH_MARGIN_MS: Final = 1000.0
_OK: Final = 200
_GONE: Final = 410
_SERVER: Final = 'store'
_MALFORMED: Final = (ValueError, KeyError, TypeError, AttributeError)
_log = logging.getLogger(__name__)


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
        """
        items: list[StoredItem] = []
        revision: int | None = None
        query = {'prefix': prefix}
        while True:
            page = await self._call(RANGE_PATH, query, CALL_TIMEOUT_MS)
            changes, has_more = _read(_read_page, page)
            items.extend(changes.items)
            revision = changes.revision if revision is None else revision
            if not has_more or not changes.items:
                return StoredChanges(tuple(items), revision)
            query['after'] = items[-1].key

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int,
    ) -> StoredChanges:
        """Wait for changes after a revision.

        Parameters
        ----------
        prefix : str
            Key prefix.
        revision : int
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
            If the store no longer has the changes after the revision.
        StoreUnavailableError
            If the store does not answer, or answers with an error.
        """
        query = {'prefix': prefix, 'after': revision, 'wait_ms': wait_ms}
        answer = await self._call(WATCH_PATH, query, wait_ms + WATCH_MARGIN_MS)
        return _read(_read_events, answer)

    async def _call(
        self,
        path: str,
        query: dict[str, Any],
        timeout_ms: float,
    ) -> bytes:
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
        return body

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


def _read(reader: Any, body: bytes) -> Any:
    try:
        return reader(json.loads(body))
    except _MALFORMED as error:
        raise StoreUnavailableError(
            f'the store sent a malformed answer: {error!r}; check its version',
        ) from error


def _read_page(page: dict[str, Any]) -> tuple[StoredChanges, bool]:
    items = tuple(_read_item(item) for item in page['items'])
    return StoredChanges(items, page['store_revision']), page['has_more']


def _read_events(answer: dict[str, Any]) -> StoredChanges:
    items = tuple(_read_item(event) for event in answer['events'])
    return StoredChanges(items, answer['store_revision'])


def _read_item(item: dict[str, Any]) -> StoredItem:
    if item.get('deleted'):
        return StoredItem(item['key'], b'', item['revision'], is_deleted=True)
    content = base64.b64decode(item['value'], validate=True)
    return StoredItem(item['key'], content, item['revision'])
