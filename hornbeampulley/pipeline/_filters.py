"""The chain of filters that processes a request at its home.

The home is the entry that the request id belongs to, which alone dispatches
the request. Each filter gets the home and the request, and returns when the
next filter may run. It raises `ProblemError` to end the request.
"""

import dataclasses
import functools
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.configuration import Target
from hornbeampulley.decisions import (
    Outcome,
    Progress,
    Release,
    Withdraw,
)
from hornbeampulley.errors import (
    NoRouteError,
    UnknownServiceError,
    UnknownWorkspaceError,
)
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline._calls import CallResult, TargetCall
from hornbeampulley.pipeline._content import inspect_content
from hornbeampulley.pipeline._endings import (
    end_answer,
    explain_cancellation,
    explain_failure,
    store_answer,
)
from hornbeampulley.pipeline._home import Home
from hornbeampulley.pipeline._measures import (
    count_dispatch,
    count_refusal,
    count_waste,
)
from hornbeampulley.pipeline._problems import (
    NOT_READY,
    Problem,
    ProblemError,
    explain_refusal,
)
from hornbeampulley.pipeline._requests import Request
from hornbeampulley.pipeline._runners import (
    cancel_stream,
    export_stream,
    run_call,
)
from hornbeampulley.pipeline._targets import TargetUnreachableError
from hornbeampulley.registry import Registry

REPORT_EVERY_MS: Final = 1000.0
REFUSAL_WAIT_MS: Final = 300.0
_log = logging.getLogger(__name__)

Filter = Callable[[Home, Request], Awaitable[None]]

filters: Final[Registry[Filter]] = Registry('filter')
"""Maps names to filters, in the order in which they run."""


async def run_filters(home: Home, request: Request) -> None:
    """Run all filters on a request and complete its answer.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The admitted request.
    """
    try:
        for _name, run_filter in filters:
            await run_filter(home, request)
    except ProblemError as error:
        request.answer.end_with(error.problem)
    except Exception:
        _log.exception('request %s failed', request.request_id)
        request.answer.end_with(explain_failure(home, request))
    store_answer(home, request)
    home.close(request)
    log_event(
        _log,
        'request_answered',
        request=request.request_id,
        workspace=request.incoming.workspace,
        tier=request.route.tier.name if request.route else None,
        status=request.answer.status,
        ran=request.answer.headers.get('hornbeam-ran'),
        bytes=request.answer.size_bytes,
        took_ms=round(home.clock.now() - request.arrived_ms),
    )


@filters.register('drain')
async def refuse_when_draining(home: Home, request: Request) -> None:
    """Refuse new requests while the process shuts down.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The admitted request.
    """
    if home.is_draining:
        raise ProblemError(
            Problem(
                503,
                'draining',
                'this entry is shutting down; ask /v1/entries at another one '
                'and send the request there under a new id',
                retry_after_ms=1,
            ),
        )


@filters.register('ready')
async def refuse_until_ready(home: Home, request: Request) -> None:
    """Refuse requests until the change tickets in force are known.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The admitted request.
    """
    if not home.view.is_ready:
        raise ProblemError(NOT_READY)


@filters.register('route')
async def route_request(home: Home, request: Request) -> None:
    """Look up the workspace, service and tier of a request.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The request; its route is set.
    """
    incoming = request.incoming
    try:
        request.route = home.view.configuration.find_route(
            incoming.workspace,
            incoming.service,
        )
    except (UnknownWorkspaceError, UnknownServiceError, NoRouteError) as error:
        raise ProblemError(Problem(404, 'no route', str(error))) from error


@filters.register('inspect')
async def inspect_request(_home: Home, request: Request) -> None:
    """Estimate the cost of a request.

    Parameters
    ----------
    _home : Home
        Unused.
    request : Request
        The request; its content is set.
    """
    request.content = inspect_content(
        request.route.service.kind,
        request.incoming.body,
    )


