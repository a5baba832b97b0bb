"""Handler, limits and state of an HTTP server."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from hornbeampulley.http1._buffers import BufferBudget
from hornbeampulley.http1._clients import Client
from hornbeampulley.http1._messages import Request
from hornbeampulley.http1._replies import Reply
from hornbeampulley.http1._requests import MessageLimits
from hornbeampulley.http1._turns import ParsingTurns

Handler = Callable[[Request, Reply], Awaitable[None]]
"""Handles a request; cancelled when the caller disconnects."""


class ServedConnection(Client, Protocol):
    """Server side of a connection."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, not even in part."""

    def close(self) -> None:
        """Close the connection immediately."""


@dataclasses.dataclass(slots=True)
class ServerOptions:
    """Handler, limits and state of a server.

    Attributes
    ----------
    handle : callable
        Handler of requests.
    read_limits : callable
        Returns the current limits; called for each new connection.
    is_ending : bool
        Whether connections close after the current response, as the
        process shuts down.
    max_connections : int
        Maximum number of connections; for further ones, those that hold the
        most for the longest without progress are closed.
    connections : set of ServedConnection
        Open connections.
    read_budget : callable
        Returns the budget of memory for the bodies of requests; called for
        each new connection.
    receive_buffer_bytes : int
        Received bytes that the kernel holds for a connection; 0 for its
        default, which grows.
    turns : ParsingTurns
        Turns of the process for requests in small pieces.
    """

    handle: Handler
    read_limits: Callable[[], MessageLimits] = MessageLimits
    is_ending: bool = False
    max_connections: int = 1000
    connections: set['ServedConnection'] = dataclasses.field(
        default_factory=set,
    )
    read_budget: Callable[[], BufferBudget] = BufferBudget
    receive_buffer_bytes: int = 0
    turns: ParsingTurns = dataclasses.field(default_factory=ParsingTurns)
