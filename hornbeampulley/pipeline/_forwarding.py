"""Forwards requests to their homes.

The home of a request is the entry that its id belongs to, which alone
dispatches it.
"""

import dataclasses
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import httpcore

from hornbeampulley.clock import to_seconds
from hornbeampulley.errors import HornbeamError
from hornbeampulley.identity import Executed, RequestId
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline._exchanges import Exchange
from hornbeampulley.pipeline._problems import Problem, ProblemError
from hornbeampulley.pipeline._requests import IncomingRequest

CONNECT_TIMEOUT_MS: Final = 1000.0
READ_TIMEOUT_MS: Final = 10_000.0
MAX_ATTEMPTS: Final = 30
RETRY_AFTER_MS: Final = 100.0
FORWARDED_HEADER: Final = 'hornbeam-forwarded'
_log = logging.getLogger(__name__)

_CONNECTION_ERRORS: Final = (
    httpcore.ReadTimeout,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
_FORWARDED_HEADERS: Final = (
    'hornbeam-workspace',
    'hornbeam-service',
    'hornbeam-deadline-ms',
    'idempotency-key',
    'content-type',
)


class AnswerBrokenError(HornbeamError):
    """A started answer cannot be completed on this connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request to forward to its home.

    Attributes
    ----------
    method, url : str
        HTTP method and URL of the request at its home.
    headers : tuple of pairs
        HTTP headers that the home reads.
    body : bytes
        Request body, as sent by the caller.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Forwarder:
    """Forwards requests to their homes and relays the answers.

    Parameters
    ----------
    find_url : callable
        Returns the base URL of the entry with an incarnation, or None.
    confirm_never_ran : async callable
        Returns True if a request of a lost home certainly never ran.
    local_address : str
        Address of this host.
    backend : httpcore.AsyncNetworkBackend, optional
        Network backend to use instead of TCP.
    """

    def __init__(
        self,
        find_url: Callable[[str], str | None],
        confirm_never_ran: Callable[[IncomingRequest], Awaitable[bool]],
        local_address: str,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._find_url = find_url
        self._confirm_never_ran = confirm_never_ran
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000,
            max_keepalive_connections=0,
            local_address=local_address,
            network_backend=backend,
        )

    async def forward(
        self, exchange: Exchange, incoming: IncomingRequest
    ) -> None:
        """Forward a request to its home and relay the answer to the caller.

        Parameters
        ----------
        exchange : Exchange
            The HTTP exchange with the caller.
        incoming : IncomingRequest
            The caller's request.

        Raises
        ------
        ProblemError
            If the home cannot be reached.
        AnswerBrokenError
            If the home fails before the answer is complete.
        """
        incarnation = RequestId.parse(incoming.id_text).incarnation
        base = self._find_url(incarnation)
        if base is None or FORWARDED_HEADER in exchange.headers:
            raise await self._explain_home_loss(incoming)
        request = _make_forwarded_request(exchange, base, incoming.body)
        relay = _Relay(self._pool, request)
        if not await relay.connect():
            raise await self._explain_home_loss(incoming)
        await exchange.send_stream(
            relay.status,
            relay.headers,
            relay.read(),
        )

    async def _explain_home_loss(
        self, incoming: IncomingRequest
    ) -> ProblemError:
        if await self._confirm_never_ran(incoming):
            return ProblemError(
                Problem(
                    503,
                    'home lost',
                    'the entry that held this request is gone and never '
                    'dispatched it; send it again under a new id',
                    Executed.NO,
                    RETRY_AFTER_MS,
                ),
            )
        return ProblemError(
            Problem(
                504,
                'outcome unknown',
                'the entry that held this request cannot be reached, so its '
                'outcome is unknown; look it up where it was filed before '
                'sending it again under a new id',
                Executed.UNKNOWN,
            ),
        )


class _Relay:
    """Reads an answer from its home and reconnects without losing bytes."""

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        request: ForwardedRequest,
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self._pool = pool
        self._request = request
        self._sent_bytes = 0
        self._response: httpcore.Response | None = None

    async def connect(self) -> bool:
        """Send the request; return whether an answer has started."""
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._open()
            except httpcore.ReadTimeout:
                # Repeating the id attaches to the same run, so it is safe to
                # retry on a new connection.
                continue
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                log_event(_log, 'forward_failed', error=repr(error))
                return False
            except httpcore.TimeoutException:
                return False
            return True
        return False

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body; after a reconnect, skip what was yielded before."""
        while True:
            skip = self._sent_bytes
            try:
                async for chunk in self._response.aiter_stream():
                    fresh = chunk[skip:]
                    skip = max(skip - len(chunk), 0)
                    self._sent_bytes += len(fresh)
                    yield fresh
            except _CONNECTION_ERRORS as error:
                await self._response.aclose()
                await self._reconnect(error)
                continue
            await self._response.aclose()
            return

    async def _reconnect(self, error: Exception) -> None:
        status = self.status
        if await self.connect() and self.status == status:
            return
        raise AnswerBrokenError(
            'the connection to the home failed before the answer was '
            'complete; the caller can repeat the request with its id',
        ) from error

    async def _open(self) -> None:
        timeouts = {
            'connect': to_seconds(CONNECT_TIMEOUT_MS),
            'pool': to_seconds(CONNECT_TIMEOUT_MS),
            'read': to_seconds(READ_TIMEOUT_MS),
            'write': to_seconds(READ_TIMEOUT_MS),
        }
        request = httpcore.Request(
            self._request.method,
            self._request.url,
            headers=list(self._request.headers),
            content=self._request.body,
            extensions={'timeout': timeouts},
        )
        self._response = await self._pool.handle_async_request(request)
        self.status = self._response.status
        self.headers = _read_headers(self._response)


def _make_forwarded_request(
    exchange: Exchange, base: str, body: bytes
) -> ForwardedRequest:
    headers = [
        (name, exchange.headers[name])
        for name in _FORWARDED_HEADERS
        if name in exchange.headers
    ]
    headers.append(('host', base.removeprefix('http://')))
    headers.append((FORWARDED_HEADER, '1'))
    headers.append(('content-length', str(len(body))))
    return ForwardedRequest(
        exchange.method,
        f'{base}{exchange.path}',
        tuple(headers),
        body,
    )


def _read_headers(response: httpcore.Response) -> dict[str, Any]:
    passed = ('content-type', 'retry-after')
    decoded = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in response.headers
    }
    return {
        name: text
        for name, text in decoded.items()
        if name in passed or name.startswith('hornbeam-')
    }
