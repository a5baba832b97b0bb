"""Links: long-lived connections between two processes of the system."""

import dataclasses
import functools
import logging
import struct
from collections.abc import Callable, Iterator
from typing import Any, Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import HornbeamError, WireError
from hornbeampulley.logs import log_event
from hornbeampulley.timeline import HybridClock, Timestamp
from hornbeampulley.wire._frames import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    encode_frame,
)
from hornbeampulley.wire.generated.peer import ttypes

HEARTBEAT_MS: Final = 200
SILENCE_MS: Final = 700
CONNECT_TIMEOUT_MS: Final = 1000
MAX_QUEUED_MESSAGES: Final = 50_000
_MAX_BATCH: Final = 200
_RECEIVE_BYTES: Final = 65_536

# Errors that a handler may raise on a message with missing or wrong fields.
_MESSAGE_ERRORS: Final = (
    HornbeamError,
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
    OverflowError,
    struct.error,
)
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Heartbeat interval and timeout of a link, the same at both ends.

    Attributes
    ----------
    heartbeat_ms : float
        Time between heartbeats.
    silence_ms : float
        Time without any message after which a link is closed.
    idle_heartbeat_ms : float
        Time between heartbeats while nothing else is sent; 0 if it is the
        same. The time allowed for silence grows with it.
    """

    heartbeat_ms: float = HEARTBEAT_MS
    silence_ms: float = SILENCE_MS
    idle_heartbeat_ms: float = 0


# Time without other messages after which a link counts as idle.
IDLE_AFTER_MS: Final = 2000.0
FAST_TIMING: Final = LinkTiming()
SLOW_TIMING: Final = LinkTiming(heartbeat_ms=1000, silence_ms=3500)

MessageHandler = Callable[['Link', Any], None]
HeartbeatMaker = Callable[['Link'], ttypes.Heartbeat]


class Link:
    """One connection to a peer, with heartbeats in both directions.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connected stream.
    hello : Hello
        Identifies this process; sent as the first message.
    make_heartbeat : callable, optional
        Called with the link; returns the next heartbeat to send.
    hybrid : HybridClock, optional
        Clock whose timestamps are sent with each frame and which follows those
        received.
    timing : LinkTiming
        Heartbeat interval and timeout.
    max_hello_bytes : int
        Longest first frame of the peer, which holds its hello.

    Attributes
    ----------
    peer : Hello or None
        The hello of the peer; None until it has arrived.
    opened_ms : float
        Time at which the link was created, in ms.
    last_received_ms : float
        Time at which bytes from the peer last arrived, in ms; at first the
        time of creation.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        hello: ttypes.Hello,
        make_heartbeat: HeartbeatMaker | None = None,
        hybrid: HybridClock | None = None,
        timing: LinkTiming = FAST_TIMING,
        max_hello_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.peer: ttypes.Hello | None = None
        self._stream = stream
        self._decoder = FrameDecoder(max_hello_bytes)
        self._hello = hello
        self._make_heartbeat = make_heartbeat or _make_plain_heartbeat
        self._hybrid = hybrid
        self._timing = timing
        self._clock = Clock(trio.current_time)
        self.opened_ms = self._clock.now()
        self.last_received_ms = self._clock.now()
        self._queue: list[Any] = [hello]
        self._wakeup = trio.Event()
        self._activated = trio.Event()
        self._used_ms = self._clock.now()
        self._active_since_ms = self._clock.now()
        self._promised_ms = timing.heartbeat_ms
        self._cancel_scope = trio.CancelScope()

    @property
    def is_closed(self) -> bool:
        """Whether the link has been closed."""
        return self._cancel_scope.cancel_called

    @property
    def is_idle(self) -> bool:
        """Whether only heartbeats were sent and received lately."""
        return (
            self._timing.idle_heartbeat_ms > 0
            and self._clock.now() - self._used_ms >= IDLE_AFTER_MS
        )

    @property
    def is_silent(self) -> bool:
        """Whether nothing has arrived from the peer within the timeout."""
        now_ms = self._clock.now()
        if self.is_idle:
            allowed = self._promised_ms / self._timing.heartbeat_ms
            allowed_ms = self._timing.silence_ms * max(allowed, 1)
            return now_ms - self.last_received_ms >= allowed_ms
        heard_ms = max(self.last_received_ms, self._active_since_ms)
        return now_ms - heard_ms >= self._timing.silence_ms

    def send(self, *messages: Any) -> None:
        """Queue messages to send; never blocks.

        Parameters
        ----------
        *messages : thrift structs
            Messages to send. The link is closed if more than
            `MAX_QUEUED_MESSAGES` wait, as the peer reads too slowly.
        """
        self._record_use()
        self._enqueue(*messages)

    def _enqueue(self, *messages: Any) -> None:
        self._queue.extend(messages)
        self._wakeup.set()
        if len(self._queue) > MAX_QUEUED_MESSAGES:
            self.close()

    def close(self) -> None:
        """Close the link."""
        self._cancel_scope.cancel()

    async def run(self, handle: MessageHandler) -> None:
        """Send and receive until the link is closed, breaks or times out.

        Parameters
        ----------
        handle : callable
            Called with this link and each message received.
        """
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive, handle)
                    nursery.start_soon(self._transmit)
                    nursery.start_soon(self._send_heartbeats)
        finally:
            self._cancel_scope.cancel()
            await trio.aclose_forcefully(self._stream)

    async def _receive(self, handle: MessageHandler) -> None:
        try:
            while received := await self._stream.receive_some(_RECEIVE_BYTES):
                # Messages that waited while this process or the peer was
                # paused are out of date; both start over with a new link.
                if self.is_silent:
                    break
                self.last_received_ms = self._clock.now()
                for frame in self._decoder.feed(received):
                    self._accept(frame, handle)
        except _MESSAGE_ERRORS as error:
            log_event(
                _log,
                'frame_refused',
                severity=logging.WARNING,
                error=repr(error),
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log_event(_log, 'link_broken', severity=logging.DEBUG)
        self.close()

    def _accept(self, frame: ttypes.Frame, handle: MessageHandler) -> None:
        if self._hybrid is not None and frame.hlc:
            self._hybrid.observe(Timestamp.unpack(frame.hlc))
        for message in frame.messages:
            self._follow(message)
            self._require_hello()
            handle(self, message)
        self._require_hello()

    def _require_hello(self) -> None:
        if self.peer is None:
            raise WireError(
                'a peer sent something else before its hello; it is not of '
                'this version',
            )

    def _follow(self, message: Any) -> None:
        """Update the state of the link by a message of the peer."""
        match message:
            case ttypes.Hello():
                self.peer = message
                self._decoder.max_bytes = MAX_FRAME_BYTES
            case ttypes.Heartbeat():
                usual_ms = self._timing.heartbeat_ms
                self._promised_ms = message.interval_ms or usual_ms
            case _:
                self._record_use()

    def _record_use(self) -> None:
        now_ms = self._clock.now()
        if self.is_idle:
            self._active_since_ms = now_ms
            self._activated.set()
        self._used_ms = now_ms

    async def _transmit(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup = trio.Event()
                await self._flush()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close()
        except _MESSAGE_ERRORS as error:
            # One bad number must not end the process; both sides start over.
            log_event(
                _log,
                'message_unsendable',
                severity=logging.ERROR,
                error=repr(error),
            )
            self.close()

    async def _flush(self) -> None:
        while self._queue:
            batch = self._queue[:_MAX_BATCH]
            del self._queue[:_MAX_BATCH]
            for frame in _encode_batch(batch, self._make_timestamp()):
                await self._stream.send_all(frame)

    def _make_timestamp(self) -> int:
        if self._hybrid is None:
            return 0
        return self._hybrid.tick().pack()

    async def _send_heartbeats(self) -> None:
        self._wakeup.set()
        while not self.is_silent:
            self._activated = trio.Event()
            heartbeat = self._make_heartbeat(self)
            interval_ms = self._timing.heartbeat_ms
            if self.is_idle:
                interval_ms = self._timing.idle_heartbeat_ms
                heartbeat.interval_ms = round(interval_ms)
            self._enqueue(heartbeat)
            with trio.move_on_after(to_seconds(interval_ms)):
                await self._activated.wait()
        log_event(_log, 'link_silent', severity=logging.WARNING)
        self.close()


def _encode_batch(batch: list[Any], hlc: int) -> Iterator[bytes]:
    try:
        whole = encode_frame(batch, hlc)
    except WireError:
        # The batch is too large for one frame.
        for message in batch:
            yield encode_frame([message], hlc)
    else:
        yield whole


def _make_plain_heartbeat(_link: Link) -> ttypes.Heartbeat:
    return ttypes.Heartbeat()


async def open_stream(
    address: str,
    port: int,
    local_address: str,
) -> trio.SocketStream:
    """Connect to a peer from this host's own address.

    Parameters
    ----------
    address, port : str, int
        Address and port on which the peer listens.
    local_address : str
        Address of this host, which the peer checks against its host list.

    Returns
    -------
    trio.SocketStream
        The connected stream.

    Raises
    ------
    OSError
        If it cannot connect within `CONNECT_TIMEOUT_MS`.
    """
    try:
        with trio.fail_after(to_seconds(CONNECT_TIMEOUT_MS)):
            return await trio.open_tcp_stream(
                address,
                port,
                local_address=local_address,
            )
    except trio.TooSlowError as error:
        raise OSError(
            f'{address}:{port} did not answer within {CONNECT_TIMEOUT_MS} ms; '
            'check that the host is up and the port is open',
        ) from error


async def serve_links(
    address: str,
    port: int,
    accept: Callable[[trio.SocketStream], Any],
    is_listed: Callable[[str], bool],
) -> None:
    """Accept connections from peers until cancelled.

    Parameters
    ----------
    address, port : str, int
        Address and port on which to listen.
    accept : async callable
        Called with the stream of each connection from a listed host.
    is_listed : callable
        Called with the address of a peer; tells whether it may connect.
    """
    await trio.serve_tcp(
        functools.partial(_check_listed, accept, is_listed),
        port,
        host=address,
    )


async def _check_listed(
    accept: Callable[[trio.SocketStream], Any],
    is_listed: Callable[[str], bool],
    stream: trio.SocketStream,
) -> None:
    remote = stream.socket.getpeername()[0]
    if not is_listed(remote):
        log_event(_log, 'peer_not_listed', address=remote)
        await stream.aclose()
        return
    await accept(stream)
