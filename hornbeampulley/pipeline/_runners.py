"""Runs calls at each kind of target."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import httpcore
import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.configuration import ServiceKind
from hornbeampulley.decisions import Outcome
from hornbeampulley.pipeline._calls import CallResult, TargetCall
from hornbeampulley.pipeline._targets import (
    STALL_MS,
    TargetBrokenError,
    TargetClient,
    TargetUnreachableError,
)
from hornbeampulley.registry import Registry

PLAIN_TIMEOUT_MS: Final = 30_000.0
RESUME_DELAY_MS: Final = 50.0
MAX_RESUMES: Final = 60
HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404

Runner = Callable[[TargetClient, TargetCall], Awaitable[Outcome]]

runners: Final[Registry[Runner]] = Registry('runner')
"""Maps service kinds to functions that run a call to its end."""


async def run_call(
    client: TargetClient,
    kind: ServiceKind,
    call: TargetCall,
) -> CallResult:
    """Run a call to its end, or until its scope is cancelled.

    Parameters
    ----------
    client : TargetClient
        Opens the connections.
    kind : ServiceKind
        Kind of the called service.
    call : TargetCall
        The call to run; its answer is extended meanwhile.

    Returns
    -------
    CallResult
        The result of the call.
    """
    outcome = Outcome.PREEMPTED
    with call.scope:
        outcome = await runners.find(kind.value)(client, call)
    if call.is_done:
        outcome = Outcome.DONE
    return call.make_result(outcome, client.clock.now())


@runners.register(ServiceKind.PLAIN.value)
async def run_plain(client: TargetClient, call: TargetCall) -> Outcome:
    """Run a call at a plain service.

    Parameters
    ----------
    client : TargetClient
        Opens the connection.
    call : TargetCall
        The call to run.

    Returns
    -------
    Outcome
        How the call ended.
    """
    headers = {
        'content-type': 'application/json',
        'call-id': call.call_id,
    }
    try:
        async with client.open_call(call, headers, PLAIN_TIMEOUT_MS) as reply:
            await _copy_complete_reply(call, reply)
    except TargetUnreachableError:
        return Outcome.NOT_SENT
    except TargetBrokenError:
        return Outcome.FAILED if call.is_sent else Outcome.NOT_SENT
    return Outcome.DONE


@runners.register(ServiceKind.MODEL.value)
async def run_model(client: TargetClient, call: TargetCall) -> Outcome:
    """Run a stream at a model engine, resuming it after connection errors.

    Parameters
    ----------
    client : TargetClient
        Opens the connections.
    call : TargetCall
        The call to run.

    Returns
    -------
    Outcome
        How the call ended.
    """
    outcome = None
    if not call.is_sent:
        outcome = await _start_stream(client, call)
    resumes = 0
    while outcome is None and resumes < MAX_RESUMES:
        resumes += 1
        outcome = await _resume_stream(client, call)
        await trio.sleep(to_seconds(RESUME_DELAY_MS))
    return outcome or Outcome.FAILED


async def export_stream(client: TargetClient, call: TargetCall) -> str:
    """Stop a stream and fetch its state and last tokens from the engine.

    Parameters
    ----------
    client : TargetClient
        Opens the connection.
    call : TargetCall
        A call whose scope was cancelled at this home.

    Returns
    -------
    str
        The KV state; empty unless the engine returned the state and all
        tokens.
    """
    path = f'/streams/{call.stream_id}/export'
    try:
        reply = await client.fetch(call.target, 'POST', path)
    except (TargetUnreachableError, TargetBrokenError):
        return ''
    if reply.status != HTTP_OK:
        return ''
    # The next engine continues after all tokens that this one produced,
    # including those not yet received here.
    if not await _read_remaining(client, call):
        return ''
    return str(json.loads(reply.body).get('state', ''))


async def cancel_stream(client: TargetClient, call: TargetCall) -> None:
    """Tell an engine to stop a stream.

    Parameters
    ----------
    client : TargetClient
        Opens the connection.
    call : TargetCall
        A call whose scope was cancelled at this home.
    """
    try:
        await client.fetch(call.target, 'DELETE', f'/streams/{call.stream_id}')
    except (TargetUnreachableError, TargetBrokenError):
        # The engine drops a stream without a reader by itself.
        return


async def _read_remaining(client: TargetClient, call: TargetCall) -> bool:
    path = f'/streams/{call.stream_id}?from={call.output_tokens}'
    try:
        async with client.open_stream(call.target, path) as reply:
            if reply.status == HTTP_OK:
                await _copy_stream(client, call, reply)
            return reply.status == HTTP_OK
    except (TargetUnreachableError, TargetBrokenError):
        return False


async def _start_stream(
    client: TargetClient,
    call: TargetCall,
) -> Outcome | None:
    headers = {
        'content-type': 'application/json',
        'stream-id': call.stream_id,
    }
    if call.kv_state:
        headers['kv-state'] = call.kv_state
    try:
        await _import_state(client, call)
        async with client.open_call(call, headers, STALL_MS) as reply:
            return await _copy_stream(client, call, reply)
    except TargetUnreachableError:
        return Outcome.NOT_SENT
    except TargetBrokenError:
        return None if call.is_sent else Outcome.NOT_SENT


async def _import_state(client: TargetClient, call: TargetCall) -> None:
    if not call.kv_state:
        return
    body = json.dumps({'state': call.kv_state}).encode()
    await client.fetch(call.target, 'POST', '/streams/import', body)


async def _resume_stream(
    client: TargetClient,
    call: TargetCall,
) -> Outcome | None:
    path = f'/streams/{call.stream_id}?from={call.output_tokens}'
    try:
        async with client.open_stream(call.target, path) as reply:
            if reply.status == HTTP_NOT_FOUND:
                return Outcome.CRASHED
            return await _copy_stream(client, call, reply)
    except TargetUnreachableError:
        return Outcome.CRASHED
    except TargetBrokenError:
        return None


async def _copy_stream(
    client: TargetClient,
    call: TargetCall,
    reply: httpcore.Response,
) -> Outcome | None:
    if reply.status != HTTP_OK:
        return await _copy_error(call, reply)
    call.mark_head_received()
    if not call.answer.status:
        call.answer.start(reply.status, _make_headers(call, reply))
    async for line in _split_lines(reply):
        _process_line(client, call, line)
    return Outcome.DONE if call.is_done else None


async def _copy_error(call: TargetCall, reply: httpcore.Response) -> Outcome:
    if call.answer.status:
        return Outcome.FAILED
    await _copy_complete_reply(call, reply)
    return Outcome.DONE


async def _copy_complete_reply(
    call: TargetCall, reply: httpcore.Response
) -> None:
    body = await reply.aread()
    call.answer.start(reply.status, _make_headers(call, reply))
    call.answer.extend(body)
    call.is_done = True


async def _split_lines(reply: httpcore.Response) -> AsyncIterator[bytes]:
    buffer = b''
    async for chunk in reply.aiter_stream():
        *lines, buffer = (buffer + chunk).split(b'\n')
        for line in lines:
            yield line


def _process_line(client: TargetClient, call: TargetCall, line: bytes) -> None:
    document = _parse_line(line)
    if 'token' in document:
        if document['token'] < call.output_tokens:
            return
        if document['token'] > call.output_tokens:
            raise TargetBrokenError(
                f'target {call.target.name} skipped a token; reading the '
                'stream again from there',
            )
        call.output_tokens = document['token'] + 1
    elif 'cached_tokens' in document:
        if call.cached_tokens >= 0:
            return
        call.cached_tokens = document['cached_tokens']
    elif document.get('done') is False:
        # The engine stopped the stream, which continues at another engine.
        return
    call.is_done = 'done' in document
    call.answer.extend(b'%b\n' % line)
    if call.output_tokens and not call.first_token_ms:
        call.first_token_ms = client.clock.now() - call.started_ms
    call.report(call)


def _parse_line(line: bytes) -> dict[str, Any]:
    try:
        document = json.loads(line)
    except ValueError as error:
        raise TargetBrokenError(
            'a target sent a line that is not JSON; check its version',
        ) from error
    return document if isinstance(document, dict) else {}


def _make_headers(
    call: TargetCall,
    reply: httpcore.Response,
) -> dict[str, str]:
    headers = {
        name.decode().lower(): value.decode() for name, value in reply.headers
    }
    return {
        'content-type': headers.get('content-type', 'application/json'),
        'hornbeam-target': call.target.name,
        'hornbeam-ran': 'yes',
    }
