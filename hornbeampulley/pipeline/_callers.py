"""ASGI application that serves callers."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

import trio

from hornbeampulley.errors import LedgerFullError, RequestIdError
from hornbeampulley.identity import Admission, Executed, RequestId
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline._admissions import refuse_admission
from hornbeampulley.pipeline._answers import Answer, decode_answer
from hornbeampulley.pipeline._exchanges import (
    CallerGoneError,
    Exchange,
    Receive,
    Send,
)
from hornbeampulley.pipeline._filters import run_filters
from hornbeampulley.pipeline._forwarding import (
    AnswerBrokenError,
    Forwarder,
)
from hornbeampulley.pipeline._home import Home
from hornbeampulley.pipeline._problems import (
    NOT_READY,
    Problem,
    ProblemError,
)
from hornbeampulley.pipeline._requests import IncomingRequest, Request
from hornbeampulley.registry import Registry

KEEP_ENTRIES_MS: Final = 30_000
RETRY_AFTER_MS: Final = 1000.0
MAX_DEADLINE_MS: Final = 86_400_000
_REQUESTS_PATH: Final = '/v1/requests'
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address and load of an entry that accepts requests.

    Attributes
    ----------
    url : str
        Base URL.
    incarnation : str
        Incarnation of the entry process.
    availability_zone : str
        Availability zone of its host.
    load : int
        Number of its open requests.
    """

    url: str
    incarnation: str
    availability_zone: str
    load: int


class EntryDirectory(Protocol):
    """Directory of the entries in the fleet."""

    def list_entries(self) -> tuple[EntryAddress, ...]:
        """List the entries that accept requests, best first."""

    def find_entry(self, incarnation: str) -> EntryAddress | None:
        """Find an entry by incarnation, including draining ones."""


class CallerInterface:
    """ASGI application with the HTTP interface for callers.

    Parameters
    ----------
    home : Home
        Holds the open requests of this entry.
    directory : EntryDirectory
        Lists the entries of the fleet.
    forwarder : Forwarder
        Forwards requests to their home entries.
    nursery : trio.Nursery
        Runs the requests, which continue if their callers disconnect.
    max_body_bytes : int
        Largest size of a request body.
    """

    def __init__(
        self,
        home: Home,
        directory: EntryDirectory,
        forwarder: Forwarder,
        nursery: trio.Nursery,
        max_body_bytes: int,
    ) -> None:
        self.home = home
        self.directory = directory
        self.forwarder = forwarder
        self.nursery = nursery
        self.max_body_bytes = max_body_bytes

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve_exchange(Exchange(scope, receive, send))

    async def submit(self, incoming: IncomingRequest) -> Answer:
        """Admit a request and start running it.

        Parameters
        ----------
        incoming : IncomingRequest
            The caller's request.

        Returns
        -------
        Answer
            The answer, which is extended while the request runs.
        """
        admitted = self.home.admit(incoming)
        if isinstance(admitted, Request):
            self.nursery.start_soon(run_filters, self.home, admitted)
            admitted = admitted.answer
        return admitted

    async def _serve_exchange(self, exchange: Exchange) -> None:
        try:
            await _find_endpoint(exchange)(self, exchange)
        except ProblemError as error:
            await exchange.send_problem(error.problem)
        except (RequestIdError, LedgerFullError) as error:
            await exchange.send_problem(_explain_id_error(error))
        except (CallerGoneError, AnswerBrokenError) as error:
            # Without the final ASGI message the server aborts the connection,
            # so the caller cannot mistake the answer for a complete one.
            log_event(_log, 'exchange_cut', path=exchange.path, error=error)


Endpoint = Callable[[CallerInterface, Exchange], Awaitable[None]]

endpoints: Final[Registry[Endpoint]] = Registry('endpoint')
"""Maps an HTTP method and a path prefix to the endpoint's function."""


@endpoints.register('GET /v1/entries')
async def serve_entries(caller: CallerInterface, exchange: Exchange) -> None:
    """List the entries and grant an id lease.

    Parameters
    ----------
    caller : CallerInterface
        The ASGI application.
    exchange : Exchange
        The HTTP exchange, with the query parameter ``workspace``.
    """
    workspace = exchange.query.get('workspace', '')
    home = caller.home
    if not home.view.is_ready:
        raise ProblemError(NOT_READY)
    if workspace not in home.view.configuration.workspaces:
        raise ProblemError(
            Problem(
                404,
                'unknown workspace',
                f'no workspace {workspace!r} is in force; name one in the '
                'query, as in /v1/entries?workspace=NAME',
            ),
        )
    document: dict[str, Any] = {
        'entries': [
            dataclasses.asdict(entry)
            for entry in caller.directory.list_entries()
        ],
        'keep_ms': KEEP_ENTRIES_MS,
    }
    if not home.is_draining:
        lease = home.ledger.grant(workspace, home.clock.now())
        document['ids'] = dataclasses.asdict(lease)
    await exchange.send_json(document)


