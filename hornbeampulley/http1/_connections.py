"""Connections to targets: one request at a time, kept for the next."""

import dataclasses
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._messages import Request, ResponseHead, encode_request
from hornbeampulley.http1._responses import (
    Mark,
    Part,
    ResponseBrokenError,
    ResponseParser,
)
from hornbeampulley.http1._sockets import connect, has_input

RECEIVE_BYTES: Final = 65_536
_BROKEN: Final = (trio.BrokenResourceError, trio.ClosedResourceError)


class NotConnectedError(HornbeamError):
    """No connection could be opened, so that nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Bounds of the connections to one server.

    Attributes
    ----------
    connect_timeout_ms : float
        Longest time to open a connection.
    idle_ms : float
        How long a connection is kept if its server names no time.
    max_idle : int
        Idle connections kept for each server.
    """

    connect_timeout_ms: float = 700
    idle_ms: float = 4000
    max_idle: int = 64


class Connection:
    """One connection to a server.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    clock : Clock
        Time.

    Attributes
    ----------
    uses : int
        Requests sent on it.
    expires_ms : float
        When it must not be used any more.
    """

    def __init__(self, stream: trio.SocketStream, clock: Clock) -> None:
        self.uses = 0
        self.expires_ms = 0.0
        self._stream = stream
        self._clock = clock
        self._parser = ResponseParser()
        self._is_sent = True
        self._is_broken = False
        self._error: ResponseBrokenError | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        if self._is_broken or not self._is_sent:
            return False
        parser = self._parser
        return parser.is_persistent and parser.is_idle and not parser.parts

    @property
    def is_stale(self) -> bool:
        """Whether an idle connection has expired or its server spoke."""
        return self._clock.now() >= self.expires_ms or has_input(self._stream)

    async def send(self, request: Request) -> None:
        """Send a request; run it beside the reading of the response.

        Parameters
        ----------
        request : Request
            The next request.

        Raises
        ------
        ResponseBrokenError
            If the connection breaks.
        """
        self._is_sent = False
        self.uses += 1
        try:
            await self._stream.send_all(encode_request(request))
        except _BROKEN as error:
            self._is_broken = True
            raise ResponseBrokenError(
                'the connection to a target broke while a request was sent; '
                'look at the log of the target',
            ) from error
        self._is_sent = True

    async def read_head(self) -> ResponseHead:
        """Read the head of the next response.

        Returns
        -------
        ResponseHead
            Of a final response.

        Raises
        ------
        ResponseBrokenError
            If the connection ends before.
        """
        while True:
            part = await self._read_part()
            if isinstance(part, ResponseHead):
                return part

    async def read_body(self) -> bytes:
        """Read the next part of the body.

        Returns
        -------
        bytes
            Empty once the response is whole.

        Raises
        ------
        ResponseBrokenError
            If the response ends early.
        """
        part = await self._read_part()
        if part is Mark.END:
            return b''
        if isinstance(part, bytes):
            return part
        raise ResponseBrokenError(
            'a response began within another; look at the log of the target',
        )

    async def read_whole(self, max_bytes: int) -> bytes:
        """Read all of the body.

        Parameters
        ----------
        max_bytes : int
            Longest body that is read.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        ResponseBrokenError
            If it ends early or is too long.
        """
        body = bytearray()
        while part := await self.read_body():
            body += part
            if len(body) > max_bytes:
                raise ResponseBrokenError(
                    f'a response is longer than {max_bytes} bytes; '
                    'raise the limit or shorten the response',
                )
        return bytes(body)

    def close(self) -> None:
        """Close the connection at once."""
        self._is_broken = True
        self._stream.socket.close()

    async def _read_part(self) -> Part:
        while not self._parser.parts:
            if self._error is not None:
                raise self._error
            await self._receive()
        return self._parser.parts.popleft()

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive_some(RECEIVE_BYTES)
        except _BROKEN as error:
            self._is_broken = True
            raise ResponseBrokenError(
                'the connection to a target was reset; '
                'look at the log of the target',
            ) from error
        try:
            self._take(received)
        except ResponseBrokenError as error:
            self._is_broken = True
            self._error = error

    def _take(self, received: bytes) -> None:
        if received:
            self._parser.feed(received)
            return
        self._is_broken = True
        self._parser.end()
        if not self._parser.parts:
            raise ResponseBrokenError(
                'a target closed the connection without a response; '
                'look at the log of the target',
            )


async def open_connection(
    endpoint: Endpoint,
    settings: ConnectionSettings,
    clock: Clock,
) -> Connection:
    """Open a connection to a server.

    Parameters
    ----------
    endpoint : Endpoint
        Where it listens.
    settings : ConnectionSettings
        Bounds.
    clock : Clock
        Time.

    Returns
    -------
    Connection
        Not used yet.

    Raises
    ------
    NotConnectedError
        If it can't be opened.
    """
    try:
        stream = await connect(
            endpoint.address,
            endpoint.port,
            settings.connect_timeout_ms,
        )
    except OSError as error:
        raise NotConnectedError(
            f'no connection to {endpoint}: {error}; check that it is up',
        ) from error
    return Connection(stream, clock)


async def exchange(
    connection: Connection,
    request: Request,
    max_bytes: int,
    timeout_ms: float,
) -> tuple[ResponseHead, bytes]:
    """Send a request and read its whole response.

    Parameters
    ----------
    connection : Connection
        An idle connection.
    request : Request
        What to send.
    max_bytes : int
        Longest body that is read.
    timeout_ms : float
        Longest time for all of it.

    Returns
    -------
    ResponseHead, bytes
        The response.

    Raises
    ------
    ResponseBrokenError
        If it is not whole in time.
    """
    try:
        with trio.fail_after(to_seconds(timeout_ms)):
            await connection.send(request)
            head = await connection.read_head()
            return head, await connection.read_whole(max_bytes)
    except trio.TooSlowError as error:
        raise ResponseBrokenError(
            f'no whole response within {timeout_ms:.0f} ms; '
            'check the load of the server',
        ) from error
