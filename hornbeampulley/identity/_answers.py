"""Cache of final answers for callers that repeat a request."""

from typing import Final

from hornbeampulley.identity._ids import RequestId

ENTRY_BYTES: Final = 256


class AnswerCache:
    """Maps request ids to answers, bounded in total size and in age.

    Evicts the oldest answers first.

    Parameters
    ----------
    retention_ms : float
        Time in ms after which an answer expires.
    max_bytes : int
        Limit on the total size. Each answer counts with its length plus
        ``ENTRY_BYTES`` of overhead.
    """

    __slots__ = ('_answers', '_max_bytes', '_retention_ms', '_size_bytes')

    def __init__(self, retention_ms: float, max_bytes: int) -> None:
        self._retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._answers: dict[RequestId, tuple[float, bytes]] = {}

    @property
    def size_bytes(self) -> int:
        """Total size of the stored answers, overhead included."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._answers)

    def store(
        self,
        request_id: RequestId,
        answer: bytes,
        now_ms: float,
    ) -> tuple[RequestId, ...]:
        """Store an answer and evict the oldest ones above the limit.

        Parameters
        ----------
        request_id : RequestId
            An id without a stored answer.
        answer : bytes
            The encoded answer.
        now_ms : float
            The current time in ms.

        Returns
        -------
        tuple of RequestId
            The ids whose answers were evicted; just ``request_id`` if the
            answer alone exceeds the limit and was not stored.
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
        """Return the stored answer of a request.

        Parameters
        ----------
        request_id : RequestId
            The request's id.

        Returns
        -------
        bytes or None
            The answer, or None if none is stored.
        """
        stored = self._answers.get(request_id)
        return None if stored is None else stored[1]

    def drop_expired(self, now_ms: float) -> tuple[RequestId, ...]:
        """Evict the answers older than the retention time.

        Parameters
        ----------
        now_ms : float
            The current time in ms.

        Returns
        -------
        tuple of RequestId
            The ids whose answers were evicted.
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
