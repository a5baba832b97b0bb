"""Polling of the load and the cache events of targets."""

import json
import logging
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import trio

from hornbeampulley import decisions
from hornbeampulley.clock import to_seconds
from hornbeampulley.configuration import ServiceKind, Target
from hornbeampulley.errors import TargetError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import TargetReport
from hornbeampulley.pipeline import TargetClient
from hornbeampulley.programs._fleet import Fleet
from hornbeampulley.programs._process import Process
from hornbeampulley.wire.scheduling import (
    HASH_MASK,
)

POLL_INTERVAL_MS: Final = 1000.0
_log = logging.getLogger(__name__)


class EventSink(Protocol):
    """Receiver of the events read from targets."""

    def handle(self, event: decisions.Event) -> None:
        """Handle an event of a target."""


async def poll_targets(
    process: Process,
    fleet: Fleet,
    pools: Mapping[str, EventSink],
    on_report: Callable[[TargetReport], None],
) -> None:
    """Poll all targets of the pools periodically, without end.

    Parameters
    ----------
    process : Process
        The running scheduler process.
    fleet : Fleet
        Fleet state, with the targets of each pool.
    pools : mapping
        Pools of this scheduler by name.
    on_report : callable
        Called with each report of a target on its loaded model.
    """
    client = TargetClient(process.settings.host.address)
    sequences: dict[str, int] = {}
    while True:
        async with trio.open_nursery() as nursery:
            for pool, sink in pools.items():
                for target in fleet.list_targets(pool):
                    nursery.start_soon(
                        _poll_target,
                        client,
                        target,
                        sink,
                        sequences,
                        on_report,
                    )
        await trio.sleep(to_seconds(POLL_INTERVAL_MS))


async def _poll_target(
    client: TargetClient,
    target: Target,
    sink: EventSink,
    sequences: dict[str, int],
    on_report: Callable[[TargetReport], None],
) -> None:
    try:
        await _read_load(client, target, sink, on_report)
        if target.kind is ServiceKind.MODEL:
            await _read_cache(client, target, sink, sequences)
    except (TargetError, ValueError, KeyError) as error:
        log_event(
            _log,
            'target_unreadable',
            severity=logging.DEBUG,
            target=target.name,
            error=error,
        )


async def _read_load(
    client: TargetClient,
    target: Target,
    sink: EventSink,
    on_report: Callable[[TargetReport], None],
) -> None:
    reply = await client.fetch(target, 'GET', '/load')
    load = json.loads(reply.body)
    if 'model' in load:
        number = int(load.get('fencing', 0))
        on_report(TargetReport(target.name, str(load['model']), number))
    sink.handle(
        decisions.LoadReport(
            target.name,
            int(load['running']),
            int(load['queued']),
            float(load['age_ms']),
        ),
    )


async def _read_cache(
    client: TargetClient,
    target: Target,
    sink: EventSink,
    sequences: dict[str, int],
) -> None:
    last_sequence = sequences.get(target.name, 0)
    path = f'/cache-events?after={last_sequence}'
    reply = await client.fetch(target, 'GET', path)
    for event in json.loads(reply.body)['events']:
        sequences[target.name] = int(event['sequence'])
        sink.handle(
            decisions.CacheEvent(
                target.name,
                int(event['sequence']),
                _read_hashes(event['added']),
                _read_hashes(event['removed']),
            ),
        )


def _read_hashes(hashes: list[int]) -> tuple[int, ...]:
    return tuple(number & HASH_MASK for number in hashes)
