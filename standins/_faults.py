"""Faults that tests switch on in a target."""

from collections import OrderedDict
from typing import Any, Final

from standins._messages import HttpError, Request, Response, respond_json

UP: Final = 'up'
SILENT: Final = 'silent'
SLOW: Final = 'slow'
# More would let a port that was closed and taken again pass for the old
# connection.
MAX_PEERS: Final = 1000

Peer = tuple[Any, ...]


class FaultSwitch:
    """Which fault a target shows now.

    Attributes
    ----------
    slowness : float
        Factor on the time that work takes.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self._peers: OrderedDict[Peer, None] = OrderedDict()
        self._silent: set[Peer] = set()

    def note_peer(self, peer: Peer) -> None:
        """Remember a connection by the client's address and port."""
        self._peers[peer] = None
        self._peers.move_to_end(peer)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)

    def is_silent(self, peer: Peer) -> bool:
        """Tell whether a connection has gone silent."""
        return peer in self._silent

    def apply(self, mode: str, controller: Peer) -> None:
        """Set a fault.

        Parameters
        ----------
        mode : str
            ``up``, ``silent`` (connections open now never send again) or
            ``slow:FACTOR``.
        controller : tuple
            The connection that asks, which stays able to send.

        Raises
        ------
        ValueError
            If the mode is unknown.
        """
        name, _, factor = mode.partition(':')
        if name == UP:
            self.slowness = 1.0
        elif name == SILENT:
            self._silent.update(self._peers)
            self._silent.discard(controller)
        elif name == SLOW:
            self.slowness = float(factor)
        else:
            raise ValueError(f'no fault {mode!r}; use up, silent or slow:10')

    def answer(self, request: Request) -> Response:
        """Set the fault that a request names, or raise status 400."""
        mode = str(request.read_json().get('mode'))
        try:
            self.apply(mode, request.peer)
        except ValueError as error:
            raise HttpError(400, str(error)) from None
        return respond_json({'mode': mode})
