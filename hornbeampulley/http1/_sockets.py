"""TCP sockets whose silent peers are noticed."""

import contextlib
import select
import socket
from typing import Final

import trio

from hornbeampulley.clock import to_seconds

SILENT_AFTER_MS: Final = 3000
PROBE_IDLE_S: Final = 1
PROBE_INTERVAL_S: Final = 1
PROBE_COUNT: Final = 2


def watch_silence(sock: trio.socket.SocketType) -> None:
    """Let the kernel end a connection whose peer does not acknowledge.

    Parameters
    ----------
    sock : trio socket
        A TCP socket.
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_AFTER_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    )
    for level, name, setting in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, setting)


async def connect(
    address: str,
    port: int,
    timeout_ms: float,
) -> trio.SocketStream:
    """Open a TCP connection.

    Parameters
    ----------
    address, port : str, int
        IP address and port of the peer.
    timeout_ms : float
        Longest time it may take.

    Returns
    -------
    trio.SocketStream
        The connection.

    Raises
    ------
    OSError
        If the peer refuses or does not answer in time.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(to_seconds(timeout_ms)):
            await sock.connect((address, port))
    except trio.TooSlowError as error:
        sock.close()
        raise OSError(
            f'{address}:{port} did not answer within {timeout_ms:.0f} ms; '
            'check that the peer is up',
        ) from error
    except BaseException:
        sock.close()
        raise
    watch_silence(sock)
    return trio.SocketStream(sock)


def has_input(stream: trio.SocketStream) -> bool:
    """Tell whether an idle connection has bytes or its end to be read.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.

    Returns
    -------
    bool
        True if it can't be used for a new request.
    """
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
