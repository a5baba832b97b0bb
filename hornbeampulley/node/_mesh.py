"""Links between nodes, opened on demand."""

import functools
import logging
import random
from collections.abc import Callable
from typing import Any, Final, Protocol

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.logs import log_event
from hornbeampulley.node._membership import Membership, NodeAddress
from hornbeampulley.wire import Link, LinkTiming, open_stream
from hornbeampulley.wire.generated.peer import ttypes

LINK_TIMING: Final = LinkTiming(heartbeat_ms=150, silence_ms=500)
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
    """

    def __init__(
        self,
        membership: Membership,
        make_hello: Callable[[], ttypes.Hello],
        clock: Clock,
        nursery: trio.Nursery,
    ) -> None:
        self.handler: LinkHandler | None = None
        self._membership = membership
        self._make_hello = make_hello
        self._clock = clock
        self._nursery = nursery
        self._links: dict[str, Link] = {}
        self._opening: set[str] = set()
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
        if node is None or incarnation in self._opening or is_paused:
            return None
        self._opening.add(incarnation)
        self._nursery.start_soon(self._open, node)
        return None

    def sweep(self) -> None:
        """Close the links that were not used for `UNUSED_MS`."""
        now_ms = self._clock.now()
        for incarnation, link in tuple(self._links.items()):
            if now_ms - self._used_ms.get(incarnation, 0) > UNUSED_MS:
                link.close()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a link that a peer has opened.

        Parameters
        ----------
        stream : trio.SocketStream
            Accepted connection.
        """
        link = Link(stream, self._make_hello(), timing=LINK_TIMING)
        try:
            await link.run(self.handler.receive)
        finally:
            if link.peer is not None:
                self.handler.on_link_lost(link)

    async def _open(self, node: NodeAddress) -> None:
        incarnation = node.incarnation
        try:
            stream = await open_stream(
                node.peers.address,
                node.peers.port,
                self._make_hello().address,
            )
        except OSError as error:
            self._failed_ms[incarnation] = self._clock.now()
            log_event(_log, 'link_failed', peer=node.host, error=error)
            return
        finally:
            self._opening.discard(incarnation)
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
            self._links[incarnation] = link
            log_event(_log, 'link_opened', peer=message.host)
            self.handler.on_link_ready(link)
            return
        self.handler.receive(link, message)

    def _lose(self, incarnation: str, link: Link, node: NodeAddress) -> None:
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
    await trio.serve_tcp(mesh.accept, endpoint.port, host=endpoint.address)


def make_generator(seed: str) -> random.Random:
    """Make a random generator for this run.

    Parameters
    ----------
    seed : str
        Name of the run.

    Returns
    -------
    random.Random
        Generator seeded with the name.
    """
    return random.Random(seed)
