"""Tests of preemption and of streams moved between engines."""

import contextlib
import json

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.configuration import ServiceKind, Target
from hornbeampulley.decisions import Outcome
from hornbeampulley.pipeline._answers import Answer
from hornbeampulley.pipeline._calls import TargetCall
from hornbeampulley.pipeline._runners import export_stream, run_call
from hornbeampulley.pipeline._targets import Reply
from standins.engine import Engine, EngineSettings
from tests.asgi import Call
from tests.asgi import call as call_engine

PROMPT = 'the nib skips ' * 9
BODY = json.dumps({'prompt': PROMPT, 'max_tokens': 30}).encode()
TARGET = Target('engine-1', 'pool', '127.0.0.1', 1, 'zone-a')


class Response:
    """An HTTP response of an engine in this process."""

    def __init__(self, answer):
        self.status = answer.status
        self.headers = [
            (name.encode(), text.encode())
            for name, text in answer.headers.items()
        ]
        self.body = answer.body

    async def aiter_stream(self):
        yield self.body

    async def aread(self):
        return self.body


class EngineClient:
    """Replaces ``TargetClient`` with calls to an engine in this process."""

    def __init__(self, engine):
        self.engine = engine
        self.clock = Clock(trio.current_time)

    @contextlib.asynccontextmanager
    async def open_call(self, call, headers, _read_timeout_ms):
        call.mark_dispatched()
        call.started_ms = self.clock.now()
        named = {name.replace('-', '_'): headers[name] for name in headers}
        yield Response(
            await call_engine(
                self.engine, 'POST', '/generate', call.body, **named
            )
        )

    @contextlib.asynccontextmanager
    async def open_stream(self, _target, path):
        yield Response(await call_engine(self.engine, 'GET', path))

    async def fetch(self, _target, method, path, body=b''):
        answer = await call_engine(self.engine, method, path, body)
        return Reply(answer.status, answer.body)


def make_call(answer, **options):
    return TargetCall(
        'id',
        TARGET,
        '/generate',
        BODY,
        answer,
        lambda: None,
        lambda _call: None,
        **options,
    )


def read_tokens(answer):
    lines = [json.loads(line) for line in b''.join(answer._chunks).splitlines()]
    return [line['token'] for line in lines if 'token' in line]


def run_with_engine(scenario, mock_run):
    async def main():
        engine = Engine(EngineSettings())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.batch.work)
            await scenario(engine.build_application(), nursery)
            nursery.cancel_scope.cancel()

    mock_run(main)


def test_a_moved_stream_loses_no_token_that_was_not_read_yet(mock_run):
    async def scenario(engine, nursery):
        client = EngineClient(engine)
        answer = Answer()
        first = make_call(answer)
        started = Call(engine, 'POST', '/generate', BODY, stream_id='id')
        nursery.start_soon(started.run)
        await trio.sleep(0.1)
        answer.start(200, {})
        first.started_ms = 1
        state = await export_stream(client, first)
        assert 0 < first.output_tokens < 30
        second = make_call(answer, kv_state=state, moves=1)
        second.output_tokens = first.output_tokens
        second.cached_tokens = first.cached_tokens
        result = await run_call(client, ServiceKind.MODEL, second)
        assert result.outcome is Outcome.DONE
        assert read_tokens(answer) == list(range(30))

    run_with_engine(scenario, mock_run)


class SlowClient(EngineClient):
    """Delivers each request to the engine after 100 ms."""

    @contextlib.asynccontextmanager
    async def open_call(self, call, headers, read_timeout_ms):
        call.started_ms = 1
        await trio.sleep(0.1)
        async with super().open_call(call, headers, read_timeout_ms) as reply:
            yield reply


def test_a_call_is_not_stopped_before_its_target_has_it(mock_run):
    async def scenario(engine, _nursery):
        results = []
        call = make_call(Answer())

        async def run():
            client = SlowClient(engine)
            results.append(await run_call(client, ServiceKind.MODEL, call))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(0.05)
            call.stop()
            assert not call.scope.cancel_called
        assert call.scope.cancel_called
        assert results[0].outcome is Outcome.DONE

    run_with_engine(scenario, mock_run)


def test_a_call_is_stopped_at_once_before_its_dispatch_and_while_it_runs(
    mock_run,
):
    async def main():
        waiting = make_call(Answer())
        waiting.stop()
        assert waiting.scope.cancel_called
        running = make_call(Answer())
        running.started_ms = 1
        running.mark_head_received()
        assert not running.scope.cancel_called
        running.stop()
        assert running.scope.cancel_called

    mock_run(main)


def test_a_stream_that_moves_gets_a_new_id_at_the_engine():
    assert make_call(Answer()).stream_id == 'id'
    assert make_call(Answer(), moves=2).stream_id == 'id-2'
