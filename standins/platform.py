"""Stand-in for the platform: configuration service and host list.

One port serves the configuration and the hosts to readers. On another,
operators and tests write both and inject faults.
"""

import argparse
import collections
import contextlib
import dataclasses
import enum
import json
from collections.abc import Callable, Iterator
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from standins._lag import LaggedValue, make_clock
from standins._messages import (
    NOT_MODIFIED,
    HttpError,
    Request,
    Response,
    respond_json,
)
from standins._serving import Application, Listener, run_program

MAX_VALUE_BYTES: Final = 1_000_000
MAX_READS_PER_S: Final = 2000
READ_WINDOW_MS: Final = 1000
WATCH_TIMEOUT_MS: Final = 30_000


class Mode(enum.Enum):
    """Fault mode of the platform."""

    UP = 'up'
    DOWN = 'down'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """One stored value of the configuration.

    Attributes
    ----------
    version : int
        Version of the whole store when the value was written.
    content : bytes
        The value.
    """

    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All values of the configuration at one version.

    Attributes
    ----------
    version : int
        Number of writes so far.
    values : dict
        Maps keys to their values.
    """

    version: int = 0
    values: dict[str, StoredValue] = dataclasses.field(default_factory=dict)

    def write(self, key: str, content: bytes) -> 'Snapshot':
        """Return a snapshot with one value replaced."""
        version = self.version + 1
        stored = StoredValue(version, content)
        return Snapshot(version, {**self.values, key: stored})


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """A version of the host list."""

    version: int = 0
    hosts: tuple[dict[str, str], ...] = ()


class ReadBudget:
    """Rate limit of reads, in which each waiting watch counts as a read.

    Parameters
    ----------
    reads_per_s : int
        Reads admitted in any second.
    """

    def __init__(self, reads_per_s: int) -> None:
        self.total = 0
        self.refused = 0
        self.waiting = 0
        self._reads_per_s = reads_per_s
        self._clock = make_clock()
        self._read_times_ms: collections.deque[float] = collections.deque()

    def admit(self) -> None:
        """Count one read, or raise status 429."""
        now_ms = self._clock.now()
        while (
            self._read_times_ms
            and self._read_times_ms[0] <= now_ms - READ_WINDOW_MS
        ):
            self._read_times_ms.popleft()
        if len(self._read_times_ms) + self.waiting >= self._reads_per_s:
            self.refused += 1
            raise HttpError(429, 'too many reads; read less often')
        self.total += 1
        self._read_times_ms.append(now_ms)

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Count the last admitted read as a waiting watch in this context."""
        self._read_times_ms.pop()
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1
            self._read_times_ms.append(self._clock.now())


