"""Stand-ins for links, so that one end can be measured by itself."""

import dataclasses
import time
from typing import Any, Final

from hornbeampulley import decisions, wire
from hornbeampulley.clock import Clock
from hornbeampulley.configuration import (
    Configuration,
    RoutingRule,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.identity import (
    LeaseStamp,
    Ledger,
    LedgerLimits,
    SchedulerHeartbeat,
    SessionStamp,
)
from hornbeampulley.pipeline import Home, Request, SchedulerClient
from hornbeampulley.programs._pool_scheduler import PoolScheduler
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    read_action,
    write_event,
    write_reserve,
    write_stamp,
)

TARGETS: Final = 32
SLOTS: Final = 64
POOL: Final = 'model-pool'
HOME: Final = '0123456789abcdef'
SCHEDULER: Final = 'fedcba9876543210'
LENGTH_BYTES: Final = 4
HLC: Final = 1_796_353_525_412 << 20


def make_configuration() -> Configuration:
    """Return a configuration with one pool."""
    targets = [
        Target(
            f'engine-{index}',
            POOL,
            f'10.1.0.{index + 1}',
            8000,
            'zone-a',
            slots=SLOTS,
        )
        for index in range(TARGETS)
    ]
    return Configuration(
        tiers={'standard': Tier('standard', 0)},
        workspaces={'workshop': Workspace('workshop')},
        services={'consult': Service('consult', POOL)},
        targets={target.name: target for target in targets},
        rules=(RoutingRule('*', '*', 'standard'),),
    )


@dataclasses.dataclass(slots=True)
class FixedFleet:
    """A fleet that does not change."""

    configuration: Configuration = dataclasses.field(
        default_factory=make_configuration,
    )
    leaving: frozenset[str] = frozenset()
    is_ready: bool = True

    def count_entries(self) -> int:
        """Count one entry."""
        return 1

    def list_ended(self) -> frozenset[str]:
        """List no process."""
        return frozenset()


class _FixedClient:
    """Stands in for the client of targets; only its clock is used."""

    def __init__(self) -> None:
        self.clock = Clock(time.monotonic)


class RecordingLink:
    """A link whose other end is played by the benchmark.

    Attributes
    ----------
    peer : ttypes.Hello
        Who the other end is.
    sent : list
        Messages sent since it was last read.
    """

    def __init__(self, incarnation: str) -> None:
        self.peer = ttypes.Hello(incarnation=incarnation, pool=POOL)
        self.sent: list[Any] = []
        self.is_closed = False

    def send(self, *messages: Any) -> None:
        """Record messages."""
        self.sent.extend(messages)

    def close(self) -> None:
        """Note that the link is closed."""
        self.is_closed = True

    def pass_on(self) -> list[Any]:
        """Encode and decode what was sent and forget it."""
        body = wire.encode_frame(self.sent, HLC)
        self.sent.clear()
        return wire.decode_body(body[LENGTH_BYTES:]).messages


class HomeSide(RecordingLink):
    """The link of a home under test to a scheduler that always leases."""

    def __init__(self, scheduler_client: SchedulerClient) -> None:
        super().__init__(SCHEDULER)
        self._scheduler_client = scheduler_client
        self._number = 0
        self.beat()

    def beat(self) -> None:
        """Let the scheduler's heartbeat come."""
        self._number += 1
        self._scheduler_client.handle_heartbeat(
            SchedulerHeartbeat(SCHEDULER, 1, self._number)
        )

    def serve(self, home: Home, request: Request, index: int) -> None:
        """Take a request through reserve, lease, dispatch and release."""
        request_id = request.request_id
        request.route = home.view.configuration.find_route(
            request.incoming.workspace,
            request.incoming.service,
        )
        if not index % 100:
            self.beat()
        self._scheduler_client.send(request.to_reserve(HOME, home.clock.now()))
        heard = self.pass_on()[-1].stamp.sequence
        lease = ttypes.Lease(
            request_id.lease,
            request_id.counter,
            'engine-1',
            1000,
            False,
            1,
            heard,
        )
        action = read_action(lease, HOME)
        home.apply_action(action, LeaseStamp(SCHEDULER, 1, heard))
        self._scheduler_client.permit_dispatch(
            request_id, request.lease_stamp, 1000
        )
        home.ledger.mark_dispatched(request_id)
        self._scheduler_client.send(
            decisions.Release(str(request_id), decisions.Outcome.DONE, 200),
        )
        self.pass_on()
        home.ledger.finish(request_id, b'', home.clock.now())
        home.close(request)


class SchedulerSide(RecordingLink):
    """The link of a scheduler under test to a home."""

    def __init__(self) -> None:
        super().__init__(HOME)
        self._sequence = 0
        self._echo = 0

    def greet(self, pool: PoolScheduler) -> None:
        """Open a session."""
        pool.receive(
            self,
            ttypes.Heartbeat(stamp=write_stamp(self.make_stamp())),
        )
        self._echo = self.sent[-1].number
        self.sent.clear()

    def serve(self, pool: PoolScheduler, event: decisions.Reserve) -> None:
        """Ask for a lease and end it."""
        self.reserve(pool, event)
        self.release(pool, event.request_id)

    def reserve(self, pool: PoolScheduler, event: decisions.Reserve) -> None:
        """Ask for a lease."""
        message = write_reserve(event, self.make_stamp(), 0)
        pool.receive(self, _recode(message))
        self.pass_on()

    def release(self, pool: PoolScheduler, request_id: str) -> None:
        """End a lease."""
        event = decisions.Release(
            request_id,
            decisions.Outcome.DONE,
            200,
            250,
            6000,
            512,
        )
        message = write_event(event, self.make_stamp())
        pool.receive(self, _recode(message))
        self.sent.clear()

    def make_stamp(self) -> SessionStamp:
        """Make the stamp of the next message."""
        self._sequence += 1
        return SessionStamp(HOME, 1, self._sequence, self._echo, SCHEDULER)


def make_home() -> tuple[Home, HomeSide]:
    """Return a home and its link."""
    limits = LedgerLimits(
        lease_count=100_000,
        max_open=100_000,
        retention_ms=0,
    )
    home = Home(Ledger(HOME, limits), FixedFleet(), _FixedClient())
    scheduler_client = home.find_scheduler_client(POOL)
    scheduler_client.attach(RecordingLink(SCHEDULER))
    link = HomeSide(scheduler_client)
    scheduler_client.link = link
    return home, link


def make_pool() -> tuple[PoolScheduler, SchedulerSide]:
    """Return the scheduler of a pool and its link."""
    pool = PoolScheduler(POOL, SCHEDULER, FixedFleet(), Clock())
    link = SchedulerSide()
    link.greet(pool)
    pool.handle(decisions.TakeoverEnded())
    return pool, link


def _recode(message: Any) -> Any:
    frame = wire.encode_frame([message])
    return wire.decode_body(frame[LENGTH_BYTES:]).messages[0]
