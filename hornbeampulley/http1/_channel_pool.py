"""Idle connections to servers, kept for the next requests."""

import re
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1._channels import (
    Channel,
    ChannelSettings,
    open_channel,
)

KEEP_ALIVE_MARGIN_MS: Final = 400.0
_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*(\d+)')


class ChannelPool:
    """Idle connections by server.

    Parameters
    ----------
    clock : Clock
        Time.
    settings : ChannelSettings
        Bounds.
    note_open : callable, optional
        Called for each new connection.
    """

    def __init__(
        self,
        clock: Clock,
        settings: ChannelSettings | None = None,
        note_open: Callable[[], None] | None = None,
    ) -> None:
        self.settings = settings or ChannelSettings()
        self._clock = clock
        self._note_open = note_open
        self._idle: dict[str, list[Channel]] = {}

    async def take(self, name: str, endpoint: Endpoint) -> Channel:
        """Take an idle connection, or open one.

        Parameters
        ----------
        name : str
            Name of the server.
        endpoint : Endpoint
            Where it listens.

        Returns
        -------
        Channel
            For one request; give it back afterwards.

        Raises
        ------
        NotConnectedError
            If none can be opened.
        """
        idle = self._idle.get(name, [])
        while idle:
            channel = idle.pop()
            if not channel.is_stale:
                return channel
            channel.close()
        if self._note_open is not None:
            self._note_open()
        return await open_channel(endpoint, self.settings, self._clock)

    def give_back(
        self,
        name: str,
        channel: Channel,
        keep_alive: bytes | None,
    ) -> None:
        """Keep a connection for the next request, or close it.

        Parameters
        ----------
        name : str
            Name of the server.
        channel : Channel
            Its last response was read.
        keep_alive : bytes or None
            ``Keep-Alive`` header of that response.
        """
        idle = self._idle.setdefault(name, [])
        if not channel.is_reusable or len(idle) >= self.settings.max_idle:
            channel.close()
            return
        kept_ms = _read_keep_alive(keep_alive, self.settings.idle_ms)
        channel.expires_ms = self._clock.now() + kept_ms
        idle.append(channel)

    def forget(self, name: str) -> None:
        """Close the idle connections to a server.

        Parameters
        ----------
        name : str
            Name of the server.
        """
        for channel in self._idle.pop(name, ()):
            channel.close()

    def sweep(self) -> None:
        """Close the idle connections that can't be used any more."""
        for name, idle in tuple(self._idle.items()):
            kept = []
            for channel in idle:
                if channel.is_stale:
                    channel.close()
                else:
                    kept.append(channel)
            self._idle[name] = kept


def _read_keep_alive(text: bytes | None, default_ms: float) -> float:
    match = _TIMEOUT.search(text or b'')
    if match is None:
        return default_ms
    return max(int(match[1]) * 1000 - KEEP_ALIVE_MARGIN_MS, 0)
