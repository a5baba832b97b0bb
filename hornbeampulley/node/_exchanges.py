"""Sends one request to one target and handles the response."""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.decisions import Outcome
from hornbeampulley.http1 import (
    Connection,
    ResponseHead,
    drop_connection_headers,
    find_header,
)
from hornbeampulley.http1.errors import ResponseBrokenError
from hornbeampulley.logs import log_event
from hornbeampulley.node._attempts import Attempt
from hornbeampulley.node._calls import Answer, Call
from hornbeampulley.node._knowledge import TargetNotice
from hornbeampulley.node.dialect import Dialect, Dispatch, ResponseMetadata
from hornbeampulley.routing import TargetRecord

MAX_ANSWER_BYTES: Final = 4 << 20
MAX_STRAY_ANSWERS: Final = 4
# Time without an event after which a stream that can be resumed at another
# target is abandoned, before its caller disconnects.
STALL_MS: Final = 1200.0
# To read what has come already.
LATE_READ_MS: Final = 50.0
FIRST_FAILURE: Final = 400
SERVER_FAILURE: Final = 500
_log = logging.getLogger(__name__)


class Exchange:
    """Request and response on one connection to a target.

    Parameters
    ----------
    dialect : Dialect
        Reads and writes the headers.
    clock : Clock
        Monotonic clock.
    call : Call
        The caller's request.
    on_first_part : callable
        Called with the time in ms from dispatch to the first part of a
        stream.
    on_head : callable
        Called with the metadata of the response, before its body is read, and
        the time in ms at which the request was sent.
    check_run : callable
        Called after an answer that ended with its connection; raises
        `ResponseBrokenError` if its target has not ended it on its own.

    Attributes
    ----------
    metadata : ResponseMetadata or None
        Data from the headers of the response.
    keep_alive : bytes or None
        Value of the Keep-Alive header of the response.
    is_connection_returned : bool
        Whether the connection was returned to the pool.
    """

    def __init__(
        self,
        dialect: Dialect,
        clock: Clock,
        call: Call,
        on_first_part: Callable[[float], None],
        on_head: Callable[[ResponseMetadata, float], None],
        check_run: Callable[[], Awaitable[None]],
    ) -> None:
        self.metadata: ResponseMetadata | None = None
        self.keep_alive: bytes | None = None
        self.is_connection_returned = False
        self._dialect = dialect
        self._clock = clock
        self._call = call
        self._on_first_part = on_first_part
        self._on_head = on_head
        self._check_run = check_run
        self._sent_ms = 0.0
        self._first_ms = 0.0
        self._event_ms = 0.0
        self._pause_ms = 0.0
        self._events = 0
        self._is_unframed = False
        self._resumes_after: bytes | None = None
        self._waited_before_ms = call.buffer.waited_ms
        self._may_have_run_before = call.may_have_run

    async def run(
        self,
        connection: Connection,
        target: TargetRecord,
        notice: TargetNotice,
    ) -> Attempt:
        """Send the request; forward a streamed response, or return it.

        Parameters
        ----------
        connection : Connection
            Connection to the target.
        target : TargetRecord
            Target that gets the request.
        notice : TargetNotice
            Latest knowledge about the target, for the log.

        Returns
        -------
        Attempt
            Result of the attempt.
        """
        call = self._call
        self._sent_ms = self._clock.now()
        self._resumes_after = call.resumes_after
        dispatch = Dispatch(
            target,
            call.ends_ms - self._sent_ms,
            call.workspace_name,
            self._resumes_after,
        )
        request = self._dialect.make_request(call.request, dispatch)
        call.targets.append(target.name)
        call.may_have_run = True
        log_event(
            _log,
            'request_dispatched',
            request=call.name,
            target=target.name,
            address=target.endpoint,
            waited_ms=round(self._sent_ms - call.arrived_ms),
            limit_ms=round(dispatch.time_limit_ms),
            target_state=notice.state,
            target_age_ms=round(notice.age_ms),
            view_age_ms=round(notice.view_age_ms),
            reused=connection.uses > 0,
            software=target.software or None,
            resumes_after=_format_event_id(dispatch.resumes_after),
        )
        result: list[Attempt] = []
        errors: list[ResponseBrokenError] = []

        async def read() -> None:  # noqa: WPS430
            try:
                result.append(await self._read_answer(connection))
            except ResponseBrokenError as error:
                errors.append(error)
            # The response may come before the whole request was sent.
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            try:
                await connection.send(request)
            except ResponseBrokenError as error:
                # The response may have come before the connection broke.
                log_event(
                    _log,
                    'request_cut_short',
                    request=call.name,
                    error=error,
                )
        if errors:
            raise errors[0]
        return result[0]

    def make_attempt(self, outcome: Outcome, reason: str) -> Attempt:
        """Make the result of the exchange with the measurements so far.

        What an answer has waited for memory here says nothing of its target.
        """
        waited_ms = self._call.buffer.waited_ms - self._waited_before_ms
        return Attempt(
            outcome,
            reason,
            events=self._events,
            first_ms=self._first_ms,
            duration_ms=self._clock.now() - self._sent_ms - waited_ms,
            is_unframed=self._is_unframed,
            pause_ms=self._get_pause(),
        )

    def _get_pause(self) -> float:
        has_load = self.metadata is not None and self.metadata.slowness
        return self._pause_ms if has_load else 0

    async def _read_answer(self, connection: Connection) -> Attempt:
        head = await self._read_matching_head(connection)
        self._is_unframed = connection.is_unframed
        self.keep_alive = find_header(head.headers, b'keep-alive')
        metadata = self.metadata
        headers = tuple(drop_connection_headers(head.headers))
        if self._call.is_stream and head.status < FIRST_FAILURE:
            self._check_continuation(head)
            return await self._forward_stream(connection, head.status, headers)
        body = await connection.read_full_body(
            MAX_ANSWER_BYTES, self._call.buffer
        )
        attempt = self.make_attempt(Outcome.DONE, 'answered')
        if metadata.is_rejection:
            # A rejection guarantees that the request was not executed.
            self._call.may_have_run = self._may_have_run_before
            attempt.outcome = Outcome.NOT_SENT
            attempt.reason = f'rejected with {head.status}'
            return attempt
        if self._is_unframed:
            await self._check_run()
        if head.status >= SERVER_FAILURE:
            attempt.outcome = Outcome.FAILED
            attempt.reason = f'failed with {head.status}'
        attempt.answer = Answer(head.status, headers, body)
        return attempt

    def _check_continuation(self, head: ResponseHead) -> None:
        """Check that an answer can follow in a stream that has begun."""
        call = self._call
        if not call.reply.is_started:
            return
        if not self.metadata.is_stream or head.status != call.status:
            raise ResponseBrokenError(
                f'a target answered {head.status} in place of the rest of a '
                'stream; look at the log of the target',
            )

    async def _read_matching_head(self, connection: Connection) -> ResponseHead:
        """Read heads, skipping responses to other requests."""
        for _ in range(MAX_STRAY_ANSWERS):
            head = await connection.read_head()
            self.metadata = self._dialect.read_answer(head)
            if self._is_matching(head, connection):
                self._on_head(self.metadata, self._sent_ms)
                return head
            log_event(
                _log,
                'stray_answer',
                severity=logging.WARNING,
                request=self._call.name,
                other=self.metadata.request_id,
                status=head.status,
            )
            await connection.read_full_body(MAX_ANSWER_BYTES, self._call.buffer)
        raise ResponseBrokenError(
            'a target sent only answers to other requests; '
            'look at the log of the target',
        )

    def _is_matching(self, head: ResponseHead, connection: Connection) -> bool:
        other = self.metadata.request_id
        if other is None:
            # On a connection that was used before, a failure without an id may
            # be that of an earlier request.
            return head.status >= FIRST_FAILURE and connection.uses == 1
        return other == self._call.metadata.request_id

    async def _forward_stream(
        self,
        connection: Connection,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> Attempt:
        call = self._call
        call.events.reset(self._resumes_after)
        while part := await self._read_part(connection):
            before = call.events.count
            # Another target goes on after the last event that was counted, so
            # each one is passed on before anything may fail.
            whole = call.events.feed(part)
            if whole:
                await self._forward_events(status, headers, whole)
                self._events += call.events.count - before
            call.events.check()
            call.buffer.resize(len(call.events.incomplete))
        rest = call.events.incomplete
        if rest.strip() and self.metadata.is_stream:
            raise ResponseBrokenError(
                'a stream ended inside an event; look at the log of the target',
            )
        if self._is_unframed:
            await self._check_run()
        if rest:
            await self._forward_events(status, headers, rest)
        if not call.reply.is_started:
            await call.reply.start(status, headers)
            call.status = status
        await call.reply.finish()
        attempt = self.make_attempt(Outcome.DONE, 'streamed')
        attempt.is_complete = True
        return attempt

    async def _read_part(self, connection: Connection) -> bytes:
        stall_ms = self._get_stall_limit()
        if not stall_ms:
            return await connection.read_body()
        left_ms = self._event_ms + stall_ms - self._clock.now()
        with trio.move_on_after(to_seconds(max(left_ms, 0))):
            return await connection.read_body()
        if connection.has_input:
            # The process was paused, and the deadline passed meanwhile.
            with trio.move_on_after(to_seconds(LATE_READ_MS)):
                return await connection.read_body()
        raise ResponseBrokenError(
            f'no event of a stream for {stall_ms:.0f} ms; '
            'look at the load of the target',
        )

    def _get_stall_limit(self) -> float:
        call = self._call
        is_last = len(call.targets) >= call.route.max_attempts
        if not call.route.is_resumable or is_last or not self._events:
            return 0
        return STALL_MS

    async def _forward_events(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        events: bytes,
    ) -> None:
        call = self._call
        now_ms = self._clock.now()
        if not self._first_ms:
            self._first_ms = max(now_ms - self._sent_ms, 1)
            self._on_first_part(self._first_ms)
        elif self._event_ms:
            self._pause_ms = max(self._pause_ms, now_ms - self._event_ms)
        if not call.reply.is_started:
            call.first_ms = now_ms - call.arrived_ms
            call.status = status
            await call.reply.start(status, headers)
        await call.reply.write(events)
        # While the caller does not read, the target is not read either.
        self._event_ms = self._clock.now()


def _format_event_id(event_id: bytes | None) -> str | None:
    """Return the id of an event for the log."""
    return None if event_id is None else event_id.decode('latin-1')
