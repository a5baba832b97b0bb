"""Gossip protocol between nodes over UDP."""

import logging
import random
from collections.abc import Iterable
from typing import Any, Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import HornbeamError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import DirectoryUpdate
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._store_view import Position, StoreView
from hornbeampulley.wire import (
    decode_body,
    encode_frame,
    read_directory_update,
    write_directory_update,
)
from hornbeampulley.wire.generated.peer import ttypes

ROUND_MS: Final = 250.0
MAX_DATAGRAM: Final = 65_000
_LENGTH_BYTES: Final = 4
_MALFORMED: Final = (
    HornbeamError,
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
)
_log = logging.getLogger(__name__)


class Gossip:
    """Sends the known nodes to a few peers every `ROUND_MS`.

    Parameters
    ----------
    membership : Membership
        Known nodes, sent and updated.
    store_view : StoreView
        Its position is sent along.
    endpoint : Endpoint
        Address and port of this node; all nodes use the same port.
    generator : random.Random
        Chooses seeds.

    Attributes
    ----------
    seeds : tuple of Endpoint
        Configured nodes, contacted even while they are not known as live.
    """

    def __init__(
        self,
        membership: Membership,
        store_view: StoreView,
        endpoint: Endpoint,
        generator: random.Random,
    ) -> None:
        self.seeds: tuple[Endpoint, ...] = ()
        self._membership = membership
        self._store_view = store_view
        self._endpoint = endpoint
        self._generator = generator
        self._socket: trio.socket.SocketType | None = None

    async def run(self) -> None:
        """Gossip until cancelled."""
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        with sock:
            await sock.bind((self._endpoint.address, self._endpoint.port))
            self._socket = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_all)
                await self._send_rounds()

    async def send_round(self) -> None:
        """Renew the record of this host and send an update to some peers."""
        self._membership.refresh()
        update = write_directory_update(
            self._membership.build_update(), frozenset()
        )
        for address in self._pick_addresses():
            await self._send(address, update)

    async def _send_rounds(self) -> None:
        while True:
            await self.send_round()
            await trio.sleep(to_seconds(ROUND_MS))

    def _pick_addresses(self) -> set[str]:
        picked = {node.peers.address for node in self._membership.pick_peers()}
        known = {node.peers.address for node in self._membership.live}
        unknown = [
            seed.address for seed in self.seeds if seed.address not in known
        ]
        if unknown:
            picked.add(self._generator.choice(unknown))
        return picked

    async def _receive_all(self) -> None:
        while True:
            try:
                received, sender = await self._socket.recvfrom(MAX_DATAGRAM)
            except OSError as error:
                # The receiver of an earlier datagram was unreachable, which
                # the system reports on the next call.
                log_event(
                    _log,
                    'datagram_failed',
                    severity=logging.DEBUG,
                    error=error,
                )
                continue
            await self._handle_datagram(received, sender[0])

    async def _handle_datagram(self, received: bytes, address: str) -> None:
        try:
            frame = decode_body(received[_LENGTH_BYTES:])
            for message in frame.messages:
                await self._handle_message(message, address)
        except _MALFORMED as error:
            log_event(
                _log,
                'datagram_refused',
                severity=logging.WARNING,
                sender=address,
                error=repr(error),
            )

    async def _handle_message(self, message: Any, address: str) -> None:
        match message:
            case ttypes.DirectoryNews():
                await self._handle_directory_update(message, address)
            case ttypes.Position():
                self._membership.positions[address] = Position(
                    message.routing_version,
                    message.revision,
                )

    async def _handle_directory_update(
        self,
        message: ttypes.DirectoryNews,
        address: str,
    ) -> None:
        update = read_directory_update(message)
        is_new = any(
            not self._membership.has_host(record.host)
            for record in update.records
        )
        missing = self._membership.apply_update(update)
        if is_new:
            self._membership.refresh()
            full_update = self._membership.build_full_update()
            await self._send(
                address, write_directory_update(full_update, missing)
            )
        elif message.wanted or missing:
            answer = DirectoryUpdate((), ())
            if message.wanted:
                answer = self._membership.build_update(message.wanted)
            await self._send(address, write_directory_update(answer, missing))

    async def _send(self, address: str, update: ttypes.DirectoryNews) -> None:
        position = self._store_view.position
        frame = encode_frame(
            _make_messages(update, position),
        )
        try:
            await self._socket.sendto(frame, (address, self._endpoint.port))
        except OSError as error:
            log_event(
                _log,
                'datagram_failed',
                severity=logging.DEBUG,
                receiver=address,
                error=error,
            )


def _make_messages(
    update: ttypes.DirectoryNews,
    position: Position,
) -> Iterable[Any]:
    return (
        update,
        ttypes.Position(
            revision=position.targets,
            routing_version=position.routing,
        ),
    )
