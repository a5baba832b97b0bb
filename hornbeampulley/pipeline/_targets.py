"""HTTP client for targets."""

import contextlib
import dataclasses
import functools
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import httpcore
import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.configuration import Target
from hornbeampulley.errors import TargetError
from hornbeampulley.pipeline._calls import TargetCall

CONNECT_TIMEOUT_MS: Final = 1000.0
STALL_MS: Final = 2000.0
IDLE_CONNECTION_MS: Final = 4000.0
MAX_CONNECTIONS: Final = 4000
MAX_REPLY_BYTES: Final = 16 * 1024 * 1024
_HEADERS_STARTED: Final = 'http11.send_request_headers.started'


class TargetUnreachableError(TargetError):
    """No connection to the target could be made; nothing was sent."""


class TargetBrokenError(TargetError):
    """A connection failed or timed out before the answer was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer of a target.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        The complete body.
    """

    status: int
    body: bytes


class TargetClient:
    """Opens connections to targets and sends requests over them.

    Parameters
    ----------
    local_address : str
        Address of this host.
    """

    def __init__(self, local_address: str) -> None:
        self.clock = Clock(trio.current_time)
        self._reusing_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=to_seconds(IDLE_CONNECTION_MS),
            local_address=local_address,
        )
        # A reused connection may be dead without notice, so a call that must
        # not be repeated always gets a new connection.
        self._single_use_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            local_address=local_address,
        )

    @contextlib.asynccontextmanager
    async def open_call(
        self,
        call: TargetCall,
        headers: dict[str, str],
        read_timeout_ms: float,
    ) -> AsyncIterator[httpcore.Response]:
        """Dispatch a call on a new connection.

        Parameters
        ----------
        call : TargetCall
            The call, marked as dispatched just before its first byte is
            written.
        headers : dict
            HTTP headers.
        read_timeout_ms : float
            Longest time in ms without received data.

        Yields
        ------
        httpcore.Response
            The response, readable while the context is open.

        Raises
        ------
        TargetUnreachableError, TargetBrokenError
            If the target cannot be reached, or fails before the end.
        """
        extensions = {
            'timeout': make_timeouts(read_timeout_ms),
            'trace': functools.partial(_trace_dispatch, self.clock, call),
        }
        with _translate_errors(call.target):
            async with self._single_use_pool.stream(
                'POST',
                make_url(call.target, call.path),
                headers=list(headers.items()),
                content=call.body,
                extensions=extensions,
            ) as response:
                yield response

    @contextlib.asynccontextmanager
    async def open_stream(
        self,
        target: Target,
        path: str,
    ) -> AsyncIterator[httpcore.Response]:
        """Read a stream on a new connection.

        Parameters
        ----------
        target : Target
            The target that runs the stream.
        path : str
            URL path of the stream.

        Yields
        ------
        httpcore.Response
            The response, readable while the context is open.

        Raises
        ------
        TargetUnreachableError, TargetBrokenError
            If the target cannot be reached, or fails before the end.
        """
        with _translate_errors(target):
            async with self._single_use_pool.stream(
                'GET',
                make_url(target, path),
                extensions={'timeout': make_timeouts(STALL_MS)},
            ) as response:
                yield response

    async def fetch(
        self,
        target: Target,
        method: str,
        path: str,
        body: bytes = b'',
        check: Callable[[], None] | None = None,
    ) -> Reply:
        """Make a repeatable request, over a reused connection if possible.

        Parameters
        ----------
        target : Target
            The target to send it to.
        method, path : str
            HTTP method and URL path.
        body : bytes
            JSON text, or empty.
        check : callable, optional
            Called just before the first byte is written; may raise to abort
            the request.

        Returns
        -------
        Reply
            The complete answer.

        Raises
        ------
        TargetUnreachableError, TargetBrokenError
            If the target cannot be reached, or fails before the end.
        """
        with _translate_errors(target):
            response = await self._reusing_pool.request(
                method,
                make_url(target, path),
                headers=[('content-type', 'application/json')],
                content=body,
                extensions={
                    'timeout': make_timeouts(STALL_MS),
                    'trace': functools.partial(_trace_check, check),
                },
            )
        return Reply(response.status, response.content)


def make_url(target: Target, path: str) -> str:
    """Make the URL of a path at a target.

    Parameters
    ----------
    target : Target
        The target.
    path : str
        URL path, which begins with a slash.

    Returns
    -------
    str
        The URL.
    """
    return f'http://{target.address}:{target.port}{path}'


def make_timeouts(read_ms: float) -> dict[str, float]:
    """Make the httpcore timeouts of a request.

    Parameters
    ----------
    read_ms : float
        Longest time in ms without received or accepted data.

    Returns
    -------
    dict
        Timeouts by name, in seconds.
    """
    connect = to_seconds(CONNECT_TIMEOUT_MS)
    return {
        'connect': connect,
        'pool': connect,
        'read': to_seconds(read_ms),
        'write': to_seconds(read_ms),
    }


@contextlib.contextmanager
def _translate_errors(target: Target) -> Any:
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
    ) as error:
        raise TargetUnreachableError(
            f'target {target.name} at {target.address}:{target.port} does not '
            f'accept connections ({error!r}); check that it runs',
        ) from error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise TargetBrokenError(
            f'connection to target {target.name} failed or timed out '
            f'({error!r}); check the log of the target',
        ) from error


async def _trace_dispatch(
    clock: Clock,
    call: TargetCall,
    event: str,
    _info: dict[str, Any],
) -> None:
    if event == _HEADERS_STARTED:
        call.mark_dispatched()
        call.started_ms = clock.now()


async def _trace_check(
    check: Callable[[], None] | None,
    event: str,
    _info: dict[str, Any],
) -> None:
    if check is not None and event == _HEADERS_STARTED:
        check()