@filters.register('serve')
async def serve_request(home: Home, request: Request) -> None:
    """Wait for a lease and dispatch the request, until it has ended.

    Parameters
    ----------
    home : Home
        The request's home.
    request : Request
        The request; its answer is completed.
    """
    now_ms = home.clock.now()
    scheduler_client = home.find_scheduler_client(request.pool)
    scheduler_client.send(request.to_reserve(home.incarnation, now_ms))
    while True:
        await _wait_for_lease(home, request)
        result = await _dispatch(home, request)
        if result.outcome not in {Outcome.NOT_SENT, Outcome.PREEMPTED}:
            break
    if result.outcome is Outcome.CRASHED:
        # The scheduler refuses the request if it decides that its content
        # caused the crash; allow time for that refusal to arrive.
        with trio.move_on_after(to_seconds(REFUSAL_WAIT_MS)):
            await request.decided.wait()
    end_answer(home, request, result)


async def _wait_for_lease(home: Home, request: Request) -> None:
    await request.decided.wait()
    request.decided = trio.Event()
    if request.is_cancelled:
        request_id = str(request.request_id)
        scheduler_client = home.find_scheduler_client(request.pool)
        scheduler_client.send(Withdraw(request_id))
        raise ProblemError(explain_cancellation(home, request))
    if request.refusal is not None:
        count_refusal(home.metrics, request)
        raise ProblemError(explain_refusal(request.refusal))


async def _dispatch(home: Home, request: Request) -> CallResult:
    target = home.view.configuration.targets.get(request.lease.target)
    result = CallResult(Outcome.NOT_SENT)
    if target is not None:
        request.call = _make_call(home, request, target)
        kind = request.route.service.kind
        result = await run_call(home.client, kind, request.call)
    if result.outcome is Outcome.PREEMPTED:
        result = await _handle_preemption(home, request, result)
    request.call = None
    request.lease = None
    count_waste(home.metrics, request, result)
    _send_release(home, request, result)
    return result


def _make_call(home: Home, request: Request, target: Target) -> TargetCall:
    call = TargetCall(
        call_id=str(request.request_id),
        target=target,
        path=request.route.service.path,
        body=request.incoming.body,
        answer=request.answer,
        mark_dispatched=functools.partial(_mark_dispatched, home, request),
        report=functools.partial(_report_progress, home, request),
        kv_state=request.kv_state,
        moves=request.moves,
    )
    if request.previous is not None:
        call.output_tokens = request.previous.output_tokens
        call.cached_tokens = request.previous.cached_tokens
    return call


def _mark_dispatched(home: Home, request: Request) -> None:
    if request.kv_state:
        return
    permit_dispatch = home.find_scheduler_client(request.pool).permit_dispatch
    lease = request.lease
    if not permit_dispatch(
        request.request_id, request.lease_stamp, lease.valid_ms
    ):
        raise TargetUnreachableError(
            'the lease expired before the dispatch; requesting a new one',
        )
    home.ledger.mark_dispatched(request.request_id)
    count_dispatch(home.metrics, request, home.clock.now())
    log_event(
        _log,
        'request_dispatched',
        request=request.request_id,
        target=request.lease.target,
        waited_ms=round(home.clock.now() - request.arrived_ms),
    )


def _report_progress(home: Home, request: Request, call: TargetCall) -> None:
    now_ms = home.clock.now()
    if now_ms - request.reported_ms < REPORT_EVERY_MS:
        return
    request.reported_ms = now_ms
    home.find_scheduler_client(request.pool).send(
        Progress(
            call.call_id,
            call.output_tokens,
            call.first_token_ms,
        ),
    )


async def _handle_preemption(
    home: Home, request: Request, result: CallResult
) -> CallResult:
    if request.is_cancelled:
        await cancel_stream(home.client, request.call)
        return dataclasses.replace(result, outcome=Outcome.CANCELLED)
    request.kv_state = await export_stream(home.client, request.call)
    if request.kv_state:
        request.moves += 1
        request.previous = request.call.make_result(
            result.outcome, home.clock.now()
        )
        return request.previous
    # The export failed and the engine still has the stream, so continue
    # to read it there.
    request.call.scope = trio.CancelScope()
    kind = request.route.service.kind
    return await run_call(home.client, kind, request.call)


def _send_release(home: Home, request: Request, result: CallResult) -> None:
    home.find_scheduler_client(request.pool).send(
        Release(
            str(request.request_id),
            result.outcome,
            result.output_tokens,
            result.first_token_ms,
            result.duration_ms,
            result.cached_tokens,
        ),
    )
