"""What all connections of clients share: memory, turns and their bounds."""

from collections.abc import Callable
from typing import Final

from hornbeampulley.http1 import (
    BufferBudget,
    Handler,
    MessageLimits,
    ParsingTurns,
    ServerOptions,
)
from hornbeampulley.node._counters import Counters
from hornbeampulley.node._limit_reports import LimitCount, LimitReports
from hornbeampulley.node._link_admission import LinkAdmission
from hornbeampulley.node._settings import HEAD_BUFFER_BYTES, NodeSettings

# Requests to the endpoints beside that of callers have no body.
NO_BODIES: Final = MessageLimits(max_body_bytes=0)


class ClientLimits:
    """Limits of the connections to all ports of a node.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    counters : Counters
        Shows what is held and how often limits have acted.

    Attributes
    ----------
    buffers : BufferBudget
        Memory for messages and connections.
    admission : LinkAdmission
        Links without a hello.
    reports : LimitReports
        Log lines on limits that have acted.
    """

    def __init__(self, settings: NodeSettings, counters: Counters) -> None:
        limits = settings.limits
        self.buffers = BufferBudget(settings.resources.buffer_bytes)
        self.admission = LinkAdmission(
            self.buffers.clients,
            min(
                limits.max_pending_links,
                settings.bounds.max_directory_connections,
            ),
            limits.max_hello_bytes,
        )
        self._turns = ParsingTurns(limits.part_bytes)
        self.reports = LimitReports(
            (
                LimitCount('parts_delayed', lambda: self._turns.waits),
                LimitCount('links_evicted', lambda: self.admission.evicted),
            )
        )
        counters.watch_held(lambda: self.buffers)
        counters.watch_limits(self._turns, self.admission)

    def make_options(
        self,
        handle: Handler,
        max_connections: int,
        read_limits: Callable[[], MessageLimits] = lambda: NO_BODIES,
        receive_buffer_bytes: int = HEAD_BUFFER_BYTES,
    ) -> ServerOptions:
        """Make the options of the server of one port.

        Parameters
        ----------
        handle : callable
            Handles requests.
        max_connections : int
            Maximum number of connections.
        read_limits : callable
            Returns the limits of requests; by default they have no bodies.
        receive_buffer_bytes : int
            Received bytes that the kernel holds for a connection.

        Returns
        -------
        ServerOptions
            Options whose connections count with those of all other ports.
        """
        return ServerOptions(
            handle,
            read_limits,
            max_connections=max_connections,
            read_budget=lambda: self.buffers,
            receive_buffer_bytes=receive_buffer_bytes,
            turns=self._turns,
        )