@endpoints.register('POST /v1/requests')
async def serve_request(caller: CallerInterface, exchange: Exchange) -> None:
    """Run a request, or attach the caller to one sent before.

    Parameters
    ----------
    caller : CallerInterface
        The ASGI application.
    exchange : Exchange
        The HTTP exchange, with the request's headers and body.
    """
    body = await exchange.read_body(caller.max_body_bytes)
    incoming = _read_incoming(exchange, body)
    if _is_foreign(caller, incoming.id_text):
        await caller.forwarder.forward(exchange, incoming)
        return
    answer = await caller.submit(incoming)
    await exchange.send_answer(answer)


@endpoints.register('GET /v1/requests')
async def serve_attachment(
    caller: CallerInterface,
    exchange: Exchange,
) -> None:
    """Send the whole answer of a request that was sent before.

    Parameters
    ----------
    caller : CallerInterface
        The ASGI application.
    exchange : Exchange
        The HTTP exchange, with the request id in its path.
    """
    incoming = _read_incoming(exchange, b'')
    if _is_foreign(caller, incoming.id_text):
        await caller.forwarder.forward(exchange, incoming)
        return
    request_id = _check_owner(caller.home, incoming)
    await exchange.send_answer(_find_answer(caller.home, request_id))


@endpoints.register('DELETE /v1/requests')
async def serve_cancellation(
    caller: CallerInterface,
    exchange: Exchange,
) -> None:
    """Cancel a request.

    Parameters
    ----------
    caller : CallerInterface
        The ASGI application.
    exchange : Exchange
        The HTTP exchange, with the request id in its path.
    """
    incoming = _read_incoming(exchange, b'')
    if _is_foreign(caller, incoming.id_text):
        await caller.forwarder.forward(exchange, incoming)
        return
    request_id = _check_owner(caller.home, incoming)
    is_cancelled = caller.home.cancel(str(request_id))
    await exchange.send_json({'cancelled': is_cancelled})


def _check_owner(home: Home, incoming: IncomingRequest) -> RequestId:
    request_id = RequestId.parse(incoming.id_text)
    owner = home.ledger.find_workspace(request_id)
    if owner not in {None, incoming.workspace}:
        raise refuse_admission(Admission.WRONG_WORKSPACE)
    return request_id


def _explain_id_error(error: RequestIdError | LedgerFullError) -> Problem:
    if isinstance(error, RequestIdError):
        return Problem(400, 'bad id', str(error))
    return Problem(503, 'entry full', str(error), Executed.NO, RETRY_AFTER_MS)


def _find_answer(home: Home, request_id: RequestId) -> Answer:
    request = home.find(str(request_id))
    if request is not None:
        return request.answer
    stored = home.ledger.find_answer(request_id)
    if stored is not None:
        return decode_answer(stored)
    raise ProblemError(
        Problem(
            404,
            'no answer',
            'no request of this id is open here and no answer is kept; send '
            'the request itself with this id',
            home.ledger.find_executed(request_id, home.clock.now()),
        ),
    )


def _find_endpoint(exchange: Exchange) -> Endpoint:
    parts = exchange.path.split('/')[:3]
    wanted = f'{exchange.method} {"/".join(parts)}'
    for name, endpoint in endpoints:
        if name == wanted:
            return endpoint
    known = ', '.join(dict(endpoints))
    raise ProblemError(
        Problem(404, 'no such path', f'use one of: {known}'),
    )


def _read_id(exchange: Exchange) -> str:
    return exchange.path.removeprefix(_REQUESTS_PATH).strip('/')


def _is_foreign(caller: CallerInterface, id_text: str) -> bool:
    if not id_text:
        return False
    request_id = RequestId.parse(id_text)
    return request_id.incarnation != caller.home.incarnation


def _read_incoming(exchange: Exchange, body: bytes) -> IncomingRequest:
    headers = exchange.headers
    return IncomingRequest(
        workspace=headers.get('hornbeam-workspace', ''),
        service=headers.get('hornbeam-service', ''),
        body=body,
        id_text=_read_id(exchange),
        idempotency_key=headers.get('idempotency-key', ''),
        deadline_in_ms=_read_deadline(headers.get('hornbeam-deadline-ms')),
    )


def _read_deadline(text: str | None) -> float:
    if text is None:
        return 0
    try:
        deadline_ms = int(text)
    except ValueError:
        deadline_ms = 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise ProblemError(
            Problem(
                400,
                'bad deadline',
                'Hornbeam-Deadline-Ms must be a whole number of ms from 1 to '
                f'{MAX_DEADLINE_MS}',
            ),
        )
    return deadline_ms


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
