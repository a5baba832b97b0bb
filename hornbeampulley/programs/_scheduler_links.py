"""Links from an entry to the scheduler of each pool."""

import functools
import logging
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.identity import Handover, LeaseStamp, SchedulerHeartbeat
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline import Home, SchedulerClient
from hornbeampulley.programs._fleet import Fleet, Place
from hornbeampulley.programs._process import Process
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    read_action,
    write_stamp,
)

RETRY_MS: Final = 100.0
AVOID_MS: Final = 2000.0
_log = logging.getLogger(__name__)


class SchedulerLinks:
    """Maintains one link per pool, to the scheduler that owns it.

    Parameters
    ----------
    process : Process
        Identity, settings and metrics of this process.
    fleet : Fleet
        Ranks the live schedulers of each pool.
    home : Home
        Requests of this entry; its scheduler clients use the links.
    """

    def __init__(self, process: Process, fleet: Fleet, home: Home) -> None:
        self.fleet = fleet
        self._process = process
        self._home = home
        self._own_incarnation = process.incarnation
        self._clock = Clock(trio.current_time)
        self._changed = trio.Event()
        self._avoided_until: dict[str, float] = {}
        self._links: dict[str, wire.Link] = {}

    def refresh(self) -> None:
        """Re-evaluate which scheduler owns each pool.

        Asks the current scheduler of a pool for a handover if another one
        owns the pool now.
        """
        self._changed.set()
        self._changed = trio.Event()
        for pool, link in self._links.items():
            preferred = self._choose_scheduler(pool)
            if preferred is None or link.peer is None:
                continue
            owner = preferred.incarnation
            if owner != link.peer.incarnation:
                log_event(_log, 'scheduler_changed', pool=pool, to=owner)
                link.send(ttypes.Leave())

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        served: set[str] = set()
        async with trio.open_nursery() as nursery:
            while True:
                for pool in set(self.fleet.list_pools()) - served:
                    nursery.start_soon(self._serve_pool, pool)
                served.update(self.fleet.list_pools())
                await self._changed.wait()

    async def _serve_pool(self, pool: str) -> None:
        while True:
            place = self._choose_scheduler(pool)
            if place is None:
                with trio.move_on_after(to_seconds(RETRY_MS)):
                    await self._changed.wait()
            else:
                await self._connect(pool, place)

    def _choose_scheduler(self, pool: str) -> Place | None:
        now_ms = self._clock.now()
        for place in self.fleet.rank_schedulers(pool):
            if self._avoided_until.get(place.incarnation, 0) <= now_ms:
                return place
        return None

    async def _connect(self, pool: str, place: Place) -> None:
        own_address = self._process.settings.host.address
        try:
            stream = await wire.open_stream(
                place.address,
                place.port,
                own_address,
            )
        except OSError as error:
            log_event(_log, 'scheduler_unreachable', pool=pool, error=error)
            self._avoid(place.incarnation)
            return
        scheduler_client = self._home.find_scheduler_client(pool)
        hello = self._process.make_hello()
        hello.pool = pool
        link = wire.Link(
            stream,
            hello,
            functools.partial(_make_heartbeat, scheduler_client),
            self._process.hybrid,
        )
        await self._run_link(pool, link)
        if self.fleet.rank_schedulers(pool)[:1] == (place,):
            self._avoid(place.incarnation)

    async def _run_link(self, pool: str, link: wire.Link) -> None:
        scheduler_client = self._home.find_scheduler_client(pool)
        try:
            await link.run(functools.partial(self._handle, pool))
        finally:
            scheduler_client.detach(link)
            self._links.pop(pool, None)
        log_event(_log, 'scheduler_lost', pool=pool)

    def _avoid(self, incarnation: str) -> None:
        self._avoided_until[incarnation] = self._clock.now() + AVOID_MS

    def _handle(self, pool: str, link: wire.Link, message: Any) -> None:
        scheduler_client = self._home.find_scheduler_client(pool)
        scheduler = link.peer.incarnation
        match message:
            case ttypes.Hello():
                log_event(_log, 'scheduler_linked', pool=pool, to=scheduler)
                self._links[pool] = link
                scheduler_client.attach(link)
                link.send(_make_heartbeat(scheduler_client, link))
            case ttypes.Heartbeat():
                scheduler_client.handle_heartbeat(
                    SchedulerHeartbeat(
                        scheduler,
                        message.session or 0,
                        message.number or 0,
                    ),
                )
            case ttypes.Handover():
                scheduler_client.accept_handover(
                    Handover(scheduler, message.session)
                )
                link.close()
            case ttypes.Quarantine():
                scheduler_client.quarantine(int(message.fingerprint))
            case ttypes.Lease():
                stamp = LeaseStamp(scheduler, message.session, message.heard)
                self._home.apply_action(
                    read_action(message, self._own_incarnation), stamp
                )
            case ttypes.Refuse() | ttypes.Preempt():
                self._home.apply_action(
                    read_action(message, self._own_incarnation)
                )


def _make_heartbeat(
    scheduler_client: SchedulerClient,
    _link: wire.Link,
) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(stamp=write_stamp(scheduler_client.make_stamp()))
