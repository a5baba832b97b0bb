"""Bounds the links whose peers have not identified themselves.

Anything that reaches the port of peers can open a connection. Until its hello
has arrived, a link counts as one of the connections of the process, and the
oldest ones give way.
"""

from typing import Final

import trio

from hornbeampulley.http1 import (
    CONNECTION_BYTES,
    Clients,
    set_receive_buffer,
)
from hornbeampulley.wire import Link

# What the kernel may hold for a peer, which doubles it: frames of 4 MiB arrive at
# 25 MB a second at a round trip of 10 ms.
PEER_BUFFER_BYTES: Final = 131_072


class PendingLink:
    """An accepted link without a hello, as a client that may be closed.

    Parameters
    ----------
    link : Link
        The link.
    sock : trio socket
        Its connection.
    admission : LinkAdmission
        Counts the link.

    Attributes
    ----------
    sock : trio socket
        Its connection.
    progress_s : float
        Time, in s, at which it was accepted.
    """

    def __init__(
        self,
        link: Link,
        sock: trio.socket.SocketType,
        admission: 'LinkAdmission',
    ) -> None:
        self.sock = sock
        self.progress_s = trio.current_time()
        self._link = link
        self._admission = admission

    def measure_reclaimable(self) -> int:
        """Return how many bytes are given back when it is closed.

        Returns
        -------
        int
            Number of bytes.
        """
        return self._admission.link_bytes

    def evict(self) -> None:
        """Close the link and count it no more."""
        self._link.close()
        self._admission.release(self._link)


class LinkAdmission:
    """Counts and bounds the links without a hello.

    Parameters
    ----------
    clients : Clients
        Connections of the process and what they hold.
    max_count : int
        Maximum number of links without a hello.
    max_hello_bytes : int
        Longest frame before a hello.

    Attributes
    ----------
    max_hello_bytes : int
        Longest frame before a hello.
    evicted : int
        Number of links that were closed, as too many had no hello.
    """

    def __init__(
        self, clients: Clients, max_count: int, max_hello_bytes: int
    ) -> None:
        self.max_hello_bytes = max_hello_bytes
        self.evicted = 0
        self._clients = clients
        self._max_count = max_count
        self._pending: dict[Link, PendingLink] = {}

    @property
    def link_bytes(self) -> int:
        """Most bytes that a link may hold until its hello has arrived."""
        return CONNECTION_BYTES + self.max_hello_bytes

    @property
    def pending_count(self) -> int:
        """Number of links without a hello."""
        return len(self._pending)

    @property
    def max_backlog(self) -> int:
        """Number of connections for which there is memory."""
        return self._clients.max_count

    def admit(self, link: Link, sock: trio.socket.SocketType) -> None:
        """Count a link that was accepted; older ones may have to give way.

        Parameters
        ----------
        link : Link
            The link.
        sock : trio socket
            Its connection.
        """
        if len(self._pending) >= self._max_count:
            self._evict_oldest()
        pending = PendingLink(link, sock, self)
        self._pending[link] = pending
        self._clients.members.add(pending)
        self._clients.held_bytes += self.link_bytes
        self._clients.relieve()

    def identify(self, link: Link) -> None:
        """Let a link whose hello has arrived receive long frames.

        Parameters
        ----------
        link : Link
            The link.
        """
        pending = self.release(link)
        if pending is not None:
            set_receive_buffer(pending.sock, PEER_BUFFER_BYTES)

    def release(self, link: Link) -> PendingLink | None:
        """Count a link no more.

        Parameters
        ----------
        link : Link
            The link.

        Returns
        -------
        PendingLink or None
            What was counted; None if it was not.
        """
        pending = self._pending.pop(link, None)
        if pending is not None:
            self._clients.members.discard(pending)
            self._clients.held_bytes -= self.link_bytes
        return pending

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._pending.values()))
        oldest.evict()
        self.evicted += 1
