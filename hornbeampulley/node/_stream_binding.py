"""Binds requests that take up a stream to the software version that began it."""

import dataclasses
import enum
from typing import Final

from hornbeampulley import decisions
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._stream_origins import StreamOrigins
from hornbeampulley.routing import RoutingTable

# A new owner of a pool may still be told of streams for this long.
NEWS_MS: Final = 1000.0
# Time after which a caller may come back to a new owner.
RETRY_MS: Final = 300.0


class Evidence(enum.Enum):
    """What is known of a stream whose origin nobody has told."""

    SEVERAL_VERSIONS = 'several_versions'
    ONE_VERSION = 'one_version'
    MISSING_HISTORY = 'missing_history'


def bind_stream(
    reserve: decisions.Reserve, origins: StreamOrigins
) -> decisions.Reserve | None:
    """Set the version that a request needs if it takes up a stream.

    Parameters
    ----------
    reserve : Reserve
        Announcement of the request.
    origins : StreamOrigins
        Where streams began.

    Returns
    -------
    Reserve or None
        The announcement; None if nobody has told where the stream began.
    """
    if reserve.stream is None or reserve.software:
        return reserve
    software = origins.find(reserve.stream)
    if software is None:
        return None
    return dataclasses.replace(reserve, software=software)


def weigh_history(
    history: SoftwareHistory, pool: str, window_ms: float
) -> Evidence:
    """Weigh what the versions of a pool tell of a stream.

    Only if all targets have had one version for as long as a stream may last, the
    stream began at it.

    Parameters
    ----------
    history : SoftwareHistory
        Versions of the targets.
    pool : str
        Name of the pool.
    window_ms : float
        Longest duration of a stream, in ms.

    Returns
    -------
    Evidence
        What they tell.
    """
    if len(history.list_versions(pool, window_ms)) > 1:
        return Evidence.SEVERAL_VERSIONS
    if history.find_only(pool, window_ms) is None:
        return Evidence.MISSING_HISTORY
    return Evidence.ONE_VERSION


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


def find_longest_stream(table: RoutingTable | None) -> float:
    """Return the longest time for which a stream may last.

    Parameters
    ----------
    table : RoutingTable or None
        Routing table in force.

    Returns
    -------
    float
        Time in ms; 0 if no route has streams that may be taken up.
    """
    routes = table.routes if table else ()
    return max(
        (route.timeout_ms for route in routes if route.is_resumable), default=0
    )
