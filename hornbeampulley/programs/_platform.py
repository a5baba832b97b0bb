"""Client of the configuration service and of the host list."""

import dataclasses
from typing import Final
from urllib.parse import quote

import httpcore

from hornbeampulley.clock import to_seconds
from hornbeampulley.errors import HornbeamError
from hornbeampulley.settings import Settings

READ_TIMEOUT_MS: Final = 2000.0
TICKETS_PREFIX: Final = 'tickets/'
_HTTP_OK: Final = 200
_HTTP_NOT_MODIFIED: Final = 304
_CONNECTIONS: Final = 100


class PlatformError(HornbeamError):
    """A read from the platform failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRead:
    """A change ticket as read from the configuration service.

    Attributes
    ----------
    version : int
        Version of the ticket; pass it as `watched` to wait for the next one.
    text : bytes
        Text of the ticket.
    """

    version: int
    text: bytes


class PlatformReader:
    """Reads change tickets and the host list from the platform.

    Parameters
    ----------
    settings : Settings
        Settings, with the address of the platform.

    Attributes
    ----------
    reads : int
        Number of reads made so far.
    """

    def __init__(self, settings: Settings) -> None:
        self.reads = 0
        self._settings = settings
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS,
            local_address=settings.host.address,
        )

    async def read_ticket(
        self,
        scope: str,
        watched: int | None,
        watch_ms: float,
    ) -> TicketRead | None:
        """Read the change ticket of a scope.

        Parameters
        ----------
        scope : str
            Scope of the ticket.
        watched : int or None
            If given, wait for a version later than this one.
        watch_ms : float
            Longest time to wait, in ms.

        Returns
        -------
        TicketRead or None
            None if there was no change within `watch_ms`.

        Raises
        ------
        PlatformError
            If the service does not answer or has no such ticket.
        """
        path = f'/config/{quote(TICKETS_PREFIX + scope)}'
        wait_ms = 0.0
        if watched is not None:
            path = f'{path}?watch={watched}&timeout_ms={round(watch_ms)}'
            wait_ms = watch_ms
        response = await self._read(path, wait_ms)
        if response.status == _HTTP_NOT_MODIFIED:
            return None
        return TicketRead(_read_version(response), response.content)

    async def read_hosts(self) -> bytes:
        """Read the host list.

        Returns
        -------
        bytes
            Text of the host list.

        Raises
        ------
        PlatformError
            If the platform does not answer.
        """
        response = await self._read('/hosts', 0)
        return response.content

    async def _read(self, path: str, wait_ms: float) -> httpcore.Response:
        self.reads += 1
        platform = self._settings.platform
        timeout = to_seconds(READ_TIMEOUT_MS)
        timeouts = {
            'connect': timeout,
            'pool': timeout,
            'write': timeout,
            'read': timeout + to_seconds(wait_ms),
        }
        try:
            response = await self._pool.request(
                'GET',
                f'http://{platform.address}:{platform.port}{path}',
                extensions={'timeout': timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise PlatformError(
                f'the platform at {platform.address}:{platform.port} did not '
                f'answer ({error!r}); the values in force are kept',
            ) from error
        if response.status not in {_HTTP_OK, _HTTP_NOT_MODIFIED}:
            raise PlatformError(
                f'the platform answered {response.status} to {path}; the '
                'values in force are kept',
            )
        return response


def _read_version(response: httpcore.Response) -> int:
    for name, text in response.headers:
        if name.lower() == b'version':
            return int(text)
    return 0
