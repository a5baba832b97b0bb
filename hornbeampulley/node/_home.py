"""The home of requests: what the filters and the sending need."""

import logging
import math
from typing import Final

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
    """Answers the requests of one node.

    Parameters
    ----------
    store_view : StoreView
        Routing and targets.
    lease_client : LeaseClient
        Asks for leases.
    caps : UsageCapClient
        Draws on usage caps.
    sender : Sender
        Sends requests to targets.
    dialect : Dialect
        Names of headers.
    retries : HostRetryBudget
        This node's part of the retry budget.
    counters : Counters
        What is counted.

    Attributes
    ----------
    refuses_new : bool
        Whether new requests are refused, as the node shuts down.
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

    async def refuse(self, call: Call, error: CallError) -> None:
        """Answer a request with a refusal or a failure.

        Parameters
        ----------
        call : Call
            Its answer must not have started.
        error : CallError
            Why.
        """
        call.status = error.status
        call.outcome = error.reason
        if call.reply.is_started:
            # The connection ends without the rest, so that the caller sees
            # that the answer is not whole.
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
