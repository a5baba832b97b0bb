"""Answers that grow while callers read them."""

import json
from collections.abc import AsyncIterator, Mapping

import trio

from hornbeampulley.pipeline._problems import Problem


class Answer:
    """The answer to one request; any number of callers can read it.

    Each reader gets it from its start, whenever it comes.

    Attributes
    ----------
    status : int
        HTTP status code; 0 until the answer has started.
    headers : dict
        HTTP headers.
    is_complete : bool
        Whether it has ended.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self._chunks: list[bytes] = []
        self._changed = trio.Event()

    @property
    def size_bytes(self) -> int:
        """Length of the body so far."""
        return sum(map(len, self._chunks))

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set status and headers.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : mapping
            HTTP headers; names in lower case.
        """
        self.status = status
        self.headers = dict(headers)
        self._notify_readers()

    def extend(self, chunk: bytes) -> None:
        """Append to the body.

        Parameters
        ----------
        chunk : bytes
            The next bytes.
        """
        self._chunks.append(chunk)
        self._notify_readers()

    def end(self) -> None:
        """Mark the answer as whole."""
        self.is_complete = True
        self._notify_readers()

    def end_with(self, problem: Problem) -> None:
        """End with a problem, as the whole answer or as its last line.

        Parameters
        ----------
        problem : Problem
            What the caller is told.
        """
        if self.status:
            line = json.dumps({'problem': problem.to_json()})
            self._chunks.append(f'{line}\n'.encode())
        else:
            self.status = problem.status
            self.headers = problem.headers
            self._chunks.append(problem.encode())
        self.end()

    async def wait_started(self) -> None:
        """Wait until status and headers are known."""
        while not self.status:
            await self._changed.wait()

    async def read(self) -> AsyncIterator[bytes]:
        """Iterate over the body from its start to its end.

        Yields
        ------
        bytes
            Chunks as they come.
        """
        position = 0
        while True:
            while position < len(self._chunks):
                yield self._chunks[position]
                position += 1
            if self.is_complete:
                return
            await self._changed.wait()

    def encode(self) -> bytes:
        """Return the whole answer as bytes, to be kept.

        Returns
        -------
        bytes
            Status and headers as a line of JSON, then the body.
        """
        head = json.dumps([self.status, self.headers])
        return b'\n'.join((head.encode(), b''.join(self._chunks)))

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def decode_answer(kept: bytes) -> Answer:
    """Return an answer from what `Answer.encode` gave.

    Parameters
    ----------
    kept : bytes
        An encoded answer.

    Returns
    -------
    Answer
        A whole one.
    """
    head, body = kept.split(b'\n', 1)
    status, headers = json.loads(head)
    answer = Answer()
    answer.start(status, headers)
    answer.extend(body)
    answer.end()
    return answer
