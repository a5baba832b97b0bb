"""The scheduler: queues, limits and leases for the pools it owns now."""

import functools
import logging
from typing import Any, Final

import trio

from hornbeampulley import decisions, wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.identity import FateRecorder, Ran, RequestId, Stamp
from hornbeampulley.logs import log_event
from hornbeampulley.membership import Role
from hornbeampulley.metrics import TAKEOVERS
from hornbeampulley.pipeline import TIMING
from hornbeampulley.programs._fleet import Fleet, follow_agent
from hornbeampulley.programs._orders import Orders
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
ANNOUNCED_AFTER_MS: Final = 300.0
_log = logging.getLogger(__name__)


class PoolScheduler:
    """Runs the core of one pool and talks for it to the homes.

    Parameters
    ----------
    pool : str
        Name of the pool.
    incarnation : str
        Incarnation of this scheduler.
    fleet : Fleet
        Configuration and leaving targets.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        pool: str,
        incarnation: str,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.core = decisions.Core(pool, seed=1, is_takeover=True)
        self._incarnation = incarnation
        self._fates = FateRecorder(incarnation, TIMING)
        self._fleet = fleet
        self._clock = clock
        self._links: dict[str, wire.Link] = {}
        self._is_takeover = True
        self._incomplete_ms = clock.now()
        self.configure()

    @property
    def is_used(self) -> bool:
        """Whether a home is linked."""
        return bool(self._links)

    def configure(self) -> None:
        """Take the agent's latest word."""
        now_ms = self._clock.now()
        for incarnation in self._fleet.list_ended():
            self._fates.confirm_death(incarnation, now_ms)
        self.handle(decisions.Configure(self._fleet.configuration))
        self.handle(decisions.TargetsLeaving(self._fleet.leaving))

    def tick(self) -> None:
        """Let time pass."""
        now_ms = self._clock.now()
        self._fates.sweep(now_ms)
        if self._is_takeover and self._knows_all_homes(now_ms):
            self._is_takeover = False
            self.handle(decisions.TakeoverEnded())
        self.handle(decisions.Tick())

    def receive(self, link: wire.Link, message: Any) -> None:
        """Take a message of a home.

        Parameters
        ----------
        link : Link
            To the home.
        message : thrift struct
            What it sent.
        """
        home = link.peer.incarnation
        now_ms = self._clock.now()
        match message:
            case ttypes.Heartbeat():
                self._hear(link, message)
            case ttypes.Leave():
                self._hand_over(link)
            case ttypes.FateQuery():
                self._answer_fate(link, message.request_id)
            case ttypes.Reserve():
                self._announce(link, message)
            case ttypes.Withdraw() | ttypes.Progress() | ttypes.Release():
                self._record_end(home, message)
                self.handle(wire.read_event(message, home, now_ms))

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

    def make_heartbeat(self, link: wire.Link) -> ttypes.Heartbeat:
        """Make the next heartbeat to a home.

        Parameters
        ----------
        link : Link
            To the home.

        Returns
        -------
        ttypes.Heartbeat
            With a number that the home echoes.
        """
        heartbeat = self._fates.make_heartbeat(
            link.peer.incarnation,
            self._clock.now(),
        )
        if heartbeat is None:
            return ttypes.Heartbeat()
        return ttypes.Heartbeat(
            session=heartbeat.session,
            number=heartbeat.number,
        )

    def _knows_all_homes(self, now_ms: float) -> bool:
        if len(self._links) < max(self._fleet.count_entries(), 1):
            self._incomplete_ms = now_ms
        return now_ms - self._incomplete_ms >= ANNOUNCED_AFTER_MS

    def _hear(self, link: wire.Link, message: ttypes.Heartbeat) -> None:
        if message.stamp is None:
            return
        home = link.peer.incarnation
        is_new = self._links.get(home) is not link
        self._links[home] = link
        self._fates.hear(self._read_stamp(home, message), self._clock.now())
        if is_new:
            link.send(self.make_heartbeat(link))

    def _announce(self, link: wire.Link, message: ttypes.Reserve) -> None:
        home = link.peer.incarnation
        now_ms = self._clock.now()
        is_taken = self._fates.announce(
            self._read_stamp(home, message),
            wire.read_request_id(message, home),
            now_ms,
            bool(message.dispatched),
        )
        if is_taken:
            self.handle(wire.read_event(message, home, now_ms))
        else:
            # The home starts a new session and announces all again.
            link.close()

    def _record_end(self, home: str, message: Any) -> None:
        stamp = getattr(message, 'stamp', None)
        if stamp is not None:
            self._fates.release(
                self._read_stamp(home, message),
                wire.read_request_id(message, home),
                self._clock.now(),
            )

    def _read_stamp(self, home: str, message: Any) -> Stamp:
        return wire.read_stamp(message.stamp, home, self._incarnation)

    def _hand_over(self, link: wire.Link) -> None:
        handover = self._fates.hand_over(link.peer.incarnation)
        if handover is not None:
            link.send(ttypes.Handover(handover.session))
        self.lose(link)

    def _answer_fate(self, link: wire.Link, id_text: str) -> None:
        ran = self._fates.judge(RequestId.parse(id_text))
        log_event(_log, 'fate_judged', request=id_text, ran=ran.value)
        link.send(ttypes.FateAnswer(id_text, ran is Ran.NO))

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
        link = self._links.get(action.home)
        if link is None:
            return
        stamp = None
        if isinstance(action, decisions.Lease):
            stamp = self._fates.lease(RequestId.parse(action.request_id))
        log_event(
            _log,
            f'{type(action).__name__.lower()}_sent',
            request=action.request_id,
            target=getattr(action, 'target', None),
        )
        link.send(wire.write_action(action, stamp))


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
