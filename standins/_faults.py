"""Fault injection for targets."""

from collections import OrderedDict
from typing import Any, Final

from standins._messages import HttpError, Request, Response, respond_json

UP: Final = 'up'
SILENT: Final = 'silent'
SLOW: Final = 'slow'
# Bounded, since a client port that is reused later must not be mistaken for
# the earlier, closed connection.
MAX_PEERS: Final = 1000

Peer = tuple[Any, ...]


class FaultSwitch:
    """The fault that is injected into a target at present.

    Attributes
    ----------
    slowness : float
        Factor by which the duration of work is multiplied.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self._peers: OrderedDict[Peer, None] = OrderedDict()
        self._silent: set[Peer] = set()

    def record_peer(self, peer: Peer) -> None:
        """Record a connection, identified by the client's address and port."""
        self._peers[peer] = None
        self._peers.move_to_end(peer)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)

    def is_silent(self, peer: Peer) -> bool:
        """Return whether responses on a connection are withheld."""
        return peer in self._silent

    def apply(self, mode: str, controller: Peer) -> None:
        """Switch to a fault mode.

        Parameters
        ----------
        mode : str
            ``up``, ``silent`` (nothing more is sent on the connections known
            now) or ``slow:FACTOR``.
        controller : tuple
            The connection that makes this request; it is not silenced.

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
        """Apply the mode that a request names, or raise status 400."""
        mode = str(request.read_json().get('mode'))
        try:
            self.apply(mode, request.peer)
        except ValueError as error:
            raise HttpError(400, str(error)) from None
        return respond_json({'mode': mode})
