"""Idle connections to servers, kept for the next requests."""

import re
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1._connections import (
    Connection,
    ConnectionSettings,
    open_connection,
)

KEEP_ALIVE_MARGIN_MS: Final = 400.0
_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*(\d+)')


class ConnectionPool:
    """Idle connections by server.

    Parameters
    ----------
    clock : Clock
        Time.
    settings : ConnectionSettings
        Bounds.
    note_open : callable, optional
        Called for each new connection.
    """

    def __init__(
        self,
        clock: Clock,
        settings: ConnectionSettings | None = None,
        note_open: Callable[[], None] | None = None,
    ) -> None:
        self.settings = settings or ConnectionSettings()
        self._clock = clock
        self._note_open = note_open
        self._idle: dict[str, list[Connection]] = {}

    async def take(self, name: str, endpoint: Endpoint) -> Connection:
        """Take an idle connection, or open one.

        Parameters
        ----------
        name : str
            Name of the server.
        endpoint : Endpoint
            Where it listens.

        Returns
        -------
        Connection
            For one request; give it back afterwards.

        Raises
        ------
        NotConnectedError
            If none can be opened.
        """
        idle = self._idle.get(name, [])
        while idle:
            connection = idle.pop()
            if not connection.is_stale:
                return connection
            connection.close()
        if self._note_open is not None:
            self._note_open()
        return await open_connection(endpoint, self.settings, self._clock)

    def give_back(
        self,
        name: str,
        connection: Connection,
        keep_alive: bytes | None,
    ) -> None:
        """Keep a connection for the next request, or close it.

        Parameters
        ----------
        name : str
            Name of the server.
        connection : Connection
            Its last response was read.
        keep_alive : bytes or None
            ``Keep-Alive`` header of that response.
        """
        idle = self._idle.setdefault(name, [])
        if not connection.is_reusable or len(idle) >= self.settings.max_idle:
            connection.close()
            return
        kept_ms = _read_keep_alive(keep_alive, self.settings.idle_ms)
        connection.expires_ms = self._clock.now() + kept_ms
        idle.append(connection)

    def forget(self, name: str) -> None:
        """Close the idle connections to a server.

        Parameters
        ----------
        name : str
            Name of the server.
        """
        for connection in self._idle.pop(name, ()):
            connection.close()

    def sweep(self) -> None:
        """Close the idle connections that can't be used any more."""
        for name, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_stale:
                    connection.close()
                else:
                    kept.append(connection)
            self._idle[name] = kept


def _read_keep_alive(text: bytes | None, default_ms: float) -> float:
    match = _TIMEOUT.search(text or b'')
    if match is None:
        return default_ms
    return max(int(match[1]) * 1000 - KEEP_ALIVE_MARGIN_MS, 0)
