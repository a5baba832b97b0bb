"""Stand-in for a plain service with a call that must not be repeated."""

import argparse
import collections
import dataclasses
from typing import Final

import trio
import xxhash

from hornbeampulley.clock import to_seconds
from standins._faults import FaultSwitch
from standins._lag import LaggedValue
from standins._messages import HttpError, Request, Response, respond_json
from standins._serving import Application, Listener, run_program

ORDER_STATUSES: Final = ('received', 'in progress', 'ready', 'collected')


def find_order_status(order: str) -> str:
    """Return the status of an order, derived from a hash of its name."""
    number = xxhash.xxh3_64_intdigest(order.encode())
    return ORDER_STATUSES[number % len(ORDER_STATUSES)]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a service stand-in.

    Attributes
    ----------
    delay_ms : float
        Duration of a call or a lookup.
    slots : int
        Requests that run concurrently.
    load_lag_ms : float
        Delay in ms before load reports become visible.
    """

    delay_ms: float = 5
    slots: int = 8
    load_lag_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Number of running and queued requests of a service."""

    running: int = 0
    queued: int = 0


class Service:
    """The calls of a service and its HTTP interface.

    Parameters
    ----------
    settings : ServiceSettings
        Settings of the service.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._faults = FaultSwitch()
        self._load = LaggedValue(Load(), settings.load_lag_ms)
        self._slots = trio.Semaphore(settings.slots)
        self._open_requests = 0
        self._bookings = 0
        self._calls_by_id: collections.Counter[str] = collections.Counter()
        self._calls_by_body: collections.Counter[str] = collections.Counter()

    def build_application(self) -> Application:
        """Return the HTTP interface of the service."""
        application = Application(self._faults)
        application.add_route('POST', '/call', self._call)
        application.add_route('GET', '/lookup', self._look_up)
        application.add_route('POST', '/lookup', self._look_up_posted)
        application.add_route('GET', '/load', self._read_load)
        application.add_route('GET', '/counters', self._read_counters)
        application.add_route('POST', '/fault', self._set_fault)
        return application

    async def _call(self, request: Request) -> Response:
        call_id = request.headers.get('call-id')
        if not call_id:
            raise HttpError(400, 'send a header Call-Id')
        body = request.body.decode(errors='replace')
        self._calls_by_id[call_id] += 1
        self._calls_by_body[body] += 1
        self._bookings += 1
        booking = self._bookings
        await self._work()
        return respond_json(
            {
                'booking': booking,
                'call_id': call_id,
                'body': body,
            }
        )

    async def _look_up(self, request: Request) -> Response:
        order = request.query.get('order')
        if not order:
            raise HttpError(400, 'send a query parameter order')
        return await self._answer_lookup(order)

    async def _look_up_posted(self, request: Request) -> Response:
        order = request.read_json().get('order')
        if not isinstance(order, str) or not order:
            raise HttpError(400, 'send JSON with a text named order')
        return await self._answer_lookup(order)

    async def _answer_lookup(self, order: str) -> Response:
        await self._work()
        return respond_json(
            {
                'order': order,
                'status': find_order_status(order),
            }
        )

    async def _work(self) -> None:
        self._change_open_requests(1)
        try:
            async with self._slots:
                delay_ms = self._settings.delay_ms * self._faults.slowness
                await trio.sleep(to_seconds(delay_ms))
        finally:
            self._change_open_requests(-1)

    def _change_open_requests(self, change: int) -> None:
        self._open_requests += change
        running = min(self._open_requests, self._settings.slots)
        self._load.put(Load(running, self._open_requests - running))

    async def _read_load(self, _: Request) -> Response:
        load = dataclasses.asdict(self._load.get())
        return respond_json({**load, 'age_ms': self._settings.load_lag_ms})

    async def _read_counters(self, _: Request) -> Response:
        return respond_json(
            {
                'calls_by_id': dict(self._calls_by_id),
                'calls_by_body': dict(self._calls_by_body),
            }
        )

    async def _set_fault(self, request: Request) -> Response:
        return self._faults.answer(request)


async def run_service(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    settings = ServiceSettings(
        arguments.delay_ms,
        arguments.slots,
        arguments.load_lag_ms,
    )
    listener = Listener(
        'service',
        Service(settings).build_application(),
        arguments.address,
        arguments.port,
    )
    await run_program((listener,))


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.service',
        description='Stand-in for a plain service.',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument('--address', default='127.0.0.1', help='IP address')
    parser.add_argument('--port', type=int, default=0, help='0: a free port')
    parser.add_argument('--delay-ms', type=float, default=5, help='per call')
    parser.add_argument('--slots', type=int, default=8, help='side by side')
    parser.add_argument(
        '--load-lag-ms',
        type=float,
        default=0,
        help='age of load reports',
    )
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    trio.run(run_service, parse_arguments())


if __name__ == '__main__':
    main()
