"""Requests that take up streams whose origin nobody has told.

Such a stream may go on only where all targets are known to have had one version.
This host's view may be old without its knowledge, e.g. after it was paused, and
other hosts may have begun streams on targets that it has not heard of. So each of
these requests waits until the store has answered a call that was sent after the
request had come. A stream of one of several versions waits for a moment, as its
origin may still be on the way: its caller may take it up at another host as soon as
it has got its first event.
"""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import Reserve
from hornbeampulley.logs import log_event

# Time for which the answer of the store is waited for.
CHECK_LIMIT_MS: Final = 1000.0
# Time for which the origin of a stream of several versions is waited for.
ORIGIN_LIMIT_MS: Final = 250.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    reserve: Reserve
    held_ms: float
    needs_check: bool

    @property
    def limit_ms(self) -> float:
        return CHECK_LIMIT_MS if self.needs_check else ORIGIN_LIMIT_MS


class UnknownStreams:
    """Holds requests until their origin is told or the versions are checked.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, _Held] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether any request is held."""
        return bool(self._held)

    def hold(self, reserve: Reserve, *, needs_check: bool) -> None:
        """Hold a request.

        Parameters
        ----------
        reserve : Reserve
            Announcement of the request.
        needs_check : bool
            Whether a check may show its version; if not, only its origin can.
        """
        self._held[reserve.request_id] = _Held(
            reserve, self._clock.now(), needs_check
        )
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

    def pop_checked(self, sent_ms: float) -> list[Reserve]:
        """Take the requests that a check has covered.

        Parameters
        ----------
        sent_ms : float
            Time when the call of the check was sent, in ms.

        Returns
        -------
        list of Reserve
            Requests that came before.
        """
        return self._pop(
            lambda held: held.needs_check and held.held_ms <= sent_ms
        )

    def pop_told(self, stream: int) -> list[Reserve]:
        """Take the requests that take up a stream whose origin was told.

        Parameters
        ----------
        stream : int
            Name of the stream.

        Returns
        -------
        list of Reserve
            Requests that take it up.
        """
        return self._pop(lambda held: held.reserve.stream == stream)

    def pop_expired(self) -> list[Reserve]:
        """Take the requests that have waited for too long.

        Returns
        -------
        list of Reserve
            Requests of which nothing has shown the version in time.
        """
        now_ms = self._clock.now()
        return self._pop(lambda held: held.held_ms + held.limit_ms <= now_ms)

    def _pop(self, is_wanted: Callable[[_Held], bool]) -> list[Reserve]:
        wanted = [
            held.reserve for held in self._held.values() if is_wanted(held)
        ]
        for reserve in wanted:
            self._held.pop(reserve.request_id)
        return wanted
