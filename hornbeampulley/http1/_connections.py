"""Client connections to servers, one request at a time."""

import dataclasses
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import HornbeamError
from hornbeampulley.http1._buffers import SMALL_BYTES, Buffer
from hornbeampulley.http1._messages import (
    Request,
    ResponseHead,
    encode_request_head,
    split_message,
)
from hornbeampulley.http1._responses import (
    MessageBoundary,
    Part,
    ResponseBrokenError,
    ResponseParser,
)
from hornbeampulley.http1._sockets import (
    connect,
    has_failed,
    has_unacknowledged,
    is_readable,
)

RECEIVE_BYTES: Final = 65_536
# A large body must not be received before there is memory for it.
RECEIVE_HEAD_BYTES: Final = 16_384
# A response without framing that has ended is held back for this long, while the
# rest of its request is sent and acknowledged.
SEND_GRACE_MS: Final = 1000.0
ACKNOWLEDGE_PAUSE_MS: Final = 5.0
_CONNECTION_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)


class NotConnectedError(HornbeamError):
    """No connection could be opened, so no part of the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Timeouts and limits of the connections to a server.

    Attributes
    ----------
    connect_timeout_ms : float
        Maximum time to open a connection, in ms.
    idle_ms : float
        How long to keep an idle connection, in ms, if its server sends no
        keep-alive timeout.
    max_idle : int
        Maximum number of idle connections per server.
    """

    connect_timeout_ms: float = 700
    idle_ms: float = 4000
    max_idle: int = 64


