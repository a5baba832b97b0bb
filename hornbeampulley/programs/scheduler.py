"""The scheduler: queues, limits and leases for the pools it owns now."""

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
HAND_OVER_MS: Final = 2000.0
_log = logging.getLogger(__name__)


class Scheduler:
    """All pools that homes ask this process to schedule.

    Parameters
    ----------
    process : Process
        This run of the program.
    fleet : Fleet
        What it knows of the fleet.
    drain : trio.Event
        Set when it is to shut down.
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
    def pools_in_use(self) -> int:
        """Number of pools that homes are linked for."""
        return sum(1 for pool in self.pools.values() if pool.is_used)

    async def wait_unused(self) -> None:
        """Wait until no home is linked."""
        while self.pools_in_use:
            self._unlinked = trio.Event()
            await self._unlinked.wait()

    def refresh(self) -> None:
        """Take the agent's latest word."""
        for pool in self.pools.values():
            pool.configure()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve the link of a home.

        Parameters
        ----------
        stream : trio.SocketStream
            Just accepted.
        """
        link = wire.Link(
            stream,
            self._process.make_hello(),
            self._make_heartbeat,
            self._process.hybrid,
        )
        await link.run(self._handle)
        if link.peer is not None and link.peer.pool:
            self._find_pool(link.peer.pool).lose(link)
        self._unlinked.set()

    async def tick(self) -> None:
        """Let time pass in all pools, for ever."""
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
    """Run the program."""
    run_daemon(Role.SCHEDULER, serve_scheduler)


async def serve_scheduler(process: Process, drain: trio.Event) -> None:
    """Schedule until drained.

    Parameters
    ----------
    process : Process
        This run of the program.
    drain : trio.Event
        Set when it is to shut down.
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
        # The homes see that it drains and move to the next in rank.
        with trio.move_on_after(to_seconds(HAND_OVER_MS)):
            await scheduler.wait_unused()
        nursery.cancel_scope.cancel()


def _make_heartbeat(
    scheduler: Scheduler,
    drain: trio.Event,
    _link: wire.Link,
) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(scheduler.pools_in_use, drain.is_set())


if __name__ == '__main__':
    main()
