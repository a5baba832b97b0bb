"""Accepts the connections of callers, within a bound on their number."""

import logging
from typing import Final

import trio

from hornbeampulley.http1._clients import rank_clients
from hornbeampulley.http1._options import ServerOptions
from hornbeampulley.http1._server import CallerConnection
from hornbeampulley.http1._sockets import enable_keepalive, set_receive_buffer
from hornbeampulley.logs import log_event

MAX_BACKLOG: Final = 1024
# Evicted at a time, as each search goes through all connections.
EVICTED_SHARE: Final = 1 / 32
# Connections that are refused and not yet closed, beyond the bound.
ENDING_SHARE: Final = 1 / 8
_log = logging.getLogger(__name__)


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
        if not _make_room(options):
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

    listeners = await open_listeners(
        address,
        port,
        options.read_budget().clients.max_count,
        options.receive_buffer_bytes,
    )
    async with trio.open_nursery() as nursery:
        task_status.started()
        await trio.serve_listeners(accept, listeners, handler_nursery=nursery)


async def open_listeners(
    address: str, port: int, max_count: int, receive_buffer_bytes: int
) -> list[trio.SocketListener]:
    """Listen on a port.

    Parameters
    ----------
    address, port : str, int
        IP address and TCP port to listen on.
    max_count : int
        Number of connections for which there is memory: the kernel receives
        also for those that are not accepted yet.
    receive_buffer_bytes : int
        Received bytes that the kernel holds for a connection; 0 for its
        default, which grows.

    Returns
    -------
    list of trio.SocketListener
        The listening sockets.
    """
    listeners = await trio.open_tcp_listeners(
        port,
        host=address,
        backlog=min(max_count, MAX_BACKLOG),
    )
    if receive_buffer_bytes:
        for listener in listeners:
            # Accepted sockets inherit it.
            set_receive_buffer(listener.socket, receive_buffer_bytes)
    return listeners


def _make_room(options: ServerOptions) -> bool:
    """Evict connections if too many are open; return whether one may open."""
    count = len(options.connections)
    if count < options.max_connections:
        return True
    wanted = 1 + int(options.max_connections * EVICTED_SHARE)
    victims = rank_clients(options.connections)[:wanted]
    freed = sum(victim.measure_reclaimable() for victim in victims)
    for victim in victims:
        victim.evict()
    options.read_budget().clients.count_evicted(len(victims), freed)
    most = options.max_connections * (1 + ENDING_SHARE)
    return bool(victims) and count < most
