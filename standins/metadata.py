"""Stand-in for the users' metadata store with revisions and watches."""

import base64
import json
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

import trio

from hornbeampulley.http1 import (
    Header,
    Reply,
    Request,
    ServerOptions,
    serve_http,
)

KEY_OF_CONFIG: Final = 'op/config'
_JSON: Final = ((b'content-type', b'application/json'),)


class MetadataStore:
    """Key-value store with a history of changes.

    Attributes
    ----------
    revision : int
        Revision of the store, incremented with each change.
    is_down : bool
        Whether all requests are answered with status 503.
    forgotten : int
        Compacted revision: watches that start below it get status 410.
    era : int
        Number of the store's history, sent in all answers.
    calls : int
        Number of requests received.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.is_down = False
        self.forgotten = 0
        self.era = 1
        self.calls = 0
        self._events: list[dict[str, Any]] = []
        self._items: dict[str, dict[str, Any]] = {}
        self._changed = trio.Event()

    def put(self, key: str, document: Any) -> None:
        """Write an item; bytes are stored as is, all else as JSON."""
        self.revision += 1
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._publish_event(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._publish_event(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def restore(self, revision: int) -> None:
        """Come back from a copy of the time of a revision.

        What was written since is lost; its revisions are given out again.
        """
        self.era += 1
        self.revision = revision
        self._events = [
            event for event in self._events if event['revision'] <= revision
        ]
        self._items = {event['key']: event for event in self._events}
        for event in self._events:
            if event.get('deleted'):
                self._items.pop(event['key'], None)
        self._wake()

    async def serve(self, address: str, port: int) -> None:
        """Answer requests until cancelled."""
        await serve_http(address, port, ServerOptions(self.answer))

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        self.calls += 1
        if self.is_down:
            await self._refuse(reply, 503)
            return
        url = urlsplit(request.target.decode())
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        if url.path == '/-/kv-range':
            await self._send(reply, self._list(query))
        elif url.path == '/-/kv-watch':
            await self._watch(query, reply)
        else:
            await self._refuse(reply, 404)

    def _publish_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = keys[:2]
        return {
            'items': [self._items[key] for key in page],
            'has_more': len(page) < len(keys),
            'store_revision': self.revision,
        }

    async def _watch(self, query: dict[str, str], reply: Reply) -> None:
        after = int(query['after'])
        if not self.forgotten <= after <= self.revision:
            await self._refuse(reply, 410)
            return
        era = self.era
        with trio.move_on_after(int(query['wait_ms']) / 1000):
            while not self._list_events(query['prefix'], after):
                await self._changed.wait()
                if self.era != era:
                    await self._refuse(reply, 503)
                    return
        answer = {
            'events': self._list_events(query['prefix'], after),
            'store_revision': self.revision,
        }
        await self._send(reply, answer)

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event['key'].startswith(prefix) and event['revision'] > after
        ]

    async def _send(self, reply: Reply, body: dict[str, Any]) -> None:
        await reply.send(
            200, (*_JSON, self._make_era()), json.dumps(body).encode()
        )

    async def _refuse(self, reply: Reply, status: int) -> None:
        await reply.send(status, (self._make_era(),))

    def _make_era(self) -> Header:
        return b'store-era', b'%d' % self.era
