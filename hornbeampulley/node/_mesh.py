"""Links between nodes, opened on demand."""

import functools
import logging
from collections.abc import Callable
from typing import Any, Final, Protocol

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import open_listeners
from hornbeampulley.logs import log_event
from hornbeampulley.node._link_admission import LinkAdmission
from hornbeampulley.node._membership import Membership, NodeAddress
from hornbeampulley.node._settings import HEAD_BUFFER_BYTES
from hornbeampulley.wire import Link, LinkTiming, open_stream
from hornbeampulley.wire.generated.peer import ttypes

LINK_TIMING: Final = LinkTiming(
    heartbeat_ms=150,
    silence_ms=500,
    idle_heartbeat_ms=1000,
)
RETRY_MS: Final = 300.0
UNUSED_MS: Final = 5000.0
_log = logging.getLogger(__name__)


class LinkHandler(Protocol):
    """Handles the messages and the changes of state of links."""

    def receive(self, link: Link, message: Any) -> None:
        """Handle a message of a peer."""

    def on_link_lost(self, link: Link) -> None:
        """Handle the loss of a link."""

    def on_link_ready(self, link: Link) -> None:
        """Handle that a link opened by this node is ready."""


class Mesh:
    """Opens links to other nodes and accepts links from them.

    Parameters
    ----------
    membership : Membership
        Source of the addresses of the nodes.
    make_hello : callable
        Returns the `Hello` message that identifies this node.
    clock : Clock
        Monotonic clock.
    nursery : trio.Nursery
        Runs the tasks of the links.
    admission : LinkAdmission
        Bounds the links whose peers are not known yet.
    """

    def __init__(
        self,
        membership: Membership,
        make_hello: Callable[[], ttypes.Hello],
        clock: Clock,
        nursery: trio.Nursery,
        admission: LinkAdmission,
    ) -> None:
        self.handler: LinkHandler | None = None
        self.admission = admission
        self._membership = membership
        self._make_hello = make_hello
        self._clock = clock
        self._nursery = nursery
        self._links: dict[str, Link] = {}
        self._opened_ms: dict[str, float] = {}
        self._failed_ms: dict[str, float] = {}
        self._used_ms: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of links that this node has opened."""
        return len(self._links)

    def get_link(self, incarnation: str) -> Link | None:
        """Return the link to a node; start to open one if there is none.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.

        Returns
        -------
        Link or None
            None if no link is ready.
        """
        now_ms = self._clock.now()
        self._used_ms[incarnation] = now_ms
        link = self._links.get(incarnation)
        if link is not None:
            return None if link.is_closed else link
        node = self._membership.find(incarnation)
        failed_ms = self._failed_ms.get(incarnation)
        is_paused = failed_ms is not None and now_ms - failed_ms < RETRY_MS
        if node is None or incarnation in self._opened_ms or is_paused:
            return None
        self._opened_ms[incarnation] = now_ms
        self._nursery.start_soon(self._open, node)
        return None

    def has_link(self, incarnation: str) -> bool:
        """Tell whether a link to a node is ready, without opening one.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.

        Returns
        -------
        bool
            True if it is ready.
        """
        link = self._links.get(incarnation)
        return link is not None and not link.is_closed

    def is_opening(self, incarnation: str, within_ms: float) -> bool:
        """Tell whether a link is being opened, and may be ready soon.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.
        within_ms : float
            Time in ms after which it is not expected any more.

        Returns
        -------
        bool
            False also if the link is ready.
        """
        opened_ms = self._opened_ms.get(incarnation)
        if opened_ms is None or incarnation in self._links:
            return False
        return self._clock.now() - opened_ms < within_ms

    def sweep(self) -> None:
        """Close the links that were not used for `UNUSED_MS`."""
        now_ms = self._clock.now()
        for incarnation, link in tuple(self._links.items()):
            if now_ms - self._used_ms.get(incarnation, 0) > UNUSED_MS:
                link.close()
        for moments_ms in (self._used_ms, self._failed_ms):
            _drop_older(moments_ms, now_ms - UNUSED_MS)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a link that a peer has opened.

        Parameters
        ----------
        stream : trio.SocketStream
            Accepted connection.
        """
        link = Link(
            stream,
            self._make_hello(),
            timing=LINK_TIMING,
            max_hello_bytes=self.admission.max_hello_bytes,
        )
        self.admission.admit(link, stream.socket)
        try:
            await link.run(self._receive_accepted)
        finally:
            self.admission.release(link)
            if link.peer is not None:
                self.handler.on_link_lost(link)

    def _receive_accepted(self, link: Link, message: Any) -> None:
        if isinstance(message, ttypes.Hello):
            self.admission.identify(link)
        self.handler.receive(link, message)

    async def _open(self, node: NodeAddress) -> None:
        incarnation = node.incarnation
        try:
            stream = await open_stream(
                node.peers.address,
                node.peers.port,
                self._make_hello().address,
            )
        except OSError as error:
            self._opened_ms.pop(incarnation, None)
            self._failed_ms[incarnation] = self._clock.now()
            log_event(_log, 'link_failed', peer=node.host, error=error)
            return
        link = Link(stream, self._make_hello(), timing=LINK_TIMING)
        handle = functools.partial(self._receive, incarnation)
        try:
            await link.run(handle)
        finally:
            self._lose(incarnation, link, node)

    def _receive(self, incarnation: str, link: Link, message: Any) -> None:
        if isinstance(message, ttypes.Hello):
            if message.incarnation != incarnation:
                log_event(_log, 'link_misdirected', peer=message.host)
                link.close()
                return
            self._opened_ms.pop(incarnation, None)
            self._links[incarnation] = link
            log_event(_log, 'link_opened', peer=message.host)
            self.handler.on_link_ready(link)
            return
        self.handler.receive(link, message)

    def _lose(self, incarnation: str, link: Link, node: NodeAddress) -> None:
        self._opened_ms.pop(incarnation, None)
        self._failed_ms[incarnation] = self._clock.now()
        if self._links.get(incarnation) is link:
            self._links.pop(incarnation)
            log_event(
                _log,
                'link_lost',
                severity=logging.WARNING,
                peer=node.host,
            )
            self.handler.on_link_lost(link)


async def serve_peers(mesh: Mesh, endpoint: Endpoint) -> None:
    """Accept the links of peers until cancelled.

    Parameters
    ----------
    mesh : Mesh
        Serves the links.
    endpoint : Endpoint
        Address and port to listen on.
    """
    listeners = await open_listeners(
        endpoint.address,
        endpoint.port,
        mesh.admission.max_backlog,
        HEAD_BUFFER_BYTES,
    )
    await trio.serve_listeners(mesh.accept, listeners)


def _drop_older(moments_ms: dict[str, float], limit_ms: float) -> None:
    old = [name for name in moments_ms if moments_ms[name] < limit_ms]
    for name in old:
        moments_ms.pop(name)
