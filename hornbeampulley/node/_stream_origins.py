"""Which software version began a stream, for callers that take it up again.

Homes tell it with the first event to the owner of the pool and to those that would
own it next, and all of them to each new one. It is kept for as long as a caller may
come back.
"""

import dataclasses
from collections.abc import Iterator
from typing import Final

import xxhash

from hornbeampulley.clock import Clock

# Beyond this many streams, those recorded first are dropped.
MAX_STREAMS: Final = 200_000
# Name of a stream whose caller does not say which one it takes up.
UNNAMED: Final = 0
_NAME_MASK: Final = (1 << 63) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    stream : int
        Name of the stream, made by `make_stream_name`.
    software : str
        Version of the software that sent its first event.
    left_ms : float
        Time in ms for which its caller may still take it up.
    """

    stream: int
    software: str
    left_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    software: str
    until_ms: float


class StreamOrigins:
    """Keeps where streams began.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[int, _Kept] = {}

    def keep(self, origin: StreamOrigin) -> None:
        """Keep where a stream began.

        Parameters
        ----------
        origin : StreamOrigin
            The stream and its software version.
        """
        until_ms = self._clock.now() + origin.left_ms
        self._kept.pop(origin.stream, None)
        self._kept[origin.stream] = _Kept(origin.software, until_ms)
        if len(self._kept) > MAX_STREAMS:
            self._kept.pop(next(iter(self._kept)))

    def find(self, stream: int) -> str | None:
        """Return the software version that began a stream.

        Parameters
        ----------
        stream : int
            Name of the stream.

        Returns
        -------
        str or None
            None if it is not known.
        """
        kept = self._kept.get(stream)
        if kept is None or kept.until_ms < self._clock.now():
            return None
        return kept.software

    def list_all(self) -> Iterator[StreamOrigin]:
        """List the streams that may still be taken up.

        Yields
        ------
        StreamOrigin
            Each with the time that is left.
        """
        now_ms = self._clock.now()
        for stream, kept in self._kept.items():
            if kept.until_ms > now_ms:
                yield StreamOrigin(
                    stream, kept.software, kept.until_ms - now_ms
                )

    def sweep(self) -> None:
        """Drop streams that can't be taken up any more, oldest first.

        It stops at the first one that can, so that its cost does not grow with
        the number of streams; those behind it are dropped a little later.
        """
        now_ms = self._clock.now()
        while self._kept:
            stream = next(iter(self._kept))
            if self._kept[stream].until_ms > now_ms:
                return
            self._kept.pop(stream)


def make_stream_name(
    request_id: bytes, workspace: str, route: str, pool: str
) -> int:
    """Make the name of a stream, which no other workspace or route can name.

    Parameters
    ----------
    request_id : bytes
        Id of the attempt of the caller that brought its first event.
    workspace, route, pool : str
        Names of its workspace, route and pool.

    Returns
    -------
    int
        Positive number of 63 bits.
    """
    digest = xxhash.xxh3_64()
    for text in (workspace.encode(), route.encode(), pool.encode(), request_id):
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return digest.intdigest() & _NAME_MASK or 1
