"""Stand-in for a model engine.

It has continuous batching, a prefix cache and streamed answers, but no
priorities. Streams can be resumed, cancelled, exported and imported.
"""

import argparse
import collections
import dataclasses
from collections.abc import Callable
from typing import Any, Final

import trio

from standins._batch import Batch, EngineSettings, exit_at_once
from standins._faults import FaultSwitch
from standins._messages import HttpError, Request, Response, respond_json
from standins._runs import KvState, Run, RunState
from standins._serving import Application, Listener, run_program

NDJSON: Final = 'application/x-ndjson'
SWEEP_INTERVAL_MS: Final = 1000


class OrderBook:
    """The orders that an engine received.

    Parameters
    ----------
    checks_fencing : bool
        Whether a fencing number below the highest seen is refused.
    """

    def __init__(self, *, checks_fencing: bool) -> None:
        self.log: list[dict[str, Any]] = []
        self.current: dict[str, Any] = {}
        self._checks_fencing = checks_fencing
        self._highest = 0

    def accept(self, order: dict[str, Any]) -> None:
        """Apply an order, or raise status 400 or 409."""
        fencing = order.get('fencing')
        if not isinstance(fencing, int):
            raise HttpError(400, 'fencing must be an integer')
        obeyed = fencing >= self._highest or not self._checks_fencing
        self.log.append({**order, 'obeyed': obeyed})
        if not obeyed:
            raise HttpError(409, f'fencing must be at least {self._highest}')
        self._highest = max(self._highest, fencing)
        self.current = order


