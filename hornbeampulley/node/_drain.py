"""Graceful shutdown of a node."""

import logging
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._node import Node

# Share of the grace time in which new requests are still accepted, since
# callers use a cached list of addresses for a while.
ACCEPT_SHARE: Final = 0.3
# Share of the grace time after which draining stops; the remainder is left
# for the exit of the process.
END_SHARE: Final = 0.87
# Time in which the answers to requests that could not end reach their callers.
LAST_ANSWERS_MS: Final = 200.0
STEP_MS: Final = 50.0
QUIET_MS: Final = 300.0
_log = logging.getLogger(__name__)


async def drain_node(node: Node) -> None:
    """Finish the open requests and refuse new ones within the grace time.

    What can't end by then is answered by an error; only streams that have begun
    are cut.

    Returns early once no caller has been connected for `QUIET_MS`.

    Parameters
    ----------
    node : Node
        The node that shuts down.
    """
    grace_ms = node.settings.bounds.grace_ms
    started_ms = node.clock.now()
    node.membership.start_draining()
    node.options.is_ending = True
    await node.gossip.send_round()
    log_event(_log, 'drain_started', open=node.lease_client.open_count)
    await trio.sleep(to_seconds(grace_ms * ACCEPT_SHARE))
    node.home.refuses_new = True
    end_ms = started_ms + grace_ms * END_SHARE
    node.home.ends_ms = end_ms - LAST_ANSWERS_MS
    _close_idle(node)
    quiet_since_ms = node.clock.now()
    while node.clock.now() < end_ms:
        await trio.sleep(to_seconds(STEP_MS))
        if node.clock.now() >= node.home.ends_ms:
            node.home.end_calls()
        _close_idle(node)
        if node.options.connections:
            quiet_since_ms = node.clock.now()
        if node.clock.now() - quiet_since_ms >= QUIET_MS:
            break
    log_event(_log, 'drain_ended', open=node.lease_client.open_count)


def _close_idle(node: Node) -> None:
    for connection in tuple(node.options.connections):
        if connection.is_idle:
            connection.close()
