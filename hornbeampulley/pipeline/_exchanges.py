"""HTTP exchanges with callers over ASGI."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

from hornbeampulley.errors import HornbeamError
from hornbeampulley.pipeline._answers import Answer
from hornbeampulley.pipeline._problems import Problem, ProblemError

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class CallerGoneError(HornbeamError):
    """The caller disconnected before its request was complete."""


class Exchange:
    """An HTTP request from a caller, and the response to it.

    Parameters
    ----------
    scope : dict
        ASGI connection scope.
    receive, send : async callables
        ASGI callables of the connection.

    Attributes
    ----------
    method, path : str
        HTTP method and path of the request.
    headers : dict
        HTTP headers, with names in lower case.
    query : dict
        First value of each query parameter.
    """

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in scope['headers']
        }
        query = parse_qs(scope['query_string'].decode('latin-1'))
        self.query = {name: values[0] for name, values in query.items()}
        self._receive = receive
        self._send = send

    async def read_body(self, max_bytes: int) -> bytes:
        """Read the complete request body.

        Parameters
        ----------
        max_bytes : int
            Largest size; a longer body is refused.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        ProblemError
            If the body is too long.
        CallerGoneError
            If the caller disconnected before sending all of it.
        """
        body = bytearray()
        is_more = True
        while is_more:
            message = await self._receive()
            if message['type'] != 'http.request':
                raise CallerGoneError(
                    'the caller disconnected before its request was '
                    'complete; nothing was admitted',
                )
            body += message.get('body', b'')
            is_more = message.get('more_body', False)
            if len(body) > max_bytes:
                raise ProblemError(
                    Problem(
                        413,
                        'body too large',
                        f'a body may have {max_bytes} bytes; send a shorter '
                        'one',
                    ),
                )
        return bytes(body)

    async def send_answer(self, answer: Answer) -> None:
        """Send an answer, including what is still to come.

        Parameters
        ----------
        answer : Answer
            The answer to send in full.
        """
        await answer.wait_started()
        await self.send_stream(answer.status, answer.headers, answer.read())

    async def send_stream(
        self,
        status: int,
        headers: Mapping[str, str],
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Send a response with a streamed body.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : mapping
            HTTP headers.
        chunks : async iterator of bytes
            Chunks of the body.
        """
        await self._start(status, headers)
        async for chunk in chunks:
            await self._send_body(chunk, is_more=True)
        await self._send_body(b'', is_more=False)

    async def send_json(self, document: Any) -> None:
        """Send a JSON document.

        Parameters
        ----------
        document : object
            The document, serializable by ``json.dumps``.
        """
        await self._start(200, {'content-type': 'application/json'})
        await self._send_body(json.dumps(document).encode(), is_more=False)

    async def send_problem(self, problem: Problem) -> None:
        """Send a problem as the response.

        Parameters
        ----------
        problem : Problem
            The problem to send.
        """
        await self._start(problem.status, problem.headers)
        await self._send_body(problem.encode(), is_more=False)

    async def _start(self, status: int, headers: Mapping[str, str]) -> None:
        encoded = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in headers.items()
        ]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': encoded,
            },
        )

    async def _send_body(self, chunk: bytes, *, is_more: bool) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': is_more,
            },
        )
