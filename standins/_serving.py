"""A small ASGI application and its server, shared by the stand-ins."""

import contextlib
import dataclasses
import re
import signal
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any, Final
from urllib.parse import parse_qsl

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_asgi

from standins._faults import FaultSwitch
from standins._messages import (
    LATIN,
    Handler,
    HttpError,
    Request,
    Response,
)

MAX_BODY_BYTES: Final = 8 << 20
KEEP_ALIVE_S: Final = 300
GRACEFUL_TIMEOUT_S: Final = 5
MAX_REQUESTS_PER_CONNECTION: Final = 1_000_000

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class Application:
    """An ASGI application with a table of routes.

    Parameters
    ----------
    faults : FaultSwitch
        Determines the connections on which nothing is sent.
    max_body_bytes : int
        Larger bodies are refused with status 413.
    """

    def __init__(
        self,
        faults: FaultSwitch | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.faults = faults or FaultSwitch()
        self._max_body_bytes = max_body_bytes
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def add_route(self, method: str, template: str, handler: Handler) -> None:
        """Add a handler.

        Parameters
        ----------
        method : str
            HTTP method.
        template : str
            A path; ``{name}`` matches one segment and ``{name...}`` all
            remaining segments.
        handler : callable
            Answers the matching requests.
        """
        pattern = re.sub(r'\{(\w+)\.\.\.\}', r'(?P<\1>.+)', template)
        pattern = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', pattern)
        self._routes.append((method, re.compile(pattern), handler))

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one ASGI scope (lifespan or HTTP request)."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve_http(scope, receive, send)

    async def _serve_http(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        peer = tuple(scope.get('client') or ())
        self.faults.record_peer(peer)
        body = await self._read_body(receive)
        if body is None:
            limit = self._max_body_bytes
            response = HttpError(413, f'at most {limit} bytes').respond()
        else:
            response = await self._answer(scope, body, peer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery)
            await self._send_response(response, send, peer)
            nursery.cancel_scope.cancel()

    async def _read_body(self, receive: Receive) -> bytes | None:
        chunks = bytearray()
        while True:
            message = await receive()
            chunks += message.get('body', b'')
            if len(chunks) > self._max_body_bytes:
                return None
            if not message.get('more_body', False):
                return bytes(chunks)

    async def _answer(
        self,
        scope: dict[str, Any],
        body: bytes,
        peer: tuple[Any, ...],
    ) -> Response:
        query = parse_qsl(scope['query_string'].decode(LATIN))
        headers = {
            name.decode(LATIN).lower(): text.decode(LATIN)
            for name, text in scope['headers']
        }
        try:
            handler, path = self._find_route(scope['method'], scope['path'])
            return await handler(
                Request(path, dict(query), headers, body, peer),
            )
        except HttpError as error:
            return error.respond()

    def _find_route(
        self,
        method: str,
        path: str,
    ) -> tuple[Handler, dict[str, str]]:
        for known_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match and known_method == method:
                return handler, match.groupdict()
        raise HttpError(404, f'no {method} {path} here')

    async def _send_response(
        self,
        response: Response,
        send: Send,
        peer: tuple[Any, ...],
    ) -> None:
        await self._send(
            send,
            peer,
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': response.encode_headers(),
            },
        )
        if isinstance(response.body, bytes):
            await self._send(send, peer, _make_body_message(response.body))
            return
        async with contextlib.aclosing(response.body) as chunks:
            async for chunk in chunks:
                await self._send(
                    send, peer, _make_body_message(chunk, more=True)
                )
        await self._send(send, peer, _make_body_message(b''))

    async def _send(
        self,
        send: Send,
        peer: tuple[Any, ...],
        message: dict[str, Any],
    ) -> None:
        if self.faults.is_silent(peer):
            # Cancelled by the nursery of the request when the client
            # disconnects.
            await trio.sleep_forever()
        await send(message)


def _make_body_message(chunk: bytes, *, more: bool = False) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': chunk, 'more_body': more}


async def _cancel_on_disconnect(
    receive: Receive,
    nursery: trio.Nursery,
) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    nursery.cancel_scope.cancel()


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """An application and the address on which it listens.

    Attributes
    ----------
    name : str
        Label printed before the URL once the server listens.
    application : Application
        The application to serve.
    address : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    """

    name: str
    application: Application
    address: str
    port: int


async def serve(
    listener: Listener,
    shutdown: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until an event is set.

    Parameters
    ----------
    listener : Listener
        The application and its address.
    shutdown : trio.Event
        When set, the server finishes the open requests and ends.
    task_status : trio.TaskStatus
        Receives the base URL once the server listens.
    """
    config = Config()
    config.bind = [f'{listener.address}:{listener.port}']
    config.loglevel = 'WARNING'
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION

    run = partial(
        serve_asgi,
        listener.application,
        config,
        shutdown_trigger=shutdown.wait,
    )
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(run)
        task_status.started(urls[0])


async def run_program(
    listeners: Iterable[Listener],
    *background: Callable[[], Awaitable[None]],
) -> None:
    """Serve applications until SIGTERM or SIGINT, then finish their requests.

    Parameters
    ----------
    listeners : iterable of Listener
        Applications to serve; each base URL is printed on its own line.
    *background : callable
        Tasks that run until all requests are finished.
    """
    shutdown = trio.Event()
    async with trio.open_nursery() as tasks:
        for task in background:
            tasks.start_soon(task)
        async with trio.open_nursery() as servers:
            servers.start_soon(_wait_for_signal, shutdown)
            for listener in listeners:
                url = await servers.start(serve, listener, shutdown)
                print(f'{listener.name} {url}', flush=True)
        tasks.cancel_scope.cancel()


async def _wait_for_signal(shutdown: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shutdown.set()
            return
