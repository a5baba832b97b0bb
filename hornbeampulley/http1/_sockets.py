"""TCP sockets that detect dead peers."""

import contextlib
import fcntl
import select
import socket
import struct
import termios
from typing import Final

import trio

from hornbeampulley.clock import to_seconds

# Unacknowledged data or failed keepalive probes close a connection within
# about 3 s.
USER_TIMEOUT_MS: Final = 3000
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
_INT: Final = struct.Struct('i')


def enable_keepalive(sock: trio.socket.SocketType) -> None:
    """Make the kernel close the connection if its peer stops responding.

    Sets the TCP user timeout and keepalive probes, and disables Nagle's
    algorithm.

    Parameters
    ----------
    sock : trio socket
        Connected TCP socket.
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, name, setting in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, setting)


def set_receive_buffer(
    sock: trio.socket.SocketType, receive_buffer_bytes: int
) -> None:
    """Set what the kernel may hold of received bytes; it doubles the number.

    Parameters
    ----------
    sock : trio socket
        A listening or connected TCP socket.
    receive_buffer_bytes : int
        Number of bytes.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )


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
        Maximum time to connect, in ms.

    Returns
    -------
    trio.SocketStream
        The open connection.

    Raises
    ------
    OSError
        If the peer refuses the connection or does not answer in time.
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
    enable_keepalive(sock)
    return trio.SocketStream(sock)


def is_readable(stream: trio.SocketStream) -> bool:
    """Tell whether an idle connection has input or was closed by its peer.

    Parameters
    ----------
    stream : trio.SocketStream
        The idle connection.

    Returns
    -------
    bool
        True if it can't be reused for a new request.
    """
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))


def has_unacknowledged(stream: trio.SocketStream) -> bool:
    """Tell whether the peer has yet to acknowledge some of the sent bytes.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.

    Returns
    -------
    bool
        False also if the system can't tell.
    """
    try:
        queued = fcntl.ioctl(
            stream.socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size)
        )
    except OSError:
        return False
    return _INT.unpack(queued)[0] > 0


def has_failed(stream: trio.SocketStream) -> bool:
    """Tell whether a connection was reset or has timed out.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.

    Returns
    -------
    bool
        True if its next use would raise an error.
    """
    poll = select.poll()
    poll.register(stream.socket.fileno(), 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))
