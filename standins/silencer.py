"""Runs a program whose open connections become silent on SIGUSR1.

``python -m standins.silencer MODULE ...`` runs a module's ``main``. On the
signal, all open connections permanently stop carrying data in both directions
without a FIN or RST to the peer, as when a middlebox (NAT or firewall) has
dropped their state. New connections work.
"""

import importlib
import os
import signal
import socket
import sys
import weakref
from types import FrameType
from typing import Final

import trio

_receive: Final = trio.SocketStream.receive_some
_send: Final = trio.SocketStream.send_all


class Silencer:
    """Tracks the open and the silent connections of this process."""

    def __init__(self) -> None:
        self._open: weakref.WeakSet[trio.SocketStream] = weakref.WeakSet()
        self._silent: weakref.WeakSet[trio.SocketStream] = weakref.WeakSet()
        self._duplicates: list[socket.socket] = []

    def record(self, stream: trio.SocketStream) -> None:
        """Record a connection as open."""
        self._open.add(stream)

    def is_silent(self, stream: trio.SocketStream) -> bool:
        """Return whether a connection is silent."""
        return stream in self._silent

    def silence(self, _signal: int, _frame: FrameType | None) -> None:
        """Make all open connections silent; a signal handler."""
        for stream in tuple(self._open):
            number = stream.socket.fileno()
            if number >= 0:
                # The duplicate descriptor keeps the socket open when the
                # stream is closed, so that no FIN is sent to the peer.
                self._duplicates.append(socket.socket(fileno=os.dup(number)))
                self._silent.add(stream)


_silencer: Final = Silencer()


async def receive_some(
    stream: trio.SocketStream,
    max_bytes: int | None = None,
) -> bytes:
    """Receive from a stream; block forever once it is silent."""
    _silencer.record(stream)
    received = await _receive(stream, max_bytes)
    if _silencer.is_silent(stream):
        await trio.sleep_forever()
    return received


async def send_all(stream: trio.SocketStream, data: bytes) -> None:
    """Send on a stream; discard the data if it is silent."""
    _silencer.record(stream)
    if _silencer.is_silent(stream):
        await trio.lowlevel.checkpoint()
    else:
        await _send(stream, data)


def main() -> None:
    """Run the module named on the command line."""
    module = sys.argv.pop(1)
    trio.SocketStream.receive_some = receive_some
    trio.SocketStream.send_all = send_all
    signal.signal(signal.SIGUSR1, _silencer.silence)
    importlib.import_module(module).main()


if __name__ == '__main__':
    main()
