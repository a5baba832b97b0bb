"""Pool of idle HTTP connections, kept for reuse."""

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

# Subtracted from a server's keep-alive timeout, so that the pool drops the
# connection before the server closes it.
KEEP_ALIVE_MARGIN_MS: Final = 400.0
_TIMEOUT_PATTERN: Final = re.compile(rb'timeout\s*=\s*(\d+)')


class ConnectionPool:
    """Idle connections, grouped by server.

    Parameters
    ----------
    clock : Clock
        Clock for the expiry of idle connections.
    settings : ConnectionSettings, optional
        Timeouts and size limits; the defaults if omitted.
    on_open : callable, optional
        Called before each new connection is opened.
    """

    def __init__(
        self,
        clock: Clock,
        settings: ConnectionSettings | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> None:
        self.settings = settings or ConnectionSettings()
        self._clock = clock
        self._on_open = on_open
        self._idle: dict[str, list[Connection]] = {}

    async def acquire(
        self, name: str, endpoint: Endpoint, request_id: bytes = b''
    ) -> Connection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        name : str
            Name of the server.
        endpoint : Endpoint
            Address and port of the server.
        request_id : bytes
            Id of the request; connections on which it was answered before are
            left alone.

        Returns
        -------
        Connection
            A connection for one request; pass it to `release` afterwards.

        Raises
        ------
        NotConnectedError
            If no connection can be opened.
        """
        idle = self._idle.get(name, [])
        for connection in reversed(tuple(idle)):
            if request_id in connection.answered_ids:
                continue
            idle.remove(connection)
            if not connection.is_stale:
                return connection
            connection.close()
        return await self.open(endpoint)

    async def open(self, endpoint: Endpoint) -> Connection:
        """Open a new connection.

        Parameters
        ----------
        endpoint : Endpoint
            Address and port of the server.

        Returns
        -------
        Connection
            A connection for one request; pass it to `release` afterwards.

        Raises
        ------
        NotConnectedError
            If no connection can be opened.
        """
        if self._on_open is not None:
            self._on_open()
        return await open_connection(endpoint, self.settings, self._clock)

    def release(
        self,
        name: str,
        connection: Connection,
        keep_alive: bytes | None,
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Parameters
        ----------
        name : str
            Name of the server.
        connection : Connection
            A connection whose last response has been read.
        keep_alive : bytes or None
            ``Keep-Alive`` header of that response; None if absent.
        """
        idle = self._idle.setdefault(name, [])
        if not connection.is_reusable or len(idle) >= self.settings.max_idle:
            connection.close()
            return
        lifetime_ms = _parse_keep_alive(keep_alive, self.settings.idle_ms)
        connection.expires_ms = self._clock.now() + lifetime_ms
        idle.append(connection)

    def close_idle(self, name: str) -> None:
        """Close all idle connections to a server.

        Parameters
        ----------
        name : str
            Name of the server.
        """
        for connection in self._idle.pop(name, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close the idle connections that can't be reused."""
        for name, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_stale:
                    connection.close()
                else:
                    kept.append(connection)
            self._idle[name] = kept


def _parse_keep_alive(text: bytes | None, default_ms: float) -> float:
    match = _TIMEOUT_PATTERN.search(text or b'')
    if match is None:
        return default_ms
    return max(int(match[1]) * 1000 - KEEP_ALIVE_MARGIN_MS, 0)
