"""Small interfaces beside that of callers: readiness, directory, metrics."""

import json
from collections.abc import Callable
from typing import Final

from hornbeampulley.http1 import Reply, Request
from hornbeampulley.node._counters import Counters
from hornbeampulley.node._membership import Membership, NodeAddress

MAX_ADDRESSES: Final = 64
_JSON: Final = ((b'content-type', b'application/json'),)
_TEXT: Final = ((b'content-type', b'text/plain; version=0.0.4'),)


class Directory:
    """Tells callers which nodes take requests.

    Parameters
    ----------
    membership : Membership
        Knows the live nodes.
    ttl_s : float
        How long callers may keep the answer.
    """

    def __init__(self, membership: Membership, ttl_s: float) -> None:
        self._membership = membership
        self._ttl_s = ttl_s

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer a question for addresses.

        Parameters
        ----------
        request : Request
            Its query is not needed: all nodes serve all hosts.
        reply : Reply
            Gets the addresses.
        """
        body = {'addresses': self.list_addresses(), 'ttl_s': self._ttl_s}
        await reply.send(200, _JSON, json.dumps(body).encode())

    def list_addresses(self) -> list[str]:
        """List the nodes that take requests.

        Returns
        -------
        list of str
            Those that drain only if there is no other.
        """
        live = self._membership.live
        serving = [node for node in live if not node.is_draining]
        chosen: tuple[NodeAddress, ...] | list[NodeAddress] = serving or live
        return [str(node.callers) for node in chosen][:MAX_ADDRESSES]


class Readiness:
    """Tells whether the node takes requests.

    Parameters
    ----------
    is_ready : callable
        Whether it does.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer with 200 or 503.

        Parameters
        ----------
        request : Request
            Any.
        reply : Reply
            Gets the status.
        """
        await reply.send(200 if self._is_ready() else 503, ())


class MetricsPage:
    """Serves the counters.

    Parameters
    ----------
    counters : Counters
        What was counted.
    count_open : callable
        Returns the number of open requests.
    """

    def __init__(
        self,
        counters: Counters,
        count_open: Callable[[], int],
    ) -> None:
        self._counters = counters
        self._count_open = count_open

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer with the text of all counters.

        Parameters
        ----------
        request : Request
            Any.
        reply : Reply
            Gets the text.
        """
        text = self._counters.format(self._count_open())
        await reply.send(200, _TEXT, text)
