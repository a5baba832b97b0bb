"""Connections of the caller library, retired by age."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Mapping
from typing import Final

import httpcore

from hornbeampulley._client_messages import ClientSettings
from hornbeampulley.clock import Clock, to_seconds

MAX_CONNECTIONS: Final = 1000
NEVER_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
"""Errors before the first byte of a request was written."""

SILENT: Final = (httpcore.ReadTimeout, httpcore.WriteTimeout)
"""Errors of a connection that says nothing."""

BROKEN: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Errors of a connection, those above included."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request.

    Attributes
    ----------
    method, url : str
        Where it goes.
    headers : mapping
        Names and values.
    body : bytes
        The whole body.
    """

    method: str
    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class _Generation:
    """Connections opened in one span of time."""

    pool: httpcore.AsyncConnectionPool
    made_ms: float
    open_count: int = 0


class Transport:
    """Opens HTTP exchanges on connections that are not too old.

    Parameters
    ----------
    settings : ClientSettings
        Its timeouts and the age of connections.
    clock : Clock
        For the age.
    backend : httpcore.AsyncNetworkBackend, optional
        Opens connections in place of TCP.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Clock,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._backend = backend
        self._current = self._make_generation()

    @contextlib.asynccontextmanager
    async def open(
        self,
        request: HttpRequest,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and open its answer.

        Parameters
        ----------
        request : HttpRequest
            What to send.

        Yields
        ------
        httpcore.Response
            Its body is yet to be read.
        """
        generation = await self._take_generation()
        generation.open_count += 1
        try:
            async with generation.pool.stream(
                request.method,
                request.url,
                headers=list(request.headers.items()),
                content=request.body,
                extensions={'timeout': self._form_timeouts()},
            ) as response:
                yield response
        finally:
            generation.open_count -= 1
            await self._close_if_retired(generation)

    async def renew(self) -> None:
        """Open new connections for new requests."""
        retired = self._current
        self._current = self._make_generation()
        await self._close_if_retired(retired)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._current.pool.aclose()

    async def _take_generation(self) -> _Generation:
        age_ms = self._clock.now() - self._current.made_ms
        if age_ms >= self._settings.connection_age_ms:
            await self.renew()
        return self._current

    async def _close_if_retired(self, generation: _Generation) -> None:
        if generation is not self._current and not generation.open_count:
            await generation.pool.aclose()

    def _make_generation(self) -> _Generation:
        pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            network_backend=self._backend,
        )
        return _Generation(pool, self._clock.now())

    def _form_timeouts(self) -> dict[str, float]:
        connect_s = to_seconds(self._settings.connect_timeout_ms)
        silence_s = to_seconds(self._settings.silence_ms)
        return {
            'connect': connect_s,
            'pool': connect_s,
            'read': silence_s,
            'write': silence_s,
        }


def decode_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers of an answer.

    Parameters
    ----------
    response : httpcore.Response
        The answer.

    Returns
    -------
    dict
        Names in lower case.
    """
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in response.headers
    }
