"""Binds requests that take up streams, or holds them until that is possible."""

import dataclasses
import logging
from collections.abc import Callable

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import Reserve
from hornbeampulley.logs import log_event
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._stream_binding import (
    Evidence,
    bind_stream,
    weigh_history,
)
from hornbeampulley.node._stream_origins import UNNAMED, StreamOrigins
from hornbeampulley.node._unknown_streams import UnknownStreams
from hornbeampulley.routing import find_pool

_log = logging.getLogger(__name__)


class StreamBinder:
    """Decides at which software version a stream may go on.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    origins : StreamOrigins
        Where streams began.
    history : SoftwareHistory
        Software versions of the targets.
    announce : callable
        Called with each request whose version is known, or that needs none.
    refuse : callable
        Called with each request whose version can't be found out.

    Attributes
    ----------
    longest_ms : float
        Longest time in ms for which a stream may last.
    request_check : callable
        Called with a time in ms for which the versions of targets have to be
        checked with the store; `finish_check` is to be called after it.
    """

    def __init__(
        self,
        clock: Clock,
        origins: StreamOrigins,
        history: SoftwareHistory,
        announce: Callable[[Reserve], None],
        refuse: Callable[[Reserve], None],
    ) -> None:
        self.longest_ms = 0.0
        self.request_check: Callable[[float], None] = _ignore
        self._origins = origins
        self._history = history
        self._announce = announce
        self._refuse = refuse
        self._unknown = UnknownStreams(clock)

    @property
    def is_waiting(self) -> bool:
        """Whether requests wait for their version to be found out."""
        return self._unknown.is_waiting

    def bind(self, reserve: Reserve) -> None:
        """Announce or refuse a request, or hold it until a check is finished.

        Parameters
        ----------
        reserve : Reserve
            Announcement of the request.
        """
        bound = bind_stream(reserve, self._origins)
        if bound is not None:
            self._announce(bound)
        elif self._weigh(reserve) is not Evidence.SEVERAL_VERSIONS:
            self._unknown.hold(reserve, needs_check=True)
            self.request_check(self.longest_ms)
        elif reserve.stream == UNNAMED:
            self._refuse_with(reserve, Evidence.SEVERAL_VERSIONS)
        else:
            self._unknown.hold(reserve, needs_check=False)

    def finish_told(self, stream: int) -> None:
        """Bind the requests that have waited for the origin of a stream.

        Parameters
        ----------
        stream : int
            Name of the stream, whose origin is known now.
        """
        for reserve in self._unknown.pop_told(stream):
            self.bind(reserve)

    def finish_check(self, sent_ms: float) -> None:
        """Decide on the requests that have waited for a check.

        Parameters
        ----------
        sent_ms : float
            Time when the store was asked, in ms.
        """
        for reserve in self._unknown.pop_checked(sent_ms):
            self._decide(reserve)

    def refuse_expired(self) -> None:
        """Refuse the requests whose version was not found out in time."""
        for reserve in self._unknown.pop_expired():
            evidence = self._weigh(reserve)
            if evidence is Evidence.ONE_VERSION:
                # The store has not confirmed it.
                evidence = Evidence.MISSING_HISTORY
            self._refuse_with(reserve, evidence)

    def withdraw(self, request_id: str) -> None:
        """Drop a request whose home does not wait for it any more.

        Parameters
        ----------
        request_id : str
            Id of its reservation.
        """
        self._unknown.withdraw(request_id)

    def remove_home(self, home: str) -> None:
        """Drop the requests of a home whose link has closed.

        Parameters
        ----------
        home : str
            Incarnation of the home.
        """
        self._unknown.remove_home(home)

    def _decide(self, reserve: Reserve) -> None:
        bound = bind_stream(reserve, self._origins)
        evidence = self._weigh(reserve)
        if bound is None and evidence is Evidence.ONE_VERSION:
            pool = find_pool(reserve.service)
            software = self._history.find_only(pool, self.longest_ms)
            bound = dataclasses.replace(reserve, software=software or '')
        if bound is None:
            self._refuse_with(reserve, evidence)
        else:
            self._announce(bound)

    def _weigh(self, reserve: Reserve) -> Evidence:
        pool = find_pool(reserve.service)
        return weigh_history(self._history, pool, self.longest_ms)

    def _refuse_with(self, reserve: Reserve, evidence: Evidence) -> None:
        log_event(
            _log,
            'stream_refused',
            request=reserve.request_id,
            pool=find_pool(reserve.service),
            evidence=evidence.value,
        )
        self._refuse(reserve)


def _ignore(_window_ms: float) -> None:
    """Default of `StreamBinder.request_check`."""
