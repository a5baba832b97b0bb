"""Leases and attempts of one request, until it has its answer."""

import logging
from typing import Final

import trio
import xxhash

from hornbeampulley import decisions
from hornbeampulley.clock import to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._calls import Call, CallError
from hornbeampulley.node._exchanges import Attempt
from hornbeampulley.node._home import Home
from hornbeampulley.node._lease_client import Reservation
from hornbeampulley.routing import get_service_name, get_tier_name

MAX_RESENDS: Final = 4
RETRY_MS: Final = 200.0
# The first event, or a refusal, has to reach the caller before it leaves.
DEPARTURE_MARGIN_MS: Final = 200.0
# Time that a second attempt needs at least.
MIN_LEFT_MS: Final = 50.0
# Statuses that promise that a request has not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_FINGERPRINT_MASK: Final = (1 << 63) - 1
_log = logging.getLogger(__name__)


async def serve_call(home: Home, call: Call) -> None:
    """Wait for leases and send the request until it has an answer.

    Parameters
    ----------
    home : Home
        The request's home.
    call : Call
        With route, pool and rank.

    Raises
    ------
    CallError
        If it gets an answer of this system's own.
    """
    home.retries.count_request(call.pool, home.clock.now())
    left_ms = call.ends_ms - home.clock.now()
    with trio.move_on_after(to_seconds(max(left_ms, 0))):
        await _serve(home, call)
        return
    raise _make_timeout_error(call)


async def _serve(home: Home, call: Call) -> None:
    while True:
        attempt = await _attempt(home, call)
        if attempt.is_whole:
            call.outcome = attempt.reason
            return
        if _was_not_sent(attempt):
            _check_resend(home, call, attempt)
        elif not _may_repeat(home, call, attempt):
            await _send_final_answer(home, call, attempt)
            return


async def _attempt(home: Home, call: Call) -> Attempt:
    """Get a lease, send the request, and tell how it ended."""
    reserve = _make_reserve(home, call)
    reservation = home.lease_client.reserve(reserve, call.arrived_ms)
    attempt: Attempt | None = None
    try:
        attempt = await _run_lease(home, call, reservation)
    finally:
        _end_reservation(home, call, reservation, attempt)
    return attempt


async def _run_lease(
    home: Home,
    call: Call,
    reservation: Reservation,
) -> Attempt:
    await reservation.decided.wait()
    if reservation.refusal is not None:
        raise _make_lease_refused_error(call, reservation)
    lease = reservation.lease
    call.last_target = lease.target
    target = home.store_view.targets.records.get(lease.target)
    if target is None:
        return Attempt(decisions.Outcome.NOT_SENT, 'unknown target')
    log_event(
        _log,
        'lease_taken',
        request=call.name,
        target=lease.target,
        owner=reservation.owner,
        waited_ms=round(home.clock.now() - reservation.opened_ms),
        expected_ms=round(lease.expected_ms),
        left_ms=round(call.ends_ms - home.clock.now()),
    )

    def on_first_part(first_ms: float) -> None:  # noqa: WPS430
        reservation.first_ms = first_ms
        home.lease_client.progress(reservation, first_ms)

    reservation.sent_ms = home.clock.now()
    return await home.sender.send(call, target, on_first_part)


def _check_resend(home: Home, call: Call, attempt: Attempt) -> None:
    """Bound how often a request that did not run is sent again."""
    call.resends += 1
    was_rejected = attempt.reason.startswith('rejected')
    is_spent = was_rejected and not home.retries.spend(
        call.pool,
        home.clock.now(),
    )
    if is_spent or call.resends >= MAX_RESENDS:
        raise _make_refusal_error(call, 'no_target', RETRY_MS)


def _was_not_sent(attempt: Attempt) -> bool:
    return attempt.outcome is decisions.Outcome.NOT_SENT


def _end_reservation(
    home: Home,
    call: Call,
    reservation: Reservation,
    attempt: Attempt | None,
) -> None:
    """Tell the scheduler how it ended, also if the caller has left."""
    if reservation.refusal is not None:
        return
    if attempt is None:
        if reservation.lease is not None:
            _log_end(
                call,
                reservation,
                _make_cancelled_attempt(home, call, reservation),
            )
        home.lease_client.withdraw(reservation)
        return
    _release(home, call, reservation, attempt)


def _make_cancelled_attempt(
    home: Home,
    call: Call,
    reservation: Reservation,
) -> Attempt:
    """Tell of an attempt whose caller left or whose time ran out."""
    sent_ms = reservation.sent_ms
    return Attempt(
        decisions.Outcome.CANCELLED,
        'cut',
        events=call.events.count,
        first_ms=reservation.first_ms,
        duration_ms=home.clock.now() - sent_ms if sent_ms else 0,
    )


def _release(
    home: Home,
    call: Call,
    reservation: Reservation,
    attempt: Attempt,
) -> None:
    _log_end(call, reservation, attempt)
    tokens = attempt.events * call.event_tokens
    outcome = attempt.outcome
    if _was_not_sent(attempt):
        # The request asks anew, for another target.
        outcome = decisions.Outcome.CANCELLED
    home.lease_client.release(
        reservation,
        decisions.Release(
            reservation.reserve.request_id,
            outcome,
            tokens,
            attempt.first_ms,
            attempt.duration_ms,
            first_tokens=call.event_tokens,
        ),
    )


