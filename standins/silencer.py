"""Runs a program whose open connections go silent at SIGUSR1.

``python -m standins.silencer MODULE ...`` runs a module's ``main``. At the
signal each of its open connections goes silent for good in both directions
and without a word to the other end, as when something on the way has lost
track of it. New connections work.
"""

import importlib
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
            if stream.socket.fileno() >= 0:
                # A second descriptor keeps the other end from hearing of the
                # close.
                self._kept.append(socket.socket(fileno=_duplicate(stream)))
                self._silent.add(stream)


def _duplicate(stream: trio.SocketStream) -> int:
    return socket.dup(stream.socket.fileno())


def install(silencer: Silencer) -> None:
    """Let all streams of this process ask whether they are silent.

    Parameters
    ----------
    silencer : Silencer
        Knows which ones are.
    """

    async def receive_some(
        stream: trio.SocketStream,
        max_bytes: int | None = None,
    ) -> bytes:
        silencer.note(stream)
        received = await _receive(stream, max_bytes)
        if silencer.is_silent(stream):
            await trio.sleep_forever()
        return received

    async def send_all(stream: trio.SocketStream, data: bytes) -> None:
        silencer.note(stream)
        if silencer.is_silent(stream):
            await trio.lowlevel.checkpoint()
        else:
            await _send(stream, data)

    trio.SocketStream.receive_some = receive_some
    trio.SocketStream.send_all = send_all


def main() -> None:
    """Run the module that the command line names."""
    module = sys.argv.pop(1)
    silencer = Silencer()
    install(silencer)
    signal.signal(signal.SIGUSR1, silencer.silence)
    importlib.import_module(module).main()


if __name__ == '__main__':
    main()
