"""Stand-in for a users' server with plain answers and event streams."""

import dataclasses
import json
from collections import Counter
from typing import Any, Final

import trio

from hornbeampulley.http1 import (
    Reply,
    Request,
    ServerOptions,
    find_header,
    serve_http,
)

SEAL: Final = b'server-seal'
FIRST_FAILURE: Final = 400
REPORT_PATH: Final = b'/-/report'

TRICKLE_MS: Final = 300.0
RESTART_MS: Final = 100.0


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Configurable behaviour of a backend.

    Attributes
    ----------
    events : int
        Number of events of a stream.
    pause_ms : float
        Delay before each event and before a plain answer.
    breaks_after : int
        Number of events after which a stream breaks off in the middle of
        the next event; -1 to disable.
    trickles_after : int
        Number of events after which a stream stalls and sends one byte of the
        next event each `TRICKLE_MS`, without end; -1 to disable.
    is_full : bool
        Whether requests are rejected with status 503 as not executed.
    status : int
        HTTP status of plain answers; from 400 on, streams are answered
        plainly too.
    is_cut_short : bool
        Whether plain answers end before their ``Content-Length``.
    has_stray_answer : bool
        Whether an answer with the id of another request is sent first.
    deadly_part : bytes
        Id of a part of prompts that crashes the backend when it begins to
        answer; empty to disable.
    signals : tuple of (bytes, bytes)
        Headers of all answers in which it tells of itself.
    mark : bytes
        Text in each event of the streams that begin from now on.
    born : int or None
        Start of its run that its report tells, in ms since 1970; None if it
        has no report.
    """

    events: int = 3
    pause_ms: float = 1
    breaks_after: int = -1
    trickles_after: int = -1
    is_full: bool = False
    status: int = 200
    is_cut_short: bool = False
    has_stray_answer: bool = False
    deadly_part: bytes = b''
    signals: tuple[tuple[bytes, bytes], ...] = ()
    mark: bytes = b''
    born: int | None = None


class Backend:
    """One server of the users' service.

    Parameters
    ----------
    name : str
        Instance id.
    service : str
        Name of its service.

    Attributes
    ----------
    behaviour : Behaviour
        Behaviour; may be changed at any time.
    runs : Counter
        How often each request ran here, by request id.
    cancelled : list of bytes
        Ids of requests cancelled because the client disconnected.
    seen : list of Request
        All requests in order of arrival.
    crashes : int
        How often it has crashed.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.behaviour = Behaviour()
        self.runs: Counter[bytes] = Counter()
        self.cancelled: list[bytes] = []
        self.seen: list[Request] = []
        self.crashes = 0
        self._process = trio.CancelScope()

    def describe(self, address: str, port: int) -> dict[str, Any]:
        """Return its record in the metadata store."""
        return {
            'service': self.service,
            'address': f'{address}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }

    async def serve(self, address: str, port: int) -> None:
        """Answer requests until cancelled; start again after a crash."""
        while True:
            self._process = trio.CancelScope()
            with self._process:
                await serve_http(address, port, ServerOptions(self.answer))
            await trio.sleep(RESTART_MS / 1000)

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        if request.path == REPORT_PATH:
            await self._report(reply)
            return
        self.seen.append(request)
        request_id = find_header(request.headers, b'attempt-id') or b''
        expected = find_header(request.headers, b'expect-instance')
        headers = [(b'attempt-id', request_id), *self.behaviour.signals]
        if expected not in {None, self.name.encode()}:
            await reply.send(421, headers)
        elif self.behaviour.is_full:
            await reply.send(503, [*headers, (b'not-executed', b'1')])
        else:
            self.runs[request_id] += 1
            await self._run(request, reply, request_id)

    async def _report(self, reply: Reply) -> None:
        if self.behaviour.born is None:
            await reply.send(404, [])
            return
        report = {'stage': 'unified', 'born': self.behaviour.born}
        await reply.send(200, [], json.dumps(report).encode())

    async def _run(
        self,
        request: Request,
        reply: Reply,
        request_id: bytes,
    ) -> None:
        seal = (SEAL, self.name.encode())
        headers = [(b'attempt-id', request_id), seal, *self.behaviour.signals]
        parts = find_header(request.headers, b'prompt-prefix') or b''
        if self.behaviour.deadly_part in _list_ids(parts):
            self.crashes += 1
            self._process.cancel()
        try:
            is_stream = request.path.startswith(b'/stream/')
            if is_stream and self.behaviour.status < FIRST_FAILURE:
                await self._stream(request, reply, headers)
            else:
                await self._answer_plain(request, reply, headers)
        except trio.Cancelled:
            self.cancelled.append(request_id)
            raise

    async def _answer_plain(
        self,
        request: Request,
        reply: Reply,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        behaviour = self.behaviour
        # The behaviour may be changed during the pause.
        status = behaviour.status
        await trio.sleep(behaviour.pause_ms / 1000)
        if behaviour.has_stray_answer:
            stray = [(b'attempt-id', b'other'), (SEAL, b'other')]
            await reply.send(200, stray, b'not yours')
        if behaviour.is_cut_short:
            cut = (b'content-length', b'100')
            await reply.start(200, [*headers, cut])
            return
        body = b'%s %s' % (self.name.encode(), request.body)
        await reply.send(status, headers, body)

    async def _stream(
        self,
        request: Request,
        reply: Reply,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        kind = (b'content-type', b'text/event-stream')
        # The engine may be replaced while the head is sent.
        mark = self.behaviour.mark
        await reply.start(200, [*headers, kind])
        last = int(find_header(request.headers, b'last-event-id') or 0)
        for number in range(last + 1, self.behaviour.events + 1):
            await trio.sleep(self.behaviour.pause_ms / 1000)
            if number == self.behaviour.breaks_after + 1:
                await reply.write(b'id: %d\nda' % number)
                return
            if number == self.behaviour.trickles_after + 1:
                await _trickle(reply)
            await reply.write(
                b'id: %d\ndata: t%d%s\n\n' % (number, number, mark)
            )
        await reply.finish()


def _list_ids(parts: bytes) -> list[bytes]:
    return [part.partition(b':')[0] for part in parts.split(b',') if part]


async def _trickle(reply: Reply) -> None:
    while True:
        await reply.write(b':')
        await trio.sleep(TRICKLE_MS / 1000)
