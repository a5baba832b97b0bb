"""Requests that take up streams whose origin nobody has told.

Such a stream may go on only where all targets are known to have had one version.
This host's view may be old without its knowledge, e.g. after it was paused, and
other hosts may have begun streams on targets that it has not heard of. So each of
these requests waits until the store has answered a call that was sent after the
request had come.
"""

import dataclasses
import logging
from collections.abc import Iterator
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import Reserve
from hornbeampulley.logs import log_event

# Time for which the answer of the store is waited for.
CHECK_LIMIT_MS: Final = 1000.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    reserve: Reserve
    held_ms: float


class UnknownStreams:
    """Holds requests until the versions of their targets are checked.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, _Held] = {}

    def hold(self, reserve: Reserve) -> None:
        """Hold a request.

        Parameters
        ----------
        reserve : Reserve
            Announcement of the request.
        """
        self._held[reserve.request_id] = _Held(reserve, self._clock.now())
        log_event(_log, 'stream_unknown', request=reserve.request_id)

    def withdraw(self, request_id: str) -> None:
        """Drop a request whose home does not wait for it any more.

        Parameters
        ----------
        request_id : str
            Id of its reservation.
        """
        self._held.pop(request_id, None)

    def remove_home(self, home: str) -> None:
        """Drop the requests of a home whose link has closed.

        Parameters
        ----------
        home : str
            Incarnation of the home.
        """
        for request_id, held in tuple(self._held.items()):
            if held.reserve.home == home:
                self._held.pop(request_id)

    def pop_checked(self, sent_ms: float) -> Iterator[Reserve]:
        """Take the requests that a check has covered.

        Parameters
        ----------
        sent_ms : float
            Time when the call of the check was sent, in ms.

        Yields
        ------
        Reserve
            Requests that came before.
        """
        for request_id, held in tuple(self._held.items()):
            if held.held_ms <= sent_ms:
                self._held.pop(request_id)
                yield held.reserve

    def pop_expired(self) -> Iterator[Reserve]:
        """Take the requests for which the store has not answered in time.

        Yields
        ------
        Reserve
            Requests that have waited for too long.
        """
        yield from self.pop_checked(self._clock.now() - CHECK_LIMIT_MS)
