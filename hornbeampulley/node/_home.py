"""Home of requests: the shared state of the request filters.

The home entry of a request is the node that received it; it alone dispatches
the request.
"""

import logging
import math
from typing import Final

import trio

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.http1 import Header
from hornbeampulley.logs import log_event
from hornbeampulley.node._calls import Call, CallError
from hornbeampulley.node._counters import Counters
from hornbeampulley.node._lease_client import LeaseClient
from hornbeampulley.node._sending import Sender
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._usage_cap_client import UsageCapClient
from hornbeampulley.node.dialect import Dialect
from hornbeampulley.routing import HostRetryBudget

MIN_RETRY_MS: Final = 20.0
_log = logging.getLogger(__name__)


class Home:
    """Services with which a node handles the requests that it receives.

    Parameters
    ----------
    store_view : StoreView
        Routing table and targets.
    lease_client : LeaseClient
        Requests leases from the schedulers.
    caps : UsageCapClient
        Draws on usage caps.
    sender : Sender
        Sends requests to targets.
    dialect : Dialect
        Reads and writes the headers.
    retries : HostRetryBudget
        Retry budget of this node.
    counters : Counters
        Metrics of this node.

    Attributes
    ----------
    refuses_new : bool
        Whether new requests are refused because the node shuts down.
    ends_ms : float
        Time when the open requests end because the node shuts down, in ms;
        infinite while it does not.
    open_calls : set of trio.CancelScope
        Scopes of the requests that are being served.
    """

    def __init__(
        self,
        store_view: StoreView,
        lease_client: LeaseClient,
        caps: UsageCapClient,
        sender: Sender,
        dialect: Dialect,
        retries: HostRetryBudget,
        counters: Counters,
    ) -> None:
        self.store_view = store_view
        self.lease_client = lease_client
        self.caps = caps
        self.sender = sender
        self.dialect = dialect
        self.retries = retries
        self.counters = counters
        self.clock = sender.clock
        self.refuses_new = False
        self.ends_ms = math.inf
        self.open_calls: set[trio.CancelScope] = set()

    def end_calls(self) -> None:
        """End all open requests with error responses."""
        for scope in tuple(self.open_calls):
            scope.cancel()

    async def refuse(self, call: Call, error: CallError) -> None:
        """Answer a request with an error response.

        If the response has already started, it is left incomplete.

        Parameters
        ----------
        call : Call
            Request to answer.
        error : CallError
            Status, reason and text of the response.
        """
        call.status = error.status
        call.outcome = error.reason
        if call.reply.is_started:
            # The connection is closed without the end of the response, so
            # that the caller detects that it is incomplete.
            return
        if call.units and not call.may_have_run:
            self.caps.refund(call.workspace_name, call.units)
        log_event(
            _log,
            'request_refused',
            request=call.name,
            status=error.status,
            reason=error.reason,
            detail=str(error),
            retry_after_ms=round(error.retry_after_ms) or None,
        )
        headers: list[Header] = [(b'content-type', b'text/plain')]
        headers.extend(self.dialect.list_error_headers(call.metadata))
        if error.retry_after_ms:
            headers.append((b'retry-after', _format_seconds(error)))
        await call.reply.send(error.status, headers, f'{error}\n'.encode())


def _format_seconds(error: CallError) -> bytes:
    retry_ms = math.ceil(max(error.retry_after_ms, MIN_RETRY_MS))
    return b'%.3f' % (retry_ms / MS_PER_SECOND)
