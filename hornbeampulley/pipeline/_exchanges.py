"""One HTTP exchange with a caller, over ASGI."""

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
    """The caller closed the connection before its request was whole."""


class Exchange:
    """A request from a caller and the answer to it.

    Parameters
    ----------
    scope : dict
        ASGI scope.
    receive, send : async callables
        ASGI channels.

    Attributes
    ----------
    method, path : str
        As sent.
    headers : dict
        Names in lower case.
    query : dict
        First value of each name.
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
        """Read the whole body.

        Parameters
        ----------
        max_bytes : int
            A longer body is refused.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        ProblemError
            If it is too long.
        CallerGoneError
            If the caller left before it was whole.
        """
        body = bytearray()
        is_more = True
        while is_more:
            message = await self._receive()
            if message['type'] != 'http.request':
                raise CallerGoneError('the caller left; nothing was admitted')
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
        """Send an answer as it grows.

        Parameters
        ----------
        answer : Answer
            Read from its start to its end.
        """
        await answer.wait_started()
        await self.send_stream(answer.status, answer.headers, answer.read())

    async def send_stream(
        self,
        status: int,
        headers: Mapping[str, str],
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Send status, headers and a body in chunks.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : mapping
            HTTP headers.
        chunks : async iterator of bytes
            The body.
        """
        await self._start(status, headers)
        async for chunk in chunks:
            await self._send_body(chunk, is_more=True)
        await self._send_body(b'', is_more=False)

    async def send_json(self, document: Any) -> None:
        """Send a small document.

        Parameters
        ----------
        document : object
            Ready for ``json.dumps``.
        """
        await self._start(200, {'content-type': 'application/json'})
        await self._send_body(json.dumps(document).encode(), is_more=False)

    async def send_problem(self, problem: Problem) -> None:
        """Send a problem.

        Parameters
        ----------
        problem : Problem
            The whole answer.
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
