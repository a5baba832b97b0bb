"""HTTP connections of the caller library, replaced by age."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Mapping
from typing import Final

import httpcore

from hornbeampulley._client_messages import ClientSettings
from hornbeampulley.clock import Clock, to_seconds

MAX_CONNECTIONS: Final = 1000
UNSENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
"""Errors raised before any byte of a request was sent."""

IO_TIMEOUTS: Final = (httpcore.ReadTimeout, httpcore.WriteTimeout)
"""Read and write timeouts of an open connection."""

CONNECTION_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""All errors of connections, including those above."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request.

    Attributes
    ----------
    method, url : str
        Method and absolute URL.
    headers : mapping
        Header names and values.
    body : bytes
        Complete body.
    """

    method: str
    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class _Generation:
    """Pool of the connections opened in one period, retired together."""

    pool: httpcore.AsyncConnectionPool
    created_ms: float
    open_exchanges: int = 0


class Transport:
    """Opens HTTP exchanges on connections of limited age.

    Parameters
    ----------
    settings : ClientSettings
        Timeouts and maximum age of connections.
    clock : Clock
        Clock for the age of connections.
    backend : httpcore.AsyncNetworkBackend, optional
        Network backend to use instead of TCP.
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
        """Send a request and open its response.

        Parameters
        ----------
        request : HttpRequest
            The request.

        Yields
        ------
        httpcore.Response
            The response, with its body unread.
        """
        generation = await self._get_generation()
        generation.open_exchanges += 1
        try:
            async with generation.pool.stream(
                request.method,
                request.url,
                headers=list(request.headers.items()),
                content=request.body,
                extensions={'timeout': self._make_timeouts()},
            ) as response:
                yield response
        finally:
            generation.open_exchanges -= 1
            await self._close_if_retired(generation)

    async def renew(self) -> None:
        """Use new connections for new requests.

        Connections in use are closed after their last exchange.
        """
        retired = self._current
        self._current = self._make_generation()
        await self._close_if_retired(retired)

    async def aclose(self) -> None:
        """Close the connections of the current generation."""
        await self._current.pool.aclose()

    async def _get_generation(self) -> _Generation:
        age_ms = self._clock.now() - self._current.created_ms
        if age_ms >= self._settings.connection_age_ms:
            await self.renew()
        return self._current

    async def _close_if_retired(self, generation: _Generation) -> None:
        if generation is not self._current and not generation.open_exchanges:
            await generation.pool.aclose()

    def _make_generation(self) -> _Generation:
        pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            network_backend=self._backend,
        )
        return _Generation(pool, self._clock.now())

    def _make_timeouts(self) -> dict[str, float]:
        connect_s = to_seconds(self._settings.connect_timeout_ms)
        io_timeout_s = to_seconds(self._settings.silence_ms)
        return {
            'connect': connect_s,
            'pool': connect_s,
            'read': io_timeout_s,
            'write': io_timeout_s,
        }


def decode_headers(response: httpcore.Response) -> dict[str, str]:
    """Decode the headers of a response.

    Parameters
    ----------
    response : httpcore.Response
        The response.

    Returns
    -------
    dict
        Lower-case names and values.
    """
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in response.headers
    }