def _log_end(call: Call, reservation: Reservation, attempt: Attempt) -> None:
    log_event(
        _log,
        'lease_ended',
        request=call.name,
        target=reservation.lease.target if reservation.lease else None,
        outcome=attempt.outcome.value,
        reason=attempt.reason,
        events=attempt.events or None,
        first_ms=round(attempt.first_ms) or None,
        took_ms=round(attempt.duration_ms) or None,
    )


def _make_reserve(home: Home, call: Call) -> decisions.Reserve:
    metadata = call.metadata
    return decisions.Reserve(
        request_id=home.lease_client.new_id(),
        home=home.lease_client.own_incarnation,
        workspace=call.workspace_name,
        service=get_service_name(call.route.name, call.pool),
        tier=get_tier_name(call.rank),
        prompt_tokens=metadata.prompt_tokens if call.is_model else 0,
        output_tokens=metadata.output_tokens if call.is_model else 0,
        fingerprint=_hash_content(call),
        deadline_ms=call.ends_ms,
        objective_ms=_get_objective_deadline(call),
        begin_by_ms=_get_latest_start(call),
        # A running request is not moved to make room for others.
        repeatable=False,
        avoided=call.last_target,
        expected_tokens=_get_expected_tokens(call),
    )


def _get_expected_tokens(call: Call) -> int:
    """Return the output that a caller still expects; 0 if it doesn't say."""
    hinted = call.metadata.hinted_tokens if call.is_model else 0
    had = call.events.count * call.event_tokens
    return max(hinted - had, call.event_tokens) if hinted else 0


def _get_latest_start(call: Call) -> float:
    """Return by when an answer has to begin; 0 if there is no such moment."""
    patience_ms = call.route.patience_ms
    if not patience_ms or call.events.count:
        return 0
    return call.arrived_ms + patience_ms - DEPARTURE_MARGIN_MS


def _get_objective_deadline(call: Call) -> float:
    """Return until when the answer counts in full; 0 if it has begun."""
    if not call.route.objective_ms or call.events.count:
        return 0
    return call.arrived_ms + call.route.objective_ms


def _hash_content(call: Call) -> int:
    if call.targets:
        # What goes on after a break is not to be held for its cause.
        return 0
    digest = xxhash.xxh3_64()
    for part in (call.request.method, call.request.target, call.request.body):
        digest.update(part)
    digest.update(call.workspace_name.encode())
    return digest.intdigest() & _FINGERPRINT_MASK


def _may_repeat(home: Home, call: Call, attempt: Attempt) -> bool:
    """Tell whether a failed request goes to another target."""
    if attempt.outcome is decisions.Outcome.DONE:
        return False
    route = call.route
    is_allowed = route.is_repeatable or (call.is_stream and route.is_resumable)
    left_ms = call.ends_ms - home.clock.now()
    if not is_allowed or left_ms < MIN_LEFT_MS:
        return False
    if len(call.targets) >= route.max_attempts:
        return False
    return home.retries.spend(call.pool, home.clock.now())


async def _send_final_answer(home: Home, call: Call, attempt: Attempt) -> None:
    answer = attempt.answer
    # What goes on after a break can't begin with another head.
    is_late = call.reply.is_started
    if answer is None or is_late or answer.status in _NOT_RUN_STATUSES:
        raise CallError(
            502,
            'target_failed',
            f'the target did not answer whole: {attempt.reason}; whether the '
            'request ran is not known',
        )
    call.status = answer.status
    call.outcome = attempt.reason
    call.first_ms = home.clock.now() - call.arrived_ms
    await call.reply.send(answer.status, answer.headers, answer.body)


def _make_lease_refused_error(
    call: Call, reservation: Reservation
) -> CallError:
    refusal = reservation.refusal
    log_event(
        _log,
        'lease_refused',
        request=call.name,
        reason=refusal.reason.value,
        owner=reservation.owner,
        waiting=refusal.waiting,
        capacity=refusal.capacity,
        price_ms=round(refusal.price_ms),
        start_within_ms=round(refusal.start_within_ms) or None,
        retry_after_ms=round(refusal.retry_after_ms),
    )
    call.may_have_run = call.may_have_run or refusal.ran
    retry_ms = max(refusal.retry_after_ms, RETRY_MS)
    return _make_refusal_error(call, refusal.reason.value, retry_ms)


def _make_refusal_error(call: Call, reason: str, retry_ms: float) -> CallError:
    if call.may_have_run:
        return CallError(
            502,
            reason,
            'no target can go on with the request; whether it ran is not known',
        )
    return CallError(
        503,
        reason,
        f'the request was not run ({reason}); come back after the time given',
        retry_ms,
    )


def _make_timeout_error(call: Call) -> CallError:
    if call.may_have_run:
        return CallError(
            504,
            'timeout',
            'the time limit has passed while a target worked on the request',
        )
    return CallError(
        503,
        'timeout',
        'the time limit has passed before a target was free; come back later',
        RETRY_MS,
    )