class Engine:
    """The streams of an engine and its HTTP interface.

    Parameters
    ----------
    settings : EngineSettings
        Settings of the engine.
    crash : callable
        Called when a prompt contains the crash marker.
    """

    def __init__(
        self,
        settings: EngineSettings,
        crash: Callable[[], None] = exit_at_once,
    ) -> None:
        self._settings = settings
        self._faults = FaultSwitch()
        self.batch = Batch(settings, self._faults, crash)
        self._runs: dict[str, Run] = {}
        self._starts: collections.Counter[str] = collections.Counter()
        self._resumed: collections.Counter[str] = collections.Counter()
        self._imported: set[str] = set()
        self._next_sweep_ms = 0.0
        self._orders = OrderBook(checks_fencing=settings.checks_fencing)

    def build_application(self) -> Application:
        """Return the HTTP interface of the engine."""
        application = Application(self._faults)
        add_route = application.add_route
        add_route('POST', '/generate', self._generate)
        add_route('POST', '/streams/import', self._import)
        add_route('GET', '/streams/{id}', self._resume)
        add_route('DELETE', '/streams/{id}', self._cancel)
        add_route('POST', '/streams/{id}/export', self._export)
        add_route('GET', '/load', self._read_load)
        add_route('GET', '/cache-events', self._read_events)
        add_route('POST', '/orders', self._accept_order)
        add_route('GET', '/counters', self._read_counters)
        add_route('POST', '/fault', self._set_fault)
        return application

    async def _generate(self, request: Request) -> Response:
        stream_id = request.headers.get('stream-id')
        if not stream_id:
            raise HttpError(400, 'send a header Stream-Id')
        if self._starts[stream_id]:
            raise HttpError(409, f'stream {stream_id} was started before')
        run = _parse_run(request.read_json())
        if 'kv-state' in request.headers:
            run.restore(self._find_state(request.headers['kv-state'], run))
            self._resumed[stream_id] += 1
        self._starts[stream_id] += 1
        self._drop_old_runs()
        self._runs[stream_id] = run
        self.batch.add(run)
        return self._stream(run, run.first)

    async def _resume(self, request: Request) -> Response:
        run = self._find_run(request)
        start = request.read_integer('from', run.first)
        return self._stream(run, max(start, 0))

    async def _cancel(self, request: Request) -> Response:
        run = self._find_run(request)
        self.batch.stop(run, RunState.CANCELLED)
        return respond_json({'state': run.state.value})

    async def _export(self, request: Request) -> Response:
        run = self._find_run(request)
        self.batch.stop(run, RunState.EXPORTED)
        if run.state is not RunState.EXPORTED:
            raise HttpError(409, f'the stream is {run.state.value}')
        return respond_json({'state': run.export().encode()})

    async def _import(self, request: Request) -> Response:
        text = str(request.read_json().get('state'))
        try:
            self._imported.add(KvState.decode(text).encode())
        except ValueError:
            raise HttpError(400, 'state must come from an export') from None
        return respond_json({'state': text})

    async def _read_load(self, _: Request) -> Response:
        load = dataclasses.asdict(self.batch.load.get())
        return respond_json(
            {
                **load,
                'age_ms': self._settings.load_lag_ms,
                'model': self._orders.current.get('model', ''),
                'fencing': self._orders.current.get('fencing', 0),
            },
        )

    async def _read_events(self, request: Request) -> Response:
        events = self.batch.journal.list_after(request.read_integer('after'))
        return respond_json(
            {
                'events': [dataclasses.asdict(event) for event in events],
            }
        )

    async def _accept_order(self, request: Request) -> Response:
        self._orders.accept(request.read_json())
        return respond_json(self._orders.current)

    async def _read_counters(self, _: Request) -> Response:
        return respond_json(
            {
                'runs': dict(self._starts),
                'resumed': dict(self._resumed),
                'orders': self._orders.log,
                'crashes': self.batch.crashes,
            }
        )

    async def _set_fault(self, request: Request) -> Response:
        return self._faults.answer(request)

    def _find_run(self, request: Request) -> Run:
        stream_id = request.path['id']
        run = self._runs.get(stream_id)
        limit_ms = self.batch.clock.now() - self._settings.keep_ms
        if run is None or run.is_forgotten(limit_ms):
            raise HttpError(404, f'no stream {stream_id}')
        return run

    def _find_state(self, text: str, run: Run) -> KvState:
        if text not in self._imported:
            raise HttpError(409, 'import the KV state first')
        state = KvState.decode(text)
        if state.digest != run.digest:
            raise HttpError(409, 'the KV state is of another prompt')
        return state

    def _drop_old_runs(self) -> None:
        now_ms = self.batch.clock.now()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        limit_ms = now_ms - self._settings.keep_ms
        self._runs = {
            stream_id: run
            for stream_id, run in self._runs.items()
            if not run.is_forgotten(limit_ms)
        }

    def _stream(self, run: Run, start: int) -> Response:
        lines = self.batch.read(run, start)
        return Response(body=lines, content_type=NDJSON)


def _parse_run(document: dict[str, Any]) -> Run:
    prompt = document.get('prompt')
    max_tokens = document.get('max_tokens')
    if not isinstance(prompt, str):
        raise HttpError(400, 'prompt must be a string')
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise HttpError(400, 'max_tokens must be an integer above 0')
    return Run(prompt.encode(), max_tokens)


async def run_engine(arguments: argparse.Namespace) -> None:
    """Serve the engine until SIGTERM or SIGINT."""
    names = [field.name for field in dataclasses.fields(EngineSettings)]
    settings = EngineSettings(
        **{name: getattr(arguments, name) for name in names},
    )
    engine = Engine(settings)
    listener = Listener(
        'engine',
        engine.build_application(),
        arguments.address,
        arguments.port,
    )
    await run_program((listener,), engine.batch.work)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line, which has an option per engine setting."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.engine',
        description='Stand-in for a model engine.',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument('--address', default='127.0.0.1', help='IP address')
    parser.add_argument('--port', type=int, default=0, help='0: a free port')
    for field in dataclasses.fields(EngineSettings):
        option = f'--{field.name.replace("_", "-")}'
        if field.type is bool:
            parser.add_argument(option, action='store_true', help='on if given')
        else:
            parser.add_argument(
                option,
                type=field.type,
                default=field.default,
                help=field.type.__name__,
            )
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    trio.run(run_engine, parse_arguments())


if __name__ == '__main__':
    main()
