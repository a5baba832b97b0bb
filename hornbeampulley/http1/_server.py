"""HTTP/1.1 server: one request at a time on each connection."""

import logging
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.http1._bodies import MAX_AHEAD_BYTES, RequestBodies
from hornbeampulley.http1._clients import PROGRESS_BYTES, STALLED_S
from hornbeampulley.http1._feeding import RECEIVE_BYTES, ParserFeed
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._options import ServerOptions
from hornbeampulley.http1._replies import Reply
from hornbeampulley.http1._requests import BadRequestError, RequestParser
from hornbeampulley.logs import log_event

LINGER_MS: Final = 1000.0
# Grace added to the idle timeout before a connection is closed.
IDLE_MARGIN_MS: Final = 2000.0
MAX_READ_AHEAD: Final = 8
# A caller that reads no part of this size makes no progress.
SEND_BYTES: Final = 65_536
# A body that grows by less than `PROGRESS_BYTES` in so many idle times is given
# up; a caller that sends without pauses needs 0.5 KB a second.
BODY_STALL_FACTOR: Final = 2
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_CONNECTION_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_log = logging.getLogger(__name__)


class CallerConnection:
    """Server side of a connection from a caller.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted TCP connection.
    options : ServerOptions
        Options of the server.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        options: ServerOptions,
    ) -> None:
        self._stream = stream
        self._options = options
        self._parser = RequestParser(options.read_limits())
        self._budget = options.read_budget()
        self._bodies = RequestBodies(self._parser, self._budget)
        self._feed = ParserFeed(self._parser, self._bodies, options.turns)
        self.progress_s = trio.current_time()
        self._unmarked_bytes = 0
        self._sending_bytes = 0
        self._is_dropped = False
        self._state_changed = trio.Event()
        self._request_dequeued = trio.Event()
        self._last_activity_s = trio.current_time()
        self._head_started_s: float | None = None
        self._is_disconnected = False
        self._error: BadRequestError | None = None
        self._scope = trio.CancelScope()
        self._request_scope: trio.CancelScope | None = None

    @property
    def is_ending(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._options.is_ending or self._is_dropped

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, not even in part."""
        return (
            self._request_scope is None
            and not self._parser.requests
            and not self._parser.is_in_head
            and not self._parser.is_in_body
        )

    def close(self) -> None:
        """Close the connection immediately."""
        self._scope.cancel()

    def measure_reclaimable(self) -> int:
        """Return how many bytes are given back when it is evicted.

        Returns
        -------
        int
            Number of bytes; 0 while a request is worked on.
        """
        if self._is_reply_stalled():
            return self._bodies.held_bytes + self._sending_bytes
        if self._request_scope is not None:
            return self._bodies.ahead_bytes
        return 0 if self._parser.requests else self._bodies.held_bytes

    def evict(self) -> None:
        """Give back what is held, as memory or descriptors are short.

        A request whose head is known is refused as not run; nothing is read
        on. What waits for an earlier answer is dropped.
        """
        is_working = self._request_scope is not None
        is_receiving = is_working or self._parser.is_in_body
        if self._is_reply_stalled() or not is_receiving:
            self._bodies.release()
            self._scope.cancel()
            return
        if is_working:
            self._is_dropped = True
            self._bodies.drop_ahead()
        else:
            self._bodies.refuse()
        self._state_changed.set()
        self._request_dequeued.set()

    def _is_reply_stalled(self) -> bool:
        """Tell whether the caller does not take an answer."""
        stalled_s = trio.current_time() - self.progress_s
        return bool(self._sending_bytes) and stalled_s >= STALLED_S

    async def transmit(self, message: bytes) -> None:
        """Send bytes to the caller.

        Parameters
        ----------
        message : bytes
            Encoded bytes.
        """
        try:
            await self._send_all(message)
        except _CONNECTION_ERRORS:
            self._handle_disconnect()
            await trio.lowlevel.checkpoint()
        finally:
            self._sending_bytes = 0

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._options.connections.add(self)
        self._budget.clients.members.add(self)
        self._budget.clients.relieve()
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read)
                    await self._answer_all()
                    nursery.cancel_scope.cancel()
                self._bodies.close()
                await self._linger()
        finally:
            self._release()

    def _release(self) -> None:
        self._options.connections.discard(self)
        self._budget.clients.members.discard(self)
        self._bodies.release()
        self._stream.socket.close()

    async def _send_all(self, message: bytes) -> None:
        self._sending_bytes = len(message)
        if len(message) <= SEND_BYTES:
            self.progress_s = trio.current_time()
            await self._stream.send_all(message)
            return
        view = memoryview(message)
        for start in range(0, len(message), SEND_BYTES):
            self.progress_s = trio.current_time()
            await self._stream.send_all(view[start : start + SEND_BYTES])

    async def _read(self) -> None:
        while not self._is_disconnected and self._error is None:
            # Backpressure: stop reading pipelined requests until earlier ones
            # have been answered.
            if self._is_ahead():
                self._request_dequeued = trio.Event()
                await self._request_dequeued.wait()
            try:
                await self._receive()
            except BadRequestError as error:
                self._error = error.copy()
            except _CONNECTION_ERRORS:
                self._handle_disconnect()
            self._state_changed.set()

    def _is_ahead(self) -> bool:
        waiting = self._parser.requests
        return len(waiting) > MAX_READ_AHEAD or (
            bool(waiting) and self._bodies.ahead_bytes > MAX_AHEAD_BYTES
        )

    async def _receive(self) -> None:
        received = await self._stream.receive_some(self._feed.max_bytes)
        if not received:
            self._handle_disconnect()
            return
        if not (self._parser.is_in_head or self._parser.is_in_body):
            self._parser.limits = self._options.read_limits()
            self._mark_progress()
        await self._feed.feed(received)
        if self._parser.is_closed:
            return
        self._count_received(len(received))
        self._record_activity()
        # What waits for memory has arrived in time.
        self._state_changed.set()
        if not await self._bodies.admit():
            return
        self._record_activity()
        if self._parser.awaits_continue and self._request_scope is None:
            self._parser.awaits_continue = False
            await self.transmit(_CONTINUE)

    def _handle_disconnect(self) -> None:
        self._is_disconnected = True
        if self._request_scope is not None:
            self._request_scope.cancel()
        self._state_changed.set()

    async def _answer_all(self) -> None:
        # No request is referred to while the connection waits for the next.
        while await self._answer_next():
            self._bodies.end_answer()

    async def _answer_next(self) -> bool:
        request = await self._next_request()
        return request is not None and await self._answer(request)

    async def _answer(self, request: Request) -> bool:
        self._bodies.start_answer(request)
        reply = Reply(self, request.is_persistent)
        with trio.CancelScope() as scope:
            self._request_scope = scope
            if self._is_disconnected:
                scope.cancel()
            await self._options.handle(request, reply)
        self._request_scope = None
        return (
            reply.is_complete
            and not reply.closes_connection
            and not self._is_disconnected
        )

    async def _next_request(self) -> Request | None:
        self._last_activity_s = trio.current_time()
        self._mark_progress()
        while not self._parser.requests:
            if self._is_dropped:
                return None
            if self._error is not None:
                await self._reject(self._error)
                return None
            if self._is_disconnected:
                return None
            self._state_changed = trio.Event()
            with trio.move_on_at(self._get_deadline()):
                await self._state_changed.wait()
            if not self._state_changed.is_set():
                await self._reject_timeout()
                return None
        self._request_dequeued.set()
        return self._parser.requests.popleft()

    def _get_deadline(self) -> float:
        """Return the time, in s, until which to wait for a request."""
        if self._head_started_s is not None:
            return self._head_started_s + to_seconds(
                self._parser.limits.header_timeout_ms
            )
        idle_ms = self._options.read_limits().idle_timeout_ms + IDLE_MARGIN_MS
        deadline_s = self._last_activity_s + to_seconds(idle_ms)
        if self._parser.is_in_body:
            stalled_s = to_seconds(idle_ms) * BODY_STALL_FACTOR
            return min(deadline_s, self.progress_s + stalled_s)
        return deadline_s

    def _mark_progress(self) -> None:
        self.progress_s = trio.current_time()
        self._unmarked_bytes = 0

    def _count_received(self, received: int) -> None:
        self._unmarked_bytes += received
        if self._unmarked_bytes >= PROGRESS_BYTES and not self._sending_bytes:
            self._mark_progress()

    def _record_activity(self) -> None:
        self._last_activity_s = trio.current_time()
        if not self._parser.is_in_head:
            self._head_started_s = None
        elif self._head_started_s is None:
            self._head_started_s = self._last_activity_s

    async def _reject_timeout(self) -> None:
        if not self._parser.is_in_head and not self._parser.is_in_body:
            return
        await self._reject(
            BadRequestError(
                408,
                'the request did not arrive in time; send it faster',
            ),
        )

    async def _reject(self, error: BadRequestError) -> None:
        log_event(
            _log,
            'request_refused',
            severity=logging.WARNING,
            reason=str(error),
            status=error.status,
        )
        await Reply(self, is_persistent=False).send(
            error.status,
            ((b'content-type', b'text/plain'),),
            f'{error}\n'.encode(),
        )

    async def _linger(self) -> None:
        """Discard further input for a while before closing.

        Closing a socket with unread input resets the connection, so the
        caller could lose the last response.
        """
        linger_ms = LINGER_MS
        if self._bodies.is_refused:
            # The caller may read only after it has sent all.
            linger_ms = max(linger_ms, self._parser.limits.header_timeout_ms)
        with trio.move_on_after(to_seconds(linger_ms)):
            try:
                await self._drain()
            except _CONNECTION_ERRORS:
                return

    async def _drain(self) -> None:
        if self._is_disconnected:
            return
        await self._stream.send_eof()
        received = b'-'
        while received:
            received = await self._stream.receive_some(RECEIVE_BYTES)
