"""Binds requests that take up a stream to the software version that began it."""

import dataclasses
from typing import Final

from hornbeampulley import decisions
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._stream_origins import StreamOrigins
from hornbeampulley.routing import RoutingTable

# A new owner of a pool may still be told of streams for this long.
NEWS_MS: Final = 1000.0
# Time after which a caller may come back to a new owner.
RETRY_MS: Final = 300.0


def bind_stream(
    reserve: decisions.Reserve,
    pool: str,
    origins: StreamOrigins,
    history: SoftwareHistory,
    table: RoutingTable | None,
) -> decisions.Reserve | None:
    """Set the version that a request needs if it takes up a stream.

    A stream that nobody knows may go on if all targets of the pool have had one
    version for as long as a stream may last.

    Parameters
    ----------
    reserve : Reserve
        Announcement of the request.
    pool : str
        Name of its pool.
    origins : StreamOrigins
        Where streams began.
    history : SoftwareHistory
        Versions of the targets.
    table : RoutingTable or None
        Routing table in force.

    Returns
    -------
    Reserve or None
        The announcement; None if the version can't be found out.
    """
    if reserve.stream is None or reserve.software:
        return reserve
    software = origins.find(reserve.stream)
    if software is None:
        window_ms = _find_longest_stream(table)
        software = history.find_only(pool, window_ms)
    if software is None:
        return None
    return dataclasses.replace(reserve, software=software)


def make_unknown_refusal(
    reserve: decisions.Reserve, owned_ms: float
) -> decisions.Refuse:
    """Make the refusal of a stream whose version can't be found out.

    Parameters
    ----------
    reserve : Reserve
        Announcement of the request.
    owned_ms : float
        Time in ms for which this node has owned the pool.

    Returns
    -------
    Refuse
        With a time to come back only while other homes may tell the version.
    """
    return decisions.Refuse(
        reserve.request_id,
        reserve.home,
        decisions.Reason.OTHER_SOFTWARE,
        ran=False,
        retry_after_ms=RETRY_MS if owned_ms < NEWS_MS else 0,
    )


def _find_longest_stream(table: RoutingTable | None) -> float:
    routes = table.routes if table else ()
    return max(
        (route.timeout_ms for route in routes if route.is_resumable), default=0
    )