class Platform:
    """The state of the stand-in and its two HTTP interfaces.

    Parameters
    ----------
    lag_ms : float
        Delay until readers see a change of the host list.
    reads_per_s : int
        Reads admitted in any second.
    """

    def __init__(
        self,
        lag_ms: float = 0,
        reads_per_s: int = MAX_READS_PER_S,
    ) -> None:
        self._live = Snapshot()
        self._visible = self._live
        self._mode = Mode.UP
        self._changed = trio.Event()
        self._budget = ReadBudget(reads_per_s)
        self._host_version = 0
        self._hosts = LaggedValue(HostList(), lag_ms)
        self._visible_hosts = HostList()

    def build_reader_application(self) -> Application:
        """Return the HTTP interface for readers."""
        application = Application()
        application.add_route('GET', '/config/{key...}', self._read_value)
        application.add_route('GET', '/keys', self._read_keys)
        application.add_route('GET', '/hosts', self._read_hosts)
        return application

    def build_control_application(self) -> Application:
        """Return the HTTP interface for operators and tests."""
        application = Application(max_body_bytes=MAX_VALUE_BYTES)
        application.add_route('PUT', '/config/{key...}', self._write_value)
        application.add_route('PUT', '/hosts', self._write_hosts)
        application.add_route('POST', '/fault', self._set_fault)
        application.add_route('GET', '/counters', self._read_counters)
        return application

    async def _read_value(self, request: Request) -> Response:
        key = request.path['key']
        self._start_read()
        if 'watch' in request.query:
            await self._watch(request, lambda: self._find_version(key))
        stored = self._visible.values.get(key)
        if stored is None:
            raise HttpError(404, f'no key {key!r}')
        return Response(
            body=stored.content,
            headers={'Version': str(stored.version)},
            content_type='application/octet-stream',
        )

    async def _read_keys(self, request: Request) -> Response:
        self._start_read()
        if 'watch' in request.query:
            await self._watch(request, lambda: self._visible.version)
        prefix = request.query.get('prefix', '')
        keys = [
            {'key': key, 'version': stored.version}
            for key, stored in sorted(self._visible.values.items())
            if key.startswith(prefix)
        ]
        return Response(
            body=json.dumps(keys).encode(),
            headers={'Version': str(self._visible.version)},
        )

    async def _read_hosts(self, _: Request) -> Response:
        self._start_read()
        visible = self._visible_hosts
        if self._mode is Mode.UP:
            visible = self._hosts.get()
        return respond_json(dataclasses.asdict(visible))

    def _start_read(self) -> None:
        self._budget.admit()
        self._check_up()

    def _check_up(self) -> None:
        if self._mode is Mode.DOWN:
            raise HttpError(503, 'the configuration service is down')

    def _find_version(self, key: str) -> int:
        stored = self._visible.values.get(key)
        return stored.version if stored else 0

    async def _watch(
        self,
        request: Request,
        read_version: Callable[[], int],
    ) -> None:
        known = request.read_integer('watch')
        timeout_ms = request.read_integer('timeout_ms', WATCH_TIMEOUT_MS)
        with self._budget.hold(), trio.move_on_after(to_seconds(timeout_ms)):
            await self._wait_for_version(known, read_version)
        if read_version() <= known:
            raise HttpError(NOT_MODIFIED, 'no change')

    async def _wait_for_version(
        self,
        known: int,
        read_version: Callable[[], int],
    ) -> None:
        while read_version() <= known:
            await self._changed.wait()
            self._check_up()

    async def _write_value(self, request: Request) -> Response:
        self._live = self._live.write(request.path['key'], request.body)
        self._publish()
        return respond_json({'version': self._live.version})

    async def _write_hosts(self, request: Request) -> Response:
        hosts = request.read_json().get('hosts')
        if not isinstance(hosts, list):
            raise HttpError(400, 'hosts must be a list')
        self._host_version += 1
        self._hosts.put(HostList(self._host_version, tuple(hosts)))
        return respond_json({'version': self._host_version})

    async def _set_fault(self, request: Request) -> Response:
        try:
            mode = Mode(request.read_json().get('mode'))
        except ValueError:
            raise HttpError(400, 'mode must be up, down or stale') from None
        self._visible_hosts = self._hosts.get()
        self._mode = mode
        self._publish()
        return respond_json({'mode': mode.value})

    async def _read_counters(self, _: Request) -> Response:
        return respond_json(
            {
                'reads': self._budget.total,
                'refused': self._budget.refused,
                'watches_waiting': self._budget.waiting,
            }
        )

    def _publish(self) -> None:
        if self._mode is not Mode.STALE:
            self._visible = self._live
        self._changed.set()
        self._changed = trio.Event()


async def run_platform(arguments: argparse.Namespace) -> None:
    """Serve both interfaces until SIGTERM or SIGINT."""
    platform = Platform(arguments.lag_ms, arguments.reads_per_s)
    readers = Listener(
        'readers',
        platform.build_reader_application(),
        arguments.address,
        arguments.port,
    )
    operators = Listener(
        'operators',
        platform.build_control_application(),
        arguments.address,
        arguments.control_port,
    )
    await run_program((readers, operators))


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.platform',
        description='Stand-in for the configuration service and host list.',
    )
    parser.add_argument('--address', default='127.0.0.1', help='IP address')
    parser.add_argument('--port', type=int, default=0, help='readers')
    parser.add_argument('--control-port', type=int, default=0, help='tests')
    parser.add_argument(
        '--lag-ms',
        type=float,
        default=0,
        help='age of the host list that readers see',
    )
    parser.add_argument(
        '--reads-per-s',
        type=int,
        default=MAX_READS_PER_S,
        help='reads a second before status 429',
    )
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    trio.run(run_platform, parse_arguments())


if __name__ == '__main__':
    main()
