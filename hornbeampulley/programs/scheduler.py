"""The scheduler process: queues, limits and leases of the pools it owns."""

import functools
import logging
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.membership import Role
from hornbeampulley.metrics import TAKEOVERS
from hornbeampulley.programs._fleet import Fleet, follow_agent
from hornbeampulley.programs._orders import Orders
from hornbeampulley.programs._polling import poll_targets
from hornbeampulley.programs._pool_scheduler import PoolScheduler
from hornbeampulley.programs._process import Process, run_daemon
from hornbeampulley.programs._queries import Subject, answer_query
from hornbeampulley.programs._scheduler_reports import (
    describe_scheduler,
    explain_decisions,
)
from hornbeampulley.wire.generated.peer import ttypes

TICK_MS: Final = 100.0
HANDOVER_TIMEOUT_MS: Final = 2000.0
_log = logging.getLogger(__name__)


class Scheduler:
    """Schedules every pool for which a home entry has linked.

    The home of a request is the entry that its id belongs to.

    Parameters
    ----------
    process : Process
        Identity, settings and metrics of this process.
    fleet : Fleet
        View of the fleet: configuration and processes.
    drain : trio.Event
        Set to start the shutdown.
    """

    def __init__(
        self,
        process: Process,
        fleet: Fleet,
        drain: trio.Event,
    ) -> None:
        self.pools: dict[str, PoolScheduler] = {}
        self._process = process
        self._fleet = fleet
        self._clock = Clock(trio.current_time)
        self._unlinked = trio.Event()
        self._subject = Subject(process, drain, self._describe, self._explain)

    @property
    def linked_pool_count(self) -> int:
        """Number of pools with at least one linked home."""
        return sum(1 for pool in self.pools.values() if pool.is_used)

    async def wait_unlinked(self) -> None:
        """Wait until no home is linked."""
        while self.linked_pool_count:
            self._unlinked = trio.Event()
            await self._unlinked.wait()

    def refresh(self) -> None:
        """Apply the latest fleet view of the agent to all pools."""
        for pool in self.pools.values():
            pool.configure()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve an incoming link until it closes.

        Parameters
        ----------
        stream : trio.SocketStream
            Connection of a home or an operator.
        """
        link = wire.Link(
            stream,
            self._process.make_hello(),
            self._make_heartbeat,
            self._process.hybrid,
        )
        await link.run(self._handle)
        if link.peer is not None and link.peer.pool:
            self._find_pool(link.peer.pool).remove_link(link)
        self._unlinked.set()

    async def tick(self) -> None:
        """Tick all pools periodically until cancelled."""
        while True:
            for pool in self.pools.values():
                pool.tick()
            await trio.sleep(to_seconds(TICK_MS))

    def _handle(self, link: wire.Link, message: Any) -> None:
        if isinstance(message, ttypes.Query):
            link.send(answer_query(self._subject, message))
        elif link.peer.pool:
            self._find_pool(link.peer.pool).receive(link, message)

    def _describe(self) -> dict[str, Any]:
        used = (pool.core for pool in self.pools.values() if pool.is_used)
        return describe_scheduler(used, self._fleet)

    def _explain(self, request_id: str) -> dict[str, Any]:
        cores = (pool.core for pool in self.pools.values())
        return explain_decisions(cores, request_id)

    def _make_heartbeat(self, link: wire.Link) -> ttypes.Heartbeat:
        if link.peer is None or not link.peer.pool:
            return ttypes.Heartbeat()
        return self._find_pool(link.peer.pool).make_heartbeat(link)

    def _find_pool(self, pool: str) -> PoolScheduler:
        if pool not in self.pools:
            self.pools[pool] = PoolScheduler(
                pool,
                self._process.incarnation,
                self._fleet,
                self._clock,
            )
            self._process.metrics.count(TAKEOVERS, pool)
            log_event(_log, 'pool_taken', pool=pool)
        return self.pools[pool]


def main() -> None:
    """Run the scheduler."""
    run_daemon(Role.SCHEDULER, serve_scheduler)


async def serve_scheduler(process: Process, drain: trio.Event) -> None:
    """Schedule requests until drained.

    Parameters
    ----------
    process : Process
        Identity, settings and metrics of this process.
    drain : trio.Event
        Set to start the shutdown.
    """
    fleet = Fleet(process)
    scheduler = Scheduler(process, fleet, drain)
    orders = Orders(process, fleet, scheduler.pools)
    port = process.settings.ports.scheduler_peer
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scheduler.tick)
        nursery.start_soon(orders.run)
        nursery.start_soon(
            poll_targets,
            process,
            fleet,
            scheduler.pools,
            orders.hear,
        )
        nursery.start_soon(
            follow_agent,
            process,
            fleet,
            process.make_hello(port),
            functools.partial(_make_heartbeat, scheduler, drain),
            scheduler.refresh,
        )
        nursery.start_soon(
            wire.serve_links,
            process.settings.host.address,
            port,
            scheduler.accept,
            fleet.is_listed,
        )
        await drain.wait()
        # Heartbeats announce the drain; the homes then move to the scheduler
        # that ranks next.
        with trio.move_on_after(to_seconds(HANDOVER_TIMEOUT_MS)):
            await scheduler.wait_unlinked()
        nursery.cancel_scope.cancel()


def _make_heartbeat(
    scheduler: Scheduler,
    drain: trio.Event,
    _link: wire.Link,
) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(scheduler.linked_pool_count, drain.is_set())


if __name__ == '__main__':
    main()
