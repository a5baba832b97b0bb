"""The scheduler: queues, limits and leases for the pools it owns now."""

import functools
import logging
from typing import Any, Final

import trio

from hornbeampulley import decisions, wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.membership import Role
from hornbeampulley.metrics import TAKEOVERS
from hornbeampulley.programs._fleet import Fleet, follow_agent
from hornbeampulley.programs._polling import poll_targets
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

_FROM_HOMES: Final = (
    ttypes.Withdraw,
    ttypes.Progress,
    ttypes.Release,
)


class PoolScheduler:
    """Runs the core of one pool and talks for it to the homes.

    Parameters
    ----------
    pool : str
        Name of the pool.
    fleet : Fleet
        Configuration and leaving targets.
    clock : Clock
        Time.
    """

    def __init__(self, pool: str, fleet: Fleet, clock: Clock) -> None:
        self.pool = pool
        self.core = decisions.Core(pool, seed=1, is_takeover=True)
        self._fleet = fleet
        self._clock = clock
        self._links: dict[str, wire.Link] = {}
        self.configure()

    @property
    def is_used(self) -> bool:
        """Whether a home is linked."""
        return bool(self._links)

    def configure(self) -> None:
        """Take the configuration in force and the leaving targets."""
        self.handle(decisions.Configure(self._fleet.configuration))
        self.handle(decisions.TargetsLeaving(self._fleet.leaving))

    def receive(self, link: wire.Link, event: decisions.Event) -> None:
        """Take an event of a home.

        Parameters
        ----------
        link : Link
            To the home.
        event : Event
            What it sent.
        """
        self._links[link.peer.incarnation] = link
        self.handle(event)

    def lose(self, link: wire.Link) -> None:
        """Forget a home whose link has closed.

        Parameters
        ----------
        link : Link
            The link.
        """
        home = link.peer.incarnation
        if self._links.get(home) is link:
            self._links.pop(home)
            self.handle(decisions.HomeLost(home))

    def handle(self, event: decisions.Event) -> None:
        """Pass an event to the core and send what it decides.

        Parameters
        ----------
        event : Event
            What happened.
        """
        for action in self.core.handle(event, self._clock.now()):
            self._carry_out(action)

    def _carry_out(self, action: decisions.Action) -> None:
        if isinstance(action, decisions.Warn):
            log_event(
                _log,
                action.event,
                severity=logging.WARNING,
                pool=self.pool,
                subject=action.subject,
            )
            return
        log_event(
            _log,
            f'{type(action).__name__.lower()}_sent',
            request=action.request_id,
            target=getattr(action, 'target', None),
        )
        link = self._links.get(action.home)
        if link is not None:
            link.send(wire.write_action(action))


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
        self._pool_of_request: dict[str, str] = {}
        self._unlinked = trio.Event()
        self._subject = Subject(process, drain, self._describe, self._explain)

    @property
    def links_count(self) -> int:
        """Number of pools in use."""
        return sum(1 for pool in self.pools.values() if pool.is_used)

    async def wait_unused(self) -> None:
        """Wait until no home is linked."""
        while self.links_count:
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
            hybrid=self._process.hybrid,
        )
        await link.run(self._handle)
        if link.peer is None:
            return
        for pool in self.pools.values():
            pool.lose(link)
        self._unlinked.set()

    async def tick(self) -> None:
        """Let time pass in all pools, for ever."""
        while True:
            for pool in self.pools.values():
                pool.handle(decisions.Tick())
            await trio.sleep(to_seconds(TICK_MS))

    def _handle(self, link: wire.Link, message: Any) -> None:
        home = link.peer.incarnation
        now_ms = self._clock.now()
        if isinstance(message, ttypes.Reserve):
            event = wire.read_event(message, home, now_ms)
            self._pool_of_request[message.request_id] = message.pool
            self._find_pool(message.pool).receive(link, event)
        elif isinstance(message, _FROM_HOMES):
            pool = self._pool_of_request.get(message.request_id)
            event = wire.read_event(message, home, now_ms)
            if pool is not None:
                self._find_pool(pool).receive(link, event)
            if isinstance(message, ttypes.Withdraw | ttypes.Release):
                self._forget(message)
        elif isinstance(message, ttypes.FateQuery):
            link.send(ttypes.FateAnswer(message.request_id, False))
        elif isinstance(message, ttypes.Query):
            link.send(answer_query(self._subject, message))

    def _describe(self) -> dict[str, Any]:
        used = (pool.core for pool in self.pools.values() if pool.is_used)
        return describe_scheduler(used, self._fleet)

    def _explain(self, request_id: str) -> dict[str, Any]:
        cores = (pool.core for pool in self.pools.values())
        return explain_decisions(cores, request_id)

    def _forget(self, message: Any) -> None:
        outcome = getattr(message, 'outcome', None)
        if outcome not in {'not_sent', 'preempted'}:
            self._pool_of_request.pop(message.request_id, None)

    def _find_pool(self, pool: str) -> PoolScheduler:
        if pool not in self.pools:
            self.pools[pool] = PoolScheduler(pool, self._fleet, self._clock)
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
    port = process.settings.ports.scheduler_peer
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scheduler.tick)
        nursery.start_soon(poll_targets, process, fleet, scheduler.pools)
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
) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(scheduler.links_count, drain.is_set())


if __name__ == '__main__':
    main()
