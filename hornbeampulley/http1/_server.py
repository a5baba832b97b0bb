"""Serves HTTP/1.1: one request at a time on each connection."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._replies import Reply
from hornbeampulley.http1._requests import (
    BadRequestError,
    MessageLimits,
    RequestParser,
)
from hornbeampulley.http1._sockets import watch_silence
from hornbeampulley.logs import log_event

RECEIVE_BYTES: Final = 65_536
LINGER_MS: Final = 1000.0
IDLE_MARGIN_MS: Final = 2000.0
BACKLOG: Final = 1024
MAX_READ_AHEAD: Final = 8
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_BROKEN: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_log = logging.getLogger(__name__)


Handler = Callable[[Request, Reply], Awaitable[None]]
"""Answers a request; it is cancelled when the caller leaves."""


@dataclasses.dataclass(slots=True)
class ServerOptions:
    """How a server treats its connections.

    Attributes
    ----------
    handle : callable
        Answers requests.
    read_limits : callable
        Returns the limits in force.
    is_ending : bool
        Whether answers end their connections, as the process shuts down.
    max_connections : int
        Connections beyond it are closed at once.
    connections : set of CallerConnection
        Those that are open.
    """

    handle: Handler
    read_limits: Callable[[], MessageLimits] = MessageLimits
    is_ending: bool = False
    max_connections: int = 1000
    connections: set['CallerConnection'] = dataclasses.field(
        default_factory=set,
    )


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    options : ServerOptions
        How it is treated.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        options: ServerOptions,
    ) -> None:
        self._stream = stream
        self._options = options
        self._limits = options.read_limits()
        self._parser = RequestParser(self._limits)
        self._changed = trio.Event()
        self._taken = trio.Event()
        self._active_s = trio.current_time()
        self._head_s: float | None = None
        self._has_left = False
        self._error: BadRequestError | None = None
        self._scope = trio.CancelScope()
        self._request_scope: trio.CancelScope | None = None

    @property
    def is_ending(self) -> bool:
        """Whether answers end the connection."""
        return self._options.is_ending

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun."""
        return (
            self._request_scope is None
            and not self._parser.requests
            and not self._parser.is_in_head
            and not self._parser.is_in_body
        )

    def close(self) -> None:
        """End the connection at once."""
        self._scope.cancel()

    async def transmit(self, message: bytes) -> None:
        """Send bytes to the caller.

        Parameters
        ----------
        message : bytes
            What to send.
        """
        try:
            await self._stream.send_all(message)
        except _BROKEN:
            self._leave()
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
                await self._linger()
        finally:
            self._options.connections.discard(self)
            self._stream.socket.close()

    async def _read(self) -> None:
        while not self._has_left and self._error is None:
            # A caller that sends ahead is not read until it has its answers.
            if len(self._parser.requests) > MAX_READ_AHEAD:
                self._taken = trio.Event()
                await self._taken.wait()
            try:
                await self._receive()
            except BadRequestError as error:
                self._error = error
            except _BROKEN:
                self._leave()
            self._changed.set()

    async def _receive(self) -> None:
        received = await self._stream.receive_some(RECEIVE_BYTES)
        if not received:
            self._leave()
            return
        self._parser.feed(received)
        self._note_activity()
        if self._parser.awaits_continue and self._request_scope is None:
            self._parser.awaits_continue = False
            await self.transmit(_CONTINUE)

    def _leave(self) -> None:
        self._has_left = True
        if self._request_scope is not None:
            self._request_scope.cancel()
        self._changed.set()

    async def _answer_all(self) -> None:
        while True:
            request = await self._next_request()
            if request is None:
                return
            if not await self._answer(request):
                return

    async def _answer(self, request: Request) -> bool:
        reply = Reply(self, request.is_persistent)
        with trio.CancelScope() as scope:
            self._request_scope = scope
            if self._has_left:
                scope.cancel()
            await self._options.handle(request, reply)
        self._request_scope = None
        return reply.is_whole and not reply.closes and not self._has_left

    async def _next_request(self) -> Request | None:
        self._active_s = trio.current_time()
        while not self._parser.requests:
            if self._error is not None:
                await self._refuse(self._error)
                return None
            if self._has_left:
                return None
            self._changed = trio.Event()
            with trio.move_on_at(self._find_deadline()):
                await self._changed.wait()
            if not self._changed.is_set():
                await self._refuse_slow()
                return None
        self._taken.set()
        return self._parser.requests.popleft()

    def _find_deadline(self) -> float:
        """Return when to stop waiting for a request."""
        if self._head_s is not None:
            return self._head_s + to_seconds(self._limits.header_timeout_ms)
        idle_ms = self._limits.idle_timeout_ms + IDLE_MARGIN_MS
        return self._active_s + to_seconds(idle_ms)

    def _note_activity(self) -> None:
        self._active_s = trio.current_time()
        if not self._parser.is_in_head:
            self._head_s = None
        elif self._head_s is None:
            self._head_s = self._active_s

    async def _refuse_slow(self) -> None:
        if not self._parser.is_in_head and not self._parser.is_in_body:
            return
        await self._refuse(
            BadRequestError(
                408,
                'the request did not arrive in time; send it faster',
            ),
        )

    async def _refuse(self, error: BadRequestError) -> None:
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
        """Read on for a while, since unread bytes would reset the answer."""
        with trio.move_on_after(to_seconds(LINGER_MS)):
            try:
                await self._drain()
            except _BROKEN:
                return

    async def _drain(self) -> None:
        if self._has_left:
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
    """Accept connections until cancelled.

    Parameters
    ----------
    address, port : str, int
        Where to listen.
    options : ServerOptions
        How connections are treated.
    task_status : trio.TaskStatus
        Told when the port is open.
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
        watch_silence(stream.socket)
        try:
            await CallerConnection(stream, options).run()
        except Exception:
            # One connection ends; the others go on.
            _log.exception('a connection failed')

    listeners = await trio.open_tcp_listeners(
        port,
        host=address,
        backlog=BACKLOG,
    )
    async with trio.open_nursery() as nursery:
        task_status.started()
        await trio.serve_listeners(accept, listeners, handler_nursery=nursery)
