"""Final answers kept for callers that repeat a request."""

from typing import Final

from hornbeampulley.identity._ids import RequestId

ENTRY_BYTES: Final = 256


class Answers:
    """Answers by request id, oldest first, bounded in bytes and in age.

    Parameters
    ----------
    retention_ms : float
        How long an answer is kept.
    max_bytes : int
        Bound on all answers together, each counted with its own length and
        ``ENTRY_BYTES`` for its bookkeeping.
    """

    __slots__ = ('_answers', '_max_bytes', '_retention_ms', '_size_bytes')

    def __init__(self, retention_ms: float, max_bytes: int) -> None:
        self._retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._answers: dict[RequestId, tuple[float, bytes]] = {}

    @property
    def size_bytes(self) -> int:
        """Size of all answers kept."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._answers)

    def keep(
        self,
        request_id: RequestId,
        answer: bytes,
        now_ms: float,
    ) -> tuple[RequestId, ...]:
        """Keep an answer and drop the oldest ones beyond the bound.

        Parameters
        ----------
        request_id : RequestId
            An id of which no answer is kept.
        answer : bytes
            The answer.
        now_ms : float
            The current time.

        Returns
        -------
        tuple of RequestId
            The ids whose answers were dropped, or the new one alone if it is
            larger than the bound.
        """
        size_bytes = len(answer) + ENTRY_BYTES
        if size_bytes > self._max_bytes:
            return (request_id,)
        self._answers[request_id] = (now_ms, answer)
        self._size_bytes += size_bytes
        dropped = []
        while self._size_bytes > self._max_bytes:
            dropped.append(self._drop_oldest())
        return tuple(dropped)

    def find(self, request_id: RequestId) -> bytes | None:
        """Return an answer.

        Parameters
        ----------
        request_id : RequestId
            Any id.

        Returns
        -------
        bytes or None
            The answer, or None if it is not kept.
        """
        kept = self._answers.get(request_id)
        return None if kept is None else kept[1]

    def drop_expired(self, now_ms: float) -> tuple[RequestId, ...]:
        """Drop the answers older than the retention.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        tuple of RequestId
            The ids whose answers were dropped.
        """
        dropped = []
        while self._is_oldest_expired(now_ms):
            dropped.append(self._drop_oldest())
        return tuple(dropped)

    def _is_oldest_expired(self, now_ms: float) -> bool:
        if not self._answers:
            return False
        kept_ms, _answer = next(iter(self._answers.values()))
        return now_ms - kept_ms >= self._retention_ms

    def _drop_oldest(self) -> RequestId:
        request_id = next(iter(self._answers))
        _kept_ms, answer = self._answers.pop(request_id)
        self._size_bytes -= len(answer) + ENTRY_BYTES
        return request_id
