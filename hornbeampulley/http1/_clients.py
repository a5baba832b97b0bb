"""Closes the connections that hold the most when memory is short.

Responds to crowds of clients that open connections, send nearly whole requests
or do not read answers. What a connection holds is counted whatever its size.
"""

import logging
from collections.abc import Iterable
from typing import Final, Protocol

import trio

from hornbeampulley.logs import log_event

# Tasks, parser and buffers of a connection (16 KB measured) and 16 KB that the
# kernel holds for it.
CONNECTION_BYTES: Final = 32_768
# Names and values of headers are objects of their own.
HEADER_BYTES: Final = 170
# So many bytes of a message are progress; the head with the longest default.
PROGRESS_BYTES: Final = 16_384
# Without progress for this time, a connection yields to a long body. A caller
# of a host with 10 Mbit/s shared by 70 sends `PROGRESS_BYTES` in that time.
STALLED_S: Final = 1.0
# Closes some more than needed, as each search goes through all connections.
SPARE_SHARE: Final = 1 / 16
# Part of the budget that connections may hold; short requests have what long
# bodies do not get of it.
CLIENT_SHARE: Final = 0.65
# A lower limit would refuse a request of 4 MiB beside some others.
MIN_BYTES: Final = 8_388_608
_log = logging.getLogger(__name__)


class Client(Protocol):
    """A connection that may be closed."""

    progress_s: float

    def measure_reclaimable(self) -> int:
        """Return how many bytes are given back when it is closed."""

    def evict(self) -> None:
        """Give back what is held; refuse the request or close."""


class Clients:
    """Connections and what they hold.

    Parameters
    ----------
    budget_bytes : int
        Bytes that the process may hold for requests and responses.

    Attributes
    ----------
    members : set of Client
        Open connections.
    held_bytes : int
        Bytes that they hold.
    evicted : int
        Number of connections that had to give back what they held.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.members: set[Client] = set()
        self.held_bytes = 0
        self.evicted = 0
        self._max_bytes = max(int(budget_bytes * CLIENT_SHARE), MIN_BYTES)

    def count_excess(self, more_bytes: int = 0) -> int:
        """Return by how many bytes the limit is exceeded.

        Parameters
        ----------
        more_bytes : int
            Number of bytes that come in addition.

        Returns
        -------
        int
            Number of bytes; 0 if there is room.
        """
        return max(self.held_bytes + more_bytes - self._max_bytes, 0)

    @property
    def max_count(self) -> int:
        """Number of connections for which there is memory."""
        return self._max_bytes // CONNECTION_BYTES

    def relieve(self) -> None:
        """Make connections give back what is too much."""
        excess = self.count_excess()
        if excess:
            self.reclaim(excess + int(self._max_bytes * SPARE_SHARE))

    def reclaim(self, needed: int, stalled_s: float = 0, kept: int = 0) -> None:
        """Make the worst connections give back bytes.

        Parameters
        ----------
        needed : int
            Number of bytes.
        stalled_s : float
            Shortest time without progress, in s.
        kept : int
            Number of bytes of each connection that do not help.
        """
        freed, count = 0, 0
        for client in rank_clients(self.members, stalled_s, kept):
            if freed >= needed:
                break
            freed += client.measure_reclaimable() - kept
            count += 1
            client.evict()
        self.count_evicted(count, freed)

    def count_evicted(self, count: int, freed: int) -> None:
        """Count and log connections that had to give back what they held.

        Parameters
        ----------
        count, freed : int
            Number of connections and of bytes.
        """
        if not count:
            return
        self.evicted += count
        log_event(
            _log,
            'clients_evicted',
            severity=logging.WARNING,
            count=count,
            freed=freed,
            held=self.held_bytes,
            limit=self._max_bytes,
            open=len(self.members),
        )


def rank_clients(
    clients: Iterable[Client], stalled_s: float = 0, kept: int = 0
) -> list[Client]:
    """Order connections by what they hold and how long without progress.

    Parameters
    ----------
    clients : iterable of Client
        The connections.
    stalled_s : float
        Shortest time without progress, in s.
    kept : int
        Number of bytes of each connection that do not help.

    Returns
    -------
    list of Client
        Those that may be evicted; the first ones should be.
    """
    now_s = trio.current_time()
    ranked = []
    for one in clients:
        idle_s = now_s - one.progress_s
        reclaimable = one.measure_reclaimable() - kept
        if reclaimable > 0 and idle_s >= stalled_s:
            ranked.append((reclaimable * idle_s, reclaimable, one))
    ranked.sort(key=lambda entry: entry[:2], reverse=True)
    return [client for _, _, client in ranked]
