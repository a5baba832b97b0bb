"""Answers that callers can read while they are still being written."""

import json
from collections.abc import AsyncIterator, Mapping

import trio

from hornbeampulley.pipeline._problems import Problem


class Answer:
    """The answer to one request, for any number of concurrent readers.

    Each reader gets the whole body, regardless of when it starts reading.

    Attributes
    ----------
    status : int
        HTTP status code; 0 until the answer has started.
    headers : dict
        HTTP headers.
    is_complete : bool
        Whether the answer is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self._chunks: list[bytes] = []
        self._changed = trio.Event()

    @property
    def size_bytes(self) -> int:
        """Current length of the body."""
        return sum(map(len, self._chunks))

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set the status and headers.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : mapping
            HTTP headers, with names in lower case.
        """
        self.status = status
        self.headers = dict(headers)
        self._notify_readers()

    def extend(self, chunk: bytes) -> None:
        """Append a chunk to the body.

        Parameters
        ----------
        chunk : bytes
            The bytes to append.
        """
        self._chunks.append(chunk)
        self._notify_readers()

    def end(self) -> None:
        """Mark the answer as complete."""
        self.is_complete = True
        self._notify_readers()

    def end_with(self, problem: Problem) -> None:
        """Complete the answer with a problem.

        If the answer has started, the problem becomes its last line,
        otherwise the whole answer.

        Parameters
        ----------
        problem : Problem
            The problem to send.
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
        """Wait until the status and headers are set."""
        while not self.status:
            await self._changed.wait()

    async def read(self) -> AsyncIterator[bytes]:
        """Iterate over the whole body, waiting for chunks still to come.

        Yields
        ------
        bytes
            The next chunk.
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
        """Serialize the complete answer for storage.

        Returns
        -------
        bytes
            Status and headers as one line of JSON, followed by the body.
        """
        head = json.dumps([self.status, self.headers])
        return b'\n'.join((head.encode(), b''.join(self._chunks)))

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def decode_answer(encoded: bytes) -> Answer:
    """Restore an answer serialized by `Answer.encode`.

    Parameters
    ----------
    encoded : bytes
        A serialized answer.

    Returns
    -------
    Answer
        The complete answer.
    """
    head, body = encoded.split(b'\n', 1)
    status, headers = json.loads(head)
    answer = Answer()
    answer.start(status, headers)
    answer.extend(body)
    answer.end()
    return answer
