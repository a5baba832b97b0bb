"""Caller library: sends requests to the system and retries them safely.

Requires trio. The library assigns an id to each request. It repeats the
request with the same id when a connection breaks or times out, and uses a new
id only when the system states that the request was not run.
"""

import contextlib
import json
from collections.abc import AsyncIterator, Sequence
from typing import Any, Final, Self

import httpcore
import trio

from hornbeampulley._client_delivery import Delivery
from hornbeampulley._client_entries import EntryPool
from hornbeampulley._client_messages import (
    Answer,
    Call,
    ClientSettings,
    parse_refusal,
)
from hornbeampulley._client_transport import (
    CONNECTION_ERRORS,
    HttpRequest,
    Transport,
)
from hornbeampulley.clock import Clock
from hornbeampulley.errors import NoEntryError
from hornbeampulley.identity import RequestId

__all__ = ('Answer', 'Client', 'ClientSettings', 'Stream')

_HTTP_OK: Final = 200
_PROBLEM_LINE: Final = b'{"problem"'


class Stream:
    """An answer that is read while it arrives.

    Parameters
    ----------
    delivery : Delivery
        Delivery whose answer has started.
    """

    def __init__(self, delivery: Delivery) -> None:
        self._delivery = delivery

    @property
    def request_id(self) -> str:
        """Current id of the request."""
        return self._delivery.request_id

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._delivery.status

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body to its end.

        Yields
        ------
        bytes
            Chunks as they arrive; each byte once, also after a retry.

        Raises
        ------
        CallerError
            If the answer cannot be completed.
        """
        async for chunk in self._delivery.read():
            yield chunk

    async def read_lines(self) -> AsyncIterator[Any]:
        """Iterate over the lines of a stream to its end.

        Yields
        ------
        object
            Each line, parsed as JSON.

        Raises
        ------
        CallerError
            If the answer cannot be completed.
        """
        buffer = b''
        async for chunk in self._delivery.read():
            *lines, buffer = (buffer + chunk).split(b'\n')
            for line in lines:
                if line and not line.startswith(_PROBLEM_LINE):
                    yield json.loads(line)

    def make_answer(self, body: bytes) -> Answer:
        """Return the complete answer.

        Parameters
        ----------
        body : bytes
            Complete body.

        Returns
        -------
        Answer
            The answer, with the home and target that served it.
        """
        headers = self._delivery.headers
        return Answer(
            request_id=self.request_id,
            status=self.status,
            content_type=headers.get('content-type', ''),
            body=body,
            home=self._delivery.assignment.url,
            target=headers.get('hornbeam-target', ''),
            attempts=self._delivery.attempts,
        )


class Client:
    """Sends the requests of one workspace.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs of entries, those of the caller's own availability zone
        first.
    workspace : str
        Name of the workspace.
    settings : ClientSettings, optional
        Timeouts and limits.
    backend : httpcore.AsyncNetworkBackend, optional
        Network backend to use instead of TCP.
    """

    def __init__(
        self,
        seeds: Sequence[str],
        workspace: str,
        settings: ClientSettings | None = None,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.workspace = workspace
        self.settings = settings or ClientSettings()
        self._clock = Clock(trio.current_time)
        self._transport = Transport(self.settings, self._clock, backend)
        self._entries = EntryPool(
            tuple(seeds),
            workspace,
            self._transport,
            self._clock,
        )

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections.

        Open requests continue at their homes, the entries that dispatch
        them.
        """
        await self._transport.aclose()

    async def send(
        self,
        service: str,
        body: bytes,
        *,
        deadline_ms: float = 0,
        idempotency_key: str = '',
    ) -> Answer:
        """Send a request and read its complete answer.

        Parameters
        ----------
        service : str
            Name of the service.
        body : bytes
            Complete body of the request.
        deadline_ms : float
            Time after which the answer is of no use; 0 for the default of
            the settings.
        idempotency_key : str
            Idempotency key of the caller; empty if none.

        Returns
        -------
        Answer
            Answer of the target, whatever its status.

        Raises
        ------
        OutcomeUnknownError
            If the request may have run but its answer is lost.
        RequestRefusedError
            If the request was refused.
        """
        call = self._make_call(service, body, deadline_ms, idempotency_key)
        async with self._open(call) as stream:
            chunks = [chunk async for chunk in stream.read_chunks()]
            return stream.make_answer(b''.join(chunks))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        service: str,
        body: bytes,
        *,
        deadline_ms: float = 0,
        idempotency_key: str = '',
    ) -> AsyncIterator[Stream]:
        """Send a request and read its answer while it arrives.

        Parameters
        ----------
        service : str
            Name of the service.
        body : bytes
            Complete body of the request.
        deadline_ms : float
            Time after which the answer is of no use; 0 for the default of
            the settings.
        idempotency_key : str
            Idempotency key of the caller; empty if none.

        Yields
        ------
        Stream
            The answer, once it has started.

        Raises
        ------
        OutcomeUnknownError
            If the request may have run but its answer is lost.
        RequestRefusedError
            If the request was refused.
        """
        call = self._make_call(service, body, deadline_ms, idempotency_key)
        async with self._open(call) as stream:
            yield stream

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        bool
            False if the home has no open request of that id.

        Raises
        ------
        NoEntryError
            If no entry can be reached.
        CallerError
            If the home of the request cannot be reached or refuses.
        """
        path = f'/v1/requests/{RequestId.parse(request_id)}'
        for url in self._entries.list_others(''):
            request = HttpRequest(
                'DELETE',
                f'{url}{path}',
                {'hornbeam-workspace': self.workspace},
            )
            try:
                async with self._transport.open(request) as response:
                    body = await response.aread()
                    return _parse_cancellation(
                        body, response.status, request_id
                    )
            except CONNECTION_ERRORS:
                self._entries.avoid(url)
        raise NoEntryError(
            'no entry answers, so the request was not cancelled; check the '
            'seeds and the network, then cancel it again',
        )

    @contextlib.asynccontextmanager
    async def _open(self, call: Call) -> AsyncIterator[Stream]:
        delivery = Delivery(
            call,
            self._entries,
            self._transport,
            self.settings,
            self._clock,
        )
        try:
            await delivery.start()
            yield Stream(delivery)
        finally:
            await delivery.aclose()

    def _make_call(
        self,
        service: str,
        body: bytes,
        deadline_ms: float,
        idempotency_key: str,
    ) -> Call:
        return Call(
            self.workspace,
            service,
            body,
            deadline_ms,
            idempotency_key,
        )


def _parse_cancellation(body: bytes, status: int, request_id: str) -> bool:
    if status != _HTTP_OK:
        raise parse_refusal(body, status).to_error(request_id)
    document = json.loads(body)
    return isinstance(document, dict) and document.get('cancelled') is True
