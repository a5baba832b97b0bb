"""Runs a program whose open connections go silent at SIGUSR1.

``python -m standins.silencer MODULE ...`` runs a module's ``main``. At the
signal each of its open connections goes silent for good in both directions
and without a word to the other end, as when something on the way has lost
track of it. New connections work.
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
    """Knows which connections of this process are open or silent."""

    def __init__(self) -> None:
        self._open: weakref.WeakSet[trio.SocketStream] = weakref.WeakSet()
        self._silent: weakref.WeakSet[trio.SocketStream] = weakref.WeakSet()
        self._kept: list[socket.socket] = []

    def note(self, stream: trio.SocketStream) -> None:
        """Remember a connection that is used."""
        self._open.add(stream)

    def is_silent(self, stream: trio.SocketStream) -> bool:
        """Tell whether a connection has gone silent."""
        return stream in self._silent

    def silence(self, _signal: int, _frame: FrameType | None) -> None:
        """Let all open connections go silent."""
        for stream in tuple(self._open):
            number = stream.socket.fileno()
            if number >= 0:
                # A second descriptor keeps the other end from hearing of the
                # close.
                self._kept.append(socket.socket(fileno=os.dup(number)))
                self._silent.add(stream)


_silencer: Final = Silencer()


async def receive_some(
    stream: trio.SocketStream,
    max_bytes: int | None = None,
) -> bytes:
    """Receive as a stream does, or nothing once it is silent."""
    _silencer.note(stream)
    received = await _receive(stream, max_bytes)
    if _silencer.is_silent(stream):
        await trio.sleep_forever()
    return received


async def send_all(stream: trio.SocketStream, data: bytes) -> None:
    """Send as a stream does; what a silent one sends is lost."""
    _silencer.note(stream)
    if _silencer.is_silent(stream):
        await trio.lowlevel.checkpoint()
    else:
        await _send(stream, data)


def main() -> None:
    """Run the module that the command line names."""
    module = sys.argv.pop(1)
    trio.SocketStream.receive_some = receive_some
    trio.SocketStream.send_all = send_all
    signal.signal(signal.SIGUSR1, _silencer.silence)
    importlib.import_module(module).main()


if __name__ == '__main__':
    main()
