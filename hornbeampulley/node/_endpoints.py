"""Auxiliary HTTP endpoints: readiness, directory of nodes and metrics."""

import json
from collections.abc import Callable
from typing import Final

from hornbeampulley.http1 import Reply, Request
from hornbeampulley.node._counters import Counters
from hornbeampulley.node._entry_choice import choose_entries
from hornbeampulley.node._freshness import Freshness
from hornbeampulley.node._membership import Membership
from hornbeampulley.node.dialect import Dialect

MAX_ADDRESSES: Final = 64
_JSON: Final = ((b'content-type', b'application/json'),)
_TEXT: Final = ((b'content-type', b'text/plain; version=0.0.4'),)


class DirectoryEndpoint:
    """Endpoint that lists the addresses of the nodes for callers.

    Parameters
    ----------
    membership : Membership
        Source of the live nodes.
    ttl_s : float
        Time in seconds for which callers may cache the answer.
    dialect : Dialect
        Reads where a caller is.
    """

    def __init__(
        self,
        membership: Membership,
        ttl_s: float,
        dialect: Dialect,
    ) -> None:
        self._membership = membership
        self._ttl_s = ttl_s
        self._dialect = dialect

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer with the addresses as JSON.

        Parameters
        ----------
        request : Request
            Tells the zone of the caller. Its host is not used: every node
            serves every host.
        reply : Reply
            Response to write.
        """
        zone = self._dialect.read_zone(request)
        body = {'addresses': self.list_addresses(zone), 'ttl_s': self._ttl_s}
        await reply.send(200, _JSON, json.dumps(body).encode())

    def list_addresses(self, availability_zone: str) -> list[str]:
        """List the addresses of the nodes for the callers of a zone.

        Parameters
        ----------
        availability_zone : str
            Availability zone of the callers; empty if not known.

        Returns
        -------
        list of str
            Addresses with ports.
        """
        live = self._membership.live
        chosen = choose_entries(live, availability_zone, MAX_ADDRESSES)
        return [str(node.callers) for node in chosen]


class ReadinessEndpoint:
    """ReadinessEndpoint probe of the node.

    Parameters
    ----------
    is_ready : callable
        Returns whether the node accepts requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer with 200 if the node is ready, otherwise with 503.

        Parameters
        ----------
        request : Request
            Not used.
        reply : Reply
            Response to write.
        """
        await reply.send(200 if self._is_ready() else 503, ())


class MetricsEndpoint:
    """Endpoint that serves the metrics.

    Parameters
    ----------
    counters : Counters
        Metrics of the node.
    count_open : callable
        Returns the number of open requests.
    freshness : Freshness
        How long ago the view matched the store.
    """

    def __init__(
        self,
        counters: Counters,
        count_open: Callable[[], int],
        freshness: Freshness,
    ) -> None:
        self._counters = counters
        self._count_open = count_open
        self._freshness = freshness

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer with all metrics as text.

        Parameters
        ----------
        request : Request
            Not used.
        reply : Reply
            Response to write.
        """
        text = self._counters.format(self._count_open(), self._freshness.age_ms)
        await reply.send(200, _TEXT, text)
