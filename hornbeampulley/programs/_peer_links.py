"""Links of an agent to agents of other hosts, opened on demand."""

import logging
from collections.abc import Callable
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.programs._process import Process

# Links that are unused for this time are closed.
IDLE_TIMEOUT_MS: Final = 10_000.0
# Limit of messages queued for a peer while its link is being opened.
MAX_QUEUED: Final = 200
_log = logging.getLogger(__name__)


class PeerLinks:
    """Links to other agents by address.

    Parameters
    ----------
    process : Process
        The running agent process.
    nursery : trio.Nursery
        Nursery that runs the links.
    handle : callable
        Called with the link and the message for each message of a peer.
    """

    def __init__(
        self,
        process: Process,
        nursery: trio.Nursery,
        handle: Callable[[wire.Link, Any], None],
    ) -> None:
        self._process = process
        self._nursery = nursery
        self._handle = handle
        self._clock = Clock(trio.current_time)
        self._links: dict[str, wire.Link] = {}
        self._queued: dict[str, list[Any]] = {}
        self._last_used_ms: dict[str, float] = {}

    def add(self, link: wire.Link) -> None:
        """Use a link that a peer has opened.

        Parameters
        ----------
        link : Link
            Link to the peer, after its hello.
        """
        self._links.setdefault(link.peer.address, link)

    def remove(self, link: wire.Link) -> None:
        """Remove a closed link.

        Parameters
        ----------
        link : Link
            The closed link.
        """
        if link.peer is not None and self._links.get(link.peer.address) is link:
            self._links.pop(link.peer.address)

    def send(self, address: str, message: Any) -> None:
        """Send a message, opening a link if there is none.

        Parameters
        ----------
        address : str
            Address of the peer's host.
        message : thrift struct
            Message to send; dropped if the peer cannot be reached.
        """
        self._last_used_ms[address] = self._clock.now()
        link = self._links.get(address)
        if link is not None:
            link.send(message)
            return
        is_opening = address in self._queued
        queued = self._queued.setdefault(address, [])
        if len(queued) < MAX_QUEUED:
            queued.append(message)
        if not is_opening:
            self._nursery.start_soon(self._open, address)

    def close_idle(self) -> None:
        """Close the links that have not been used for ``IDLE_TIMEOUT_MS``."""
        limit_ms = self._clock.now() - IDLE_TIMEOUT_MS
        for address, link in tuple(self._links.items()):
            if self._last_used_ms.get(address, 0) < limit_ms:
                self._last_used_ms.pop(address, None)
                if (
                    link.last_received_ms < limit_ms
                    or link.opened_ms < limit_ms
                ):
                    link.close()

    async def _open(self, address: str) -> None:
        settings = self._process.settings
        try:
            stream = await wire.open_stream(
                address,
                settings.ports.agent_peer,
                settings.host.address,
            )
        except OSError as error:
            self._queued.pop(address, None)
            log_event(
                _log,
                'peer_unreachable',
                severity=logging.DEBUG,
                error=error,
            )
            return
        link = wire.Link(
            stream,
            self._process.make_hello(settings.ports.agent_peer),
            hybrid=self._process.hybrid,
            timing=wire.SLOW_TIMING,
        )
        link.send(*self._queued.pop(address, ()))
        try:
            await link.run(self._handle)
        finally:
            self.remove(link)