class Connection:
    """A persistent connection to a server.

    Parameters
    ----------
    stream : trio.SocketStream
        An open TCP connection.
    clock : Clock
        Clock for the expiry of the connection.

    Attributes
    ----------
    uses : int
        Number of requests sent on the connection.
    expires_ms : float
        Time of `clock`, in ms, from which an idle connection must not be
        reused.
    answered_ids : set of bytes
        Ids of requests that were answered here and may be sent again. They need
        another connection: should the server repeat its answer, it could not be
        told from the next one.
    """

    def __init__(self, stream: trio.SocketStream, clock: Clock) -> None:
        self.uses = 0
        self.expires_ms = 0.0
        self.answered_ids: set[bytes] = set()
        self._stream = stream
        self._clock = clock
        self._parser = ResponseParser()
        self._is_request_sent = True
        self._send_ended = trio.Event()
        self._send_ended.set()
        self._is_broken = False
        self._failure = ''

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        if self._is_broken or not self._is_request_sent:
            return False
        parser = self._parser
        return parser.is_persistent and parser.is_idle and not parser.parts

    @property
    def is_unframed(self) -> bool:
        """Whether the last response ends with the connection."""
        return self._parser.is_unframed

    @property
    def has_input(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""
        return is_readable(self._stream)

    @property
    def is_stale(self) -> bool:
        """Whether an idle connection has expired or has unexpected input.

        Input means that the server closed the connection or sent
        unsolicited bytes.
        """
        return self._clock.now() >= self.expires_ms or self.has_input

    async def send(self, request: Request) -> None:
        """Send a request.

        May run concurrently with `read_head` and `read_body`, as a server
        may respond before it has read the whole request.

        Parameters
        ----------
        request : Request
            The request.

        Raises
        ------
        ResponseBrokenError
            If the connection breaks while the request is sent.
        """
        self._is_request_sent = False
        self._send_ended = trio.Event()
        self.uses += 1
        try:
            await self._send_parts(request)
        except _CONNECTION_ERRORS as error:
            self._is_broken = True
            raise ResponseBrokenError(
                'the connection to a target broke while a request was sent; '
                'look at the log of the target',
            ) from error
        finally:
            self._send_ended.set()

    async def read_head(self) -> ResponseHead:
        """Read the head of the next final response.

        Returns
        -------
        ResponseHead
            Status and headers.

        Raises
        ------
        ResponseBrokenError
            If the connection breaks or ends before the head is complete.
        """
        while True:
            part = await self._read_part()
            if isinstance(part, ResponseHead):
                return part

    async def read_body(self) -> bytes:
        """Read the next part of the response body.

        Returns
        -------
        bytes
            The next bytes; empty at the end of the response.

        Raises
        ------
        ResponseBrokenError
            If the connection breaks or ends before the response is
            complete.
        """
        part = await self._read_part()
        if part is MessageBoundary.END:
            return b''
        if isinstance(part, bytes):
            return part
        raise ResponseBrokenError(
            'a response began within another; look at the log of the target',
        )

    async def read_full_body(
        self, max_bytes: int, buffer: Buffer | None = None
    ) -> bytes:
        """Read the rest of the response body.

        Parameters
        ----------
        max_bytes : int
            Maximum length of the body.
        buffer : Buffer, optional
            Counts the bytes that are held; the rest is not read before there
            is room for it.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        ResponseBrokenError
            If the body is incomplete or longer than `max_bytes`, or if there
            can't be room for it.
        """
        buffer = buffer or Buffer()
        body = bytearray()
        await self._reserve(max_bytes, buffer)
        while part := await self.read_body():
            body += part
            if len(body) > max_bytes:
                raise ResponseBrokenError(
                    f'a response is longer than {max_bytes} bytes; '
                    'raise the limit or shorten the response',
                )
            declared = self._parser.declared_bytes
            expected = max_bytes if declared is None else declared
            await buffer.hold(len(body), min(expected, max_bytes))
        buffer.resize(len(body))
        return bytes(body)

    def close(self) -> None:
        """Close the connection immediately."""
        self._is_broken = True
        self._parser.close()
        self._stream.socket.close()

    async def _send_parts(self, request: Request) -> None:
        head = encode_request_head(request)
        for part in split_message(head, request.body):
            await self._stream.send_all(part)
        self._is_request_sent = True

    async def _reserve(self, max_bytes: int, buffer: Buffer) -> None:
        """Wait for room for a body that is known to be large."""
        declared = self._parser.declared_bytes or 0
        if SMALL_BYTES < declared <= max_bytes:
            await buffer.hold(declared, declared)

    async def _read_part(self) -> Part:
        while not self._parser.parts:
            if self._failure:
                raise ResponseBrokenError(self._failure)
            await self._receive()
        return self._parser.parts.popleft()

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive_some(
                RECEIVE_HEAD_BYTES if self._parser.is_in_head else RECEIVE_BYTES
            )
        except _CONNECTION_ERRORS as error:
            self._is_broken = True
            raise ResponseBrokenError(
                'the connection to a target was reset; '
                'look at the log of the target',
            ) from error
        if not received and not self._parser.is_idle:
            await self._wait_for_send()
        try:
            self._feed(received)
        except ResponseBrokenError as error:
            self._is_broken = True
            self._failure = str(error)

    async def _wait_for_send(self) -> None:
        """Wait until the server has received the request, or sending has failed.

        A reset is reported only once, either to the sender or to the reader, which
        then sees a regular end of the connection.
        """
        if not self._parser.is_unframed:
            return
        is_acknowledged = False
        with trio.move_on_after(to_seconds(SEND_GRACE_MS)):
            await self._send_ended.wait()
            is_acknowledged = await self._wait_until_acknowledged()
        self._is_request_sent = self._is_request_sent and is_acknowledged

    async def _wait_until_acknowledged(self) -> bool:
        # The kernel does not signal that its send buffer is empty.
        while True:
            if has_failed(self._stream):
                return False
            if not has_unacknowledged(self._stream):
                return True
            await trio.sleep(to_seconds(ACKNOWLEDGE_PAUSE_MS))

    def _feed(self, received: bytes) -> None:
        if received:
            self._parser.feed(received)
            return
        self._is_broken = True
        self._parser.end(is_request_sent=self._is_request_sent)
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
        Address and port of the server.
    settings : ConnectionSettings
        The connect timeout.
    clock : Clock
        Clock for the expiry of the connection.

    Returns
    -------
    Connection
        The new connection.

    Raises
    ------
    NotConnectedError
        If the connection can't be opened.
    """
    try:
        stream = await connect(
            endpoint.address,
            endpoint.port,
            settings.connect_timeout_ms,
        )
    except (OSError, ValueError) as error:
        # An address that is none raises ValueError.
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
    """Send a request and read its complete response.

    Parameters
    ----------
    connection : Connection
        An idle connection.
    request : Request
        The request.
    max_bytes : int
        Maximum length of the response body.
    timeout_ms : float
        Maximum time for the whole exchange, in ms.

    Returns
    -------
    ResponseHead, bytes
        Head and body of the response.

    Raises
    ------
    ResponseBrokenError
        If no complete response arrives in time.
    """
    try:
        with trio.fail_after(to_seconds(timeout_ms)):
            await connection.send(request)
            head = await connection.read_head()
            return head, await connection.read_full_body(max_bytes)
    except trio.TooSlowError as error:
        raise ResponseBrokenError(
            f'no whole response within {timeout_ms:.0f} ms; '
            'check the load of the server',
        ) from error
