"""A TCP proxy on loopback that delays, holds back or resets connections."""

import enum
import socket
import struct

import trio

PART_BYTES = 65_536
_BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# Closing with a zero linger time resets a connection.
RESETS = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How a proxy treats its connections.

    SILENT holds back the bytes of both directions, NO_ANSWERS only those of
    the server; REFUSED resets new connections.
    """

    PASS = 'pass'
    SLOW = 'slow'
    SILENT = 'silent'
    NO_ANSWERS = 'no_answers'
    REFUSED = 'refused'


_HELD_REQUESTS = frozenset((Mode.SILENT,))
_HELD_ANSWERS = frozenset((Mode.SILENT, Mode.NO_ANSWERS))


class Proxy:
    """Forwards bytes between clients and one server.

    What is holding modes back while it is silent comes late, in order.
    """

    def __init__(self, upstream, port):
        self.mode = Mode.PASS
        self.delay_s = 0.2
        self._upstream = upstream
        self._port = port
        self._streams = set()
        self._muted = set()
        self._changed = trio.Event()

    async def serve(self, address):
        """Accept connections until cancelled."""
        await trio.serve_tcp(self._accept, self._port, host=address)

    def set_mode(self, mode):
        """Change the mode of all connections."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()

    def mute(self):
        """Lose whatever is sent on the present connections, which stay open."""
        self._muted |= self._streams

    def reset(self):
        """Reset all connections."""
        for stream in tuple(self._streams):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            stream.socket.close()
        self._streams.clear()

    async def _accept(self, caller):
        if self.mode is Mode.REFUSED:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            return
        try:
            server = await trio.open_tcp_stream(self._upstream, self._port)
        except OSError:
            return
        pair = {caller, server}
        self._streams |= pair
        try:
            async with trio.open_nursery() as nursery:
                cancel = nursery.cancel_scope.cancel
                nursery.start_soon(
                    self._pump, caller, server, _HELD_REQUESTS, cancel
                )
                nursery.start_soon(
                    self._pump, server, caller, _HELD_ANSWERS, cancel
                )
        finally:
            self._streams -= pair
            self._muted -= pair
            await trio.aclose_forcefully(server)

    async def _pump(self, source, sink, holding_modes, cancel):
        try:
            while part := await source.receive_some(PART_BYTES):
                if source in self._muted:
                    continue
                while self.mode in holding_modes:
                    await self._changed.wait()
                if self.mode is Mode.SLOW:
                    await trio.sleep(self.delay_s)
                await sink.send_all(part)
        except _BROKEN:
            # Either side has closed, or the proxy has reset the connection.
            pass
        cancel()
