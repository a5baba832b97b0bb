"""HTTP/1.1 server: one request at a time on each connection."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.http1._bodies import RequestBodies
from hornbeampulley.http1._buffers import BufferBudget
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._replies import Reply
from hornbeampulley.http1._requests import (
    BadRequestError,
    MessageLimits,
    RequestParser,
)
from hornbeampulley.http1._sockets import enable_keepalive
from hornbeampulley.logs import log_event

RECEIVE_BYTES: Final = 65_536
# A large body must not be received before there is memory for it.
RECEIVE_HEAD_BYTES: Final = 16_384
LINGER_MS: Final = 1000.0
# Grace added to the idle timeout before a connection is closed.
IDLE_MARGIN_MS: Final = 2000.0
BACKLOG: Final = 1024
MAX_READ_AHEAD: Final = 8
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_CONNECTION_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_log = logging.getLogger(__name__)


Handler = Callable[[Request, Reply], Awaitable[None]]
"""Handles a request; cancelled when the caller disconnects."""


@dataclasses.dataclass(slots=True)
class ServerOptions:
    """Handler, limits and state of a server.

    Attributes
    ----------
    handle : callable
        Handler of requests.
    read_limits : callable
        Returns the current limits; called for each new connection.
    is_ending : bool
        Whether connections close after the current response, as the
        process shuts down.
    max_connections : int
        Maximum number of connections; further ones are closed
        immediately.
    connections : set of CallerConnection
        Open connections.
    read_budget : callable
        Returns the budget of memory for the bodies of requests; called for
        each new connection.
    """

    handle: Handler
    read_limits: Callable[[], MessageLimits] = MessageLimits
    is_ending: bool = False
    max_connections: int = 1000
    connections: set['CallerConnection'] = dataclasses.field(
        default_factory=set,
    )
    read_budget: Callable[[], BufferBudget] = BufferBudget


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
        self._bodies = RequestBodies(self._parser, options.read_budget())
        self._state_changed = trio.Event()
        self._request_dequeued = trio.Event()
        self._last_activity_s = trio.current_time()
        self._head_started_s: float | None = None
        self._is_disconnected = False
        self._is_body_refused = False
        self._error: BadRequestError | None = None
        self._scope = trio.CancelScope()
        self._request_scope: trio.CancelScope | None = None

    @property
    def is_ending(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._options.is_ending

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

    async def transmit(self, message: bytes) -> None:
        """Send bytes to the caller.

        Parameters
        ----------
        message : bytes
            Encoded bytes.
        """
        try:
            await self._stream.send_all(message)
        except _CONNECTION_ERRORS:
            self._handle_disconnect()
            await trio.lowlevel.checkpoint()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._options.connections.add(self)
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
        self._bodies.close()
        self._stream.socket.close()

    async def _read(self) -> None:
        while not self._is_disconnected and self._error is None:
            # Backpressure: stop reading pipelined requests until earlier ones
            # have been answered.
            if len(self._parser.requests) > MAX_READ_AHEAD:
                self._request_dequeued = trio.Event()
                await self._request_dequeued.wait()
            try:
                await self._receive()
            except BadRequestError as error:
                self._error = error
            except _CONNECTION_ERRORS:
                self._handle_disconnect()
            self._state_changed.set()

    async def _receive(self) -> None:
        received = await self._stream.receive_some(
            RECEIVE_BYTES if self._parser.is_in_body else RECEIVE_HEAD_BYTES
        )
        if not received:
            self._handle_disconnect()
            return
        if not (self._parser.is_in_head or self._parser.is_in_body):
            self._parser.limits = self._options.read_limits()
        if self._is_body_refused:
            return
        self._parser.feed(received)
        self._record_activity()
        # What waits for memory has arrived in time.
        self._state_changed.set()
        if not await self._bodies.admit():
            self._is_body_refused = True
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
        while not self._parser.requests:
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
        return self._last_activity_s + to_seconds(idle_ms)

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
        if self._is_body_refused:
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


async def serve_http(
    address: str,
    port: int,
    options: ServerOptions,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept and serve connections until cancelled.

    Parameters
    ----------
    address, port : str, int
        IP address and TCP port to listen on.
    options : ServerOptions
        Options of the server.
    task_status : trio.TaskStatus
        Notified once the port accepts connections.
    """

    async def accept(stream: trio.SocketStream) -> None:  # noqa: WPS430
        if len(options.connections) >= options.max_connections:
            log_event(
                _log,
                'connection_refused',
                severity=logging.WARNING,
                open=len(options.connections),
            )
            await stream.aclose()
            return
        enable_keepalive(stream.socket)
        try:
            await CallerConnection(stream, options).run()
        except Exception:
            # An unexpected error must not affect the other connections.
            _log.exception('a connection failed')

    listeners = await trio.open_tcp_listeners(
        port,
        host=address,
        backlog=BACKLOG,
    )
    async with trio.open_nursery() as nursery:
        task_status.started()
        await trio.serve_listeners(accept, listeners, handler_nursery=nursery)
