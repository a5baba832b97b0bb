"""One request on its way to its whole answer."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import httpcore
import trio

from hornbeampulley._client_entries import EntryPool
from hornbeampulley._client_lines import LineTail
from hornbeampulley._client_messages import (
    NDJSON,
    PROBLEM_TYPE,
    Assignment,
    Call,
    ClientSettings,
    Refusal,
    parse_refusal,
)
from hornbeampulley._client_transport import (
    BROKEN,
    NEVER_SENT,
    SILENT,
    HttpRequest,
    Transport,
    decode_headers,
)
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import (
    CallerError,
    NoEntryError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from hornbeampulley.identity import Executed

REPEAT_PAUSE_MS: Final = 100.0
MAX_PAUSE_MS: Final = 2000.0
MAX_UNKNOWN: Final = 4
MAX_LOOKUPS: Final = 10
HTTP_TIMEOUT: Final = 504
_TARGET: Final = 'hornbeam-target'
_UNREACHED: Final = 'outcome unknown'
_ELSEWHERE: Final = ('draining', 'entry full', 'home lost', 'not ready')
_LEASE_GONE: Final = ('id lease expired', 'id lease unknown')


class Delivery:
    """Sends one request until its answer has come whole.

    The same id is repeated after a broken or silent connection, since its
    home runs an id at most once. A new id is used only when the one before
    surely was not run.

    Parameters
    ----------
    call : Call
        What to send.
    entries : EntryPool
        Gives ids and entries.
    transport : Transport
        For the connections.
    settings : ClientSettings
        Bounds.
    clock : Clock
        For the deadline.

    Attributes
    ----------
    assignment : Assignment or None
        The id in use and its home.
    status : int
        HTTP status code; 0 until the answer has started.
    headers : dict
        HTTP headers of the answer.
    attempts : int
        How often the request was sent.
    """

    def __init__(
        self,
        call: Call,
        entries: EntryPool,
        transport: Transport,
        settings: ClientSettings,
        clock: Clock,
    ) -> None:
        self.assignment: Assignment | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.attempts = 0
        self._call = call
        self._entries = entries
        self._transport = transport
        self._settings = settings
        self._clock = clock
        deadline_ms = call.deadline_ms or settings.deadline_ms
        self._deadline_ms = clock.now() + deadline_ms
        self._is_sent = False
        self._refusals = 0
        self._unknown = 0
        self._lookups = 0
        self._failures = 0
        self._hops = 0
        self._silences = 0
        self._received = 0
        self._ended_at = -1
        self._is_whole = False
        self._tail = LineTail()
        self._response: httpcore.Response | None = None
        self._exits = contextlib.AsyncExitStack()

    @property
    def request_id(self) -> str:
        """Id in use; empty before the first."""
        return str(self.assignment.request_id) if self.assignment else ''

    async def start(self) -> None:
        """Send the request until its answer has started.

        Raises
        ------
        CallerError
            If it ends without an answer.
        NoEntryError
            If no entry answers before the deadline.
        """
        await self._within_deadline(self._connect)

    async def read(self) -> AsyncIterator[bytes]:
        """Iterate over the body; repeat the request when it breaks off.

        Yields
        ------
        bytes
            Chunks, each byte once.

        Raises
        ------
        CallerError
            If the answer cannot become whole.
        """
        while True:
            async for chunk in self._read_connection():
                yield chunk
            if self._is_whole:
                return
            await self._within_deadline(self._reconnect)

    async def aclose(self) -> None:
        """Close the connection; the request goes on at its home."""
        self._response = None
        await self._exits.aclose()

    async def _connect(self) -> None:
        has_started = False
        while not has_started:
            has_started = await self._try()

    async def _reconnect(self) -> None:
        await self._pause()
        self._hops = 0
        await self._connect()

    async def _try(self) -> bool:
        """Send once; True if an answer has started."""
        if self.assignment is None and not await self._assign():
            return False
        try:
            await self._open()
        except BROKEN as error:
            await self._handle_break(error)
            return False
        return await self._accept()

    async def _assign(self) -> bool:
        try:
            self.assignment = await self._entries.assign()
        except NoEntryError:
            self._lookups += 1
            if self._lookups >= MAX_LOOKUPS:
                raise
            await self._pause()
            return False
        self._lookups = 0
        self._hops = 0
        self._is_sent = False
        return True

    async def _open(self) -> None:
        await self.aclose()
        self.attempts += 1
        request = HttpRequest(
            'POST',
            f'{self._choose_url()}/v1/requests/{self.request_id}',
            self._call.form_headers(self._deadline_ms - self._clock.now()),
            self._call.body,
        )
        exchange = self._transport.open(request)
        was_sent = self._is_sent
        self._is_sent = True
        try:
            self._response = await self._exits.enter_async_context(exchange)
        except NEVER_SENT:
            self._is_sent = was_sent
            raise

    def _choose_url(self) -> str:
        home = self.assignment.url
        urls = (home, *self._entries.list_others(home))
        return urls[self._hops % len(urls)]

    async def _handle_break(self, error: Exception) -> None:
        await self._renew_if_silent(error)
        if isinstance(error, httpcore.ReadTimeout):
            # The home may just be slow, so the next attempt goes there too.
            self._silences += 1
            self._hops = self._silences // 2
            return
        # A new process at the same address does not know the lease.
        home = self.assignment.url
        self._entries.drop_lease(home)
        if isinstance(error, NEVER_SENT):
            self._entries.avoid(home)
        if not self._is_sent:
            self.assignment = None
        self._hops += 1
        await self._pause()

    async def _renew_if_silent(self, error: Exception) -> None:
        # Other kept connections may have gone silent with this one.
        if isinstance(error, SILENT):
            await self._transport.renew()

    async def _pause(self, min_ms: float = 0) -> None:
        self._failures += 1
        pause_ms = min(REPEAT_PAUSE_MS * self._failures, MAX_PAUSE_MS)
        await trio.sleep(to_seconds(max(pause_ms, min_ms)))

    async def _accept(self) -> bool:
        headers = decode_headers(self._response)
        if headers.get('content-type') != PROBLEM_TYPE or _TARGET in headers:
            self.status = self._response.status
            self.headers = headers
            return True
        try:
            body = await self._response.aread()
        except BROKEN as error:
            await self._handle_break(error)
            return False
        retry_after = headers.get('retry-after', '')
        refusal = parse_refusal(body, self._response.status, retry_after)
        await self._resolve(refusal)
        return False

    async def _resolve(self, refusal: Refusal) -> None:
        """Prepare the next attempt, or raise if none would be right."""
        if refusal.ran is Executed.UNKNOWN:
            await self._resolve_unknown(refusal)
        elif refusal.ran is Executed.NO and not self.status:
            await self._resolve_not_run(refusal)
        else:
            raise refusal.to_error(self.request_id)

    async def _resolve_unknown(self, refusal: Refusal) -> None:
        self._unknown += 1
        is_final = (
            refusal.title != _UNREACHED and not refusal.retry_after_ms
        ) or self._unknown > MAX_UNKNOWN
        if is_final:
            raise refusal.to_error(self.request_id)
        self._hops += 1
        await self._pause(refusal.retry_after_ms)

    async def _resolve_not_run(self, refusal: Refusal) -> None:
        if refusal.title in _LEASE_GONE:
            self._entries.drop_lease(self.assignment.url)
        elif not refusal.retry_after_ms:
            raise refusal.to_error(self.request_id)
        if refusal.title in _ELSEWHERE:
            self._entries.avoid(self.assignment.url)
        left_ms = self._deadline_ms - self._clock.now()
        self._refusals += 1
        is_last = self._refusals >= self._settings.max_ids
        if is_last or refusal.retry_after_ms >= left_ms:
            raise refusal.to_error(self.request_id)
        self.assignment = None
        await trio.sleep(to_seconds(refusal.retry_after_ms))

    async def _read_connection(self) -> AsyncIterator[bytes]:
        """Yield what this connection brings beyond the bytes received."""
        skip = self._received
        chunks = self._response.aiter_stream()
        while True:
            try:
                chunk = await self._within_deadline(anext, chunks, None)
            except BROKEN as error:
                await self._renew_if_silent(error)
                return
            if chunk is None:
                self._note_end(skip)
                return
            fresh = chunk[skip:]
            skip = max(skip - len(chunk), 0)
            if fresh:
                self._received += len(fresh)
                self._tail.feed(fresh)
                yield fresh

    def _note_end(self, missing: int) -> None:
        """Judge an answer whose body ended as HTTP has it."""
        has_ended_here_before = self._ended_at == self._received
        if missing:
            return
        self._ended_at = self._received
        if not self.headers.get('content-type', '').startswith(NDJSON):
            self._is_whole = True
            return
        last = self._tail.read_last()
        if 'problem' in last:
            raise Refusal.parse(last['problem']).to_error(self.request_id)
        # A service may send lines that do not end as a model's stream does.
        self._is_whole = has_ended_here_before or last.get('done') is True

    async def _within_deadline(
        self,
        function: Callable[..., Awaitable[Any]],
        *arguments: object,
    ) -> Any:
        with trio.move_on_at(to_seconds(self._deadline_ms)):
            return await function(*arguments)
        raise self._explain_deadline()

    def _explain_deadline(self) -> CallerError:
        if self._is_sent:
            return OutcomeUnknownError(
                self.request_id,
                'deadline',
                'it passed before the answer was whole; look the outcome '
                'up, or cancel the request, before sending it again',
            )
        return RequestRefusedError(
            self.request_id,
            HTTP_TIMEOUT,
            'deadline',
            'the deadline passed before the request could be sent; check '
            'the entries, then send it again',
        )
