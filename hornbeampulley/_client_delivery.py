"""Delivery of one request: send, retry and resume until it is answered."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import httpcore
import trio

from hornbeampulley._client_entries import EntryPool
from hornbeampulley._client_lines import LastLineBuffer
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
    CONNECTION_ERRORS,
    IO_TIMEOUTS,
    UNSENT_ERRORS,
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

RETRY_PAUSE_MS: Final = 100.0
MAX_RETRY_PAUSE_MS: Final = 2000.0
MAX_UNKNOWN_OUTCOMES: Final = 4
MAX_FAILED_LOOKUPS: Final = 10
HTTP_GATEWAY_TIMEOUT: Final = 504
_TARGET_HEADER: Final = 'hornbeam-target'
_HOME_UNREACHABLE: Final = 'outcome unknown'
_RETRY_ELSEWHERE: Final = ('draining', 'entry full', 'home lost', 'not ready')
_LEASE_INVALID: Final = ('id lease expired', 'id lease unknown')


class Delivery:
    """Sends one request and retries it until its answer is complete.

    After a connection error or timeout, the request is repeated with the
    same id, because its home (the entry that alone dispatches the id) runs
    an id at most once. A new id is used only if the request was certainly
    not run under the previous one.

    Parameters
    ----------
    call : Call
        The request.
    entries : EntryPool
        Assigns ids and lists entries.
    transport : Transport
        Opens the HTTP exchanges.
    settings : ClientSettings
        Default deadline and maximum number of ids.
    clock : Clock
        Clock for the deadline.

    Attributes
    ----------
    assignment : Assignment or None
        The current request id and its home; None before the first.
    status : int
        HTTP status code; 0 until the answer has started.
    headers : dict
        HTTP headers of the answer, with lower-case names.
    attempts : int
        Number of times the request was sent.
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
        self._unknown_outcomes = 0
        self._failed_lookups = 0
        self._retries = 0
        self._url_index = 0
        self._timeouts = 0
        self._received = 0
        self._last_end = -1
        self._is_complete = False
        self._last_line = LastLineBuffer()
        self._response: httpcore.Response | None = None
        self._exit_stack = contextlib.AsyncExitStack()

    @property
    def request_id(self) -> str:
        """Current request id; empty before the first is assigned."""
        return str(self.assignment.request_id) if self.assignment else ''

    async def start(self) -> None:
        """Send the request, with retries, until its answer has started.

        Raises
        ------
        CallerError
            If the request ends without an answer.
        NoEntryError
            If no entry assigns an id.
        """
        await self._run_until_deadline(self._connect)

    async def read(self) -> AsyncIterator[bytes]:
        """Iterate over the body; repeat the request if the body breaks off.

        Yields
        ------
        bytes
            Chunks of the body; bytes received before a retry are not
            repeated.

        Raises
        ------
        CallerError
            If the answer cannot be completed.
        """
        while True:
            async for chunk in self._read_connection():
                yield chunk
            if self._is_complete:
                return
            await self._run_until_deadline(self._reconnect)

    async def aclose(self) -> None:
        """Close the exchange; the request continues at its home."""
        self._response = None
        await self._exit_stack.aclose()

    async def _connect(self) -> None:
        has_started = False
        while not has_started:
            has_started = await self._attempt()

    async def _reconnect(self) -> None:
        await self._back_off()
        self._url_index = 0
        await self._connect()

    async def _attempt(self) -> bool:
        """Send the request once; return whether its answer has started."""
        if self.assignment is None and not await self._assign():
            return False
        try:
            await self._open()
        except CONNECTION_ERRORS as error:
            await self._handle_connection_error(error)
            return False
        return await self._handle_response()

    async def _assign(self) -> bool:
        try:
            self.assignment = await self._entries.assign()
        except NoEntryError:
            self._failed_lookups += 1
            if self._failed_lookups >= MAX_FAILED_LOOKUPS:
                raise
            await self._back_off()
            return False
        self._failed_lookups = 0
        self._url_index = 0
        self._is_sent = False
        return True

    async def _open(self) -> None:
        await self.aclose()
        self.attempts += 1
        request = HttpRequest(
            'POST',
            f'{self._choose_url()}/v1/requests/{self.request_id}',
            self._call.make_headers(self._deadline_ms - self._clock.now()),
            self._call.body,
        )
        exchange = self._transport.open(request)
        was_sent = self._is_sent
        self._is_sent = True
        try:
            self._response = await self._exit_stack.enter_async_context(
                exchange
            )
        except UNSENT_ERRORS:
            self._is_sent = was_sent
            raise

    def _choose_url(self) -> str:
        home = self.assignment.url
        urls = (home, *self._entries.list_others(home))
        return urls[self._url_index % len(urls)]

    async def _handle_connection_error(self, error: Exception) -> None:
        await self._renew_on_timeout(error)
        if isinstance(error, httpcore.ReadTimeout):
            # The home may only be slow, so only every second timeout moves on
            # to the next entry.
            self._timeouts += 1
            self._url_index = self._timeouts // 2
            return
        # The home may have restarted, and its new process does not know the
        # lease.
        home = self.assignment.url
        self._entries.drop_lease(home)
        if isinstance(error, UNSENT_ERRORS):
            self._entries.avoid(home)
        if not self._is_sent:
            self.assignment = None
        self._url_index += 1
        await self._back_off()

    async def _renew_on_timeout(self, error: Exception) -> None:
        # The network fault may affect the other pooled connections too.
        if isinstance(error, IO_TIMEOUTS):
            await self._transport.renew()

    async def _back_off(self, min_ms: float = 0) -> None:
        self._retries += 1
        pause_ms = min(RETRY_PAUSE_MS * self._retries, MAX_RETRY_PAUSE_MS)
        await trio.sleep(to_seconds(max(pause_ms, min_ms)))

    async def _handle_response(self) -> bool:
        headers = decode_headers(self._response)
        if (
            headers.get('content-type') != PROBLEM_TYPE
            or _TARGET_HEADER in headers
        ):
            self.status = self._response.status
            self.headers = headers
            return True
        try:
            body = await self._response.aread()
        except CONNECTION_ERRORS as error:
            await self._handle_connection_error(error)
            return False
        retry_after = headers.get('retry-after', '')
        refusal = parse_refusal(body, self._response.status, retry_after)
        await self._handle_refusal(refusal)
        return False

    async def _handle_refusal(self, refusal: Refusal) -> None:
        """Prepare the next attempt, or raise if the request must not repeat."""
        if refusal.ran is Executed.UNKNOWN:
            await self._handle_unknown_outcome(refusal)
        elif refusal.ran is Executed.NO and not self.status:
            await self._handle_not_run(refusal)
        else:
            raise refusal.to_error(self.request_id)

    async def _handle_unknown_outcome(self, refusal: Refusal) -> None:
        self._unknown_outcomes += 1
        is_final = (
            refusal.title != _HOME_UNREACHABLE and not refusal.retry_after_ms
        ) or self._unknown_outcomes > MAX_UNKNOWN_OUTCOMES
        if is_final:
            raise refusal.to_error(self.request_id)
        self._url_index += 1
        await self._back_off(refusal.retry_after_ms)

    async def _handle_not_run(self, refusal: Refusal) -> None:
        if refusal.title in _LEASE_INVALID:
            self._entries.drop_lease(self.assignment.url)
        elif not refusal.retry_after_ms:
            raise refusal.to_error(self.request_id)
        if refusal.title in _RETRY_ELSEWHERE:
            self._entries.avoid(self.assignment.url)
        left_ms = self._deadline_ms - self._clock.now()
        self._refusals += 1
        is_last = self._refusals >= self._settings.max_ids
        if is_last or refusal.retry_after_ms >= left_ms:
            raise refusal.to_error(self.request_id)
        self.assignment = None
        await trio.sleep(to_seconds(refusal.retry_after_ms))

    async def _read_connection(self) -> AsyncIterator[bytes]:
        """Yield the bytes of this exchange that were not received before."""
        skip = self._received
        chunks = self._response.aiter_stream()
        while True:
            try:
                chunk = await self._run_until_deadline(anext, chunks, None)
            except CONNECTION_ERRORS as error:
                await self._renew_on_timeout(error)
                return
            if chunk is None:
                self._check_end(skip)
                return
            new_bytes = chunk[skip:]
            skip = max(skip - len(chunk), 0)
            if new_bytes:
                self._received += len(new_bytes)
                self._last_line.feed(new_bytes)
                yield new_bytes

    def _check_end(self, missing: int) -> None:
        """Check whether an answer whose HTTP body has ended is complete.

        A model's stream ends with a line that has ``done``, or with a
        problem, which is raised. Any other body of lines is accepted once
        two attempts have ended at the same byte.
        """
        ended_here_before = self._last_end == self._received
        if missing:
            return
        self._last_end = self._received
        if not self.headers.get('content-type', '').startswith(NDJSON):
            self._is_complete = True
            return
        last = self._last_line.parse_last()
        if 'problem' in last:
            raise Refusal.parse(last['problem']).to_error(self.request_id)
        # A plain service may send lines without a final ``done``.
        self._is_complete = ended_here_before or last.get('done') is True

    async def _run_until_deadline(
        self,
        function: Callable[..., Awaitable[Any]],
        *arguments: object,
    ) -> Any:
        with trio.move_on_at(to_seconds(self._deadline_ms)):
            return await function(*arguments)
        raise self._make_deadline_error()

    def _make_deadline_error(self) -> CallerError:
        if self._is_sent:
            return OutcomeUnknownError(
                self.request_id,
                'deadline',
                'it passed before the answer was complete; look up the '
                'outcome, or cancel the request, before sending it again',
            )
        return RequestRefusedError(
            self.request_id,
            HTTP_GATEWAY_TIMEOUT,
            'deadline',
            'the deadline passed before the request could be sent; check '
            'the entries, then send it again',
        )
