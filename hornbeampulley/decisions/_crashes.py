"""Crashes of targets, and the requests that were sent to them before.

That a target can't be connected to says nothing of the requests that are leased to
it, as they may not have been sent. Only the home of a request knows that; so a crash
is evidence about a request once its home has reported that it broke off.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from hornbeampulley.decisions._requests import Request

# Homes report within this time how their requests on the target have ended.
SETTLE_MS: Final = 500.0


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """One crash of a target.

    Attributes
    ----------
    number : int
        Number of the crash in the pool.
    target : str
        Name of the target.
    began_ms : float
        When it was first reported.
    pending : set of str
        Ids of requests that were leased and whose homes have not reported.
    sent : list of Request
        Requests that had been sent, and broke off.
    """

    number: int
    target: str
    began_ms: float
    pending: set[str] = dataclasses.field(default_factory=set)
    sent: list[Request] = dataclasses.field(default_factory=list)


class CrashLog:
    """Collects what homes report of crashes until nothing more is expected."""

    def __init__(self) -> None:
        self._count = 0
        self._open: list[Crash] = []
        self._by_request: dict[str, Crash] = {}

    def find(self, request: Request) -> Crash | None:
        """Return the open crash of a request's target, if it was leased then.

        Parameters
        ----------
        request : Request
            A request.

        Returns
        -------
        Crash or None
            None if no such crash has been reported, or not lately.
        """
        return self._by_request.get(request.request_id)

    def open(
        self, target: str, leased: Iterable[Request], now_ms: float
    ) -> Crash:
        """Record that a request has reported a crash of its target.

        Parameters
        ----------
        target : str
            Name of the target.
        leased : iterable of Request
            Requests that are leased to it.
        now_ms : float
            The current time.

        Returns
        -------
        Crash
            The crash, which waits for the reports of their homes.
        """
        self._count += 1
        crash = Crash(self._count, target, now_ms)
        for request in leased:
            if request.request_id not in self._by_request:
                crash.pending.add(request.request_id)
                self._by_request[request.request_id] = crash
        self._open.append(crash)
        return crash

    def record_end(self, request: Request) -> Crash | None:
        """Record that the home of a request has reported its end.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        Crash or None
            The crash if this was the last report that it waited for.
        """
        crash = self._by_request.pop(request.request_id, None)
        if crash is None:
            return None
        crash.pending.discard(request.request_id)
        if crash.pending:
            return None
        self._open.remove(crash)
        return crash

    def pop_settled(self, now_ms: float) -> list[Crash]:
        """Take the crashes that were reported long enough ago.

        What homes report later is not counted, so that one crash is not taken
        for two.

        Parameters
        ----------
        now_ms : float
            The current time.

        Returns
        -------
        list of Crash
            Crashes, oldest first.
        """
        settled = [
            one for one in self._open if now_ms - one.began_ms >= SETTLE_MS
        ]
        for crash in settled:
            self._open.remove(crash)
            for request_id in crash.pending:
                self._by_request.pop(request_id)
        return settled
