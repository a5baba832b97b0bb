"""Obtains leases for a request and sends it until it is answered."""

import logging
from typing import Final

import trio

from hornbeampulley import decisions
from hornbeampulley.clock import to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._attempts import Attempt
from hornbeampulley.node._calls import Call, CallError
from hornbeampulley.node._home import Home
from hornbeampulley.node._lease_client import Reservation
from hornbeampulley.node._reserves import make_call_stream_name, make_reserve
from hornbeampulley.node._stream_origins import UNNAMED, StreamOrigin
from hornbeampulley.routing import TargetRecord, get_tier_name

MAX_RESENDS: Final = 4
RETRY_MS: Final = 200.0
# The same where another host can serve the request at once.
MOVE_MS: Final = 50.0
# A second attempt is made only if at least this much time is left.
MIN_LEFT_MS: Final = 50.0
MAX_LOGGED_PARTS: Final = 16
# Where a stream began is known this much longer than its caller waits.
TAKE_UP_MARGIN_MS: Final = 2000.0
# Statuses that promise a caller that its request was not executed. A target
# that uses one without rejecting the request is not trusted with that.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_log = logging.getLogger(__name__)


async def serve_call(home: Home, call: Call) -> None:
    """Wait for leases and send the request until it is answered.

    Parameters
    ----------
    home : Home
        Home of the request.
    call : Call
        Request whose route, pool and rank are set.

    Raises
    ------
    CallError
        If the request ends with an error response of this system.
    """
    home.retries.count_request(call.pool, home.clock.now())
    left_ms = call.ends_ms - home.clock.now()
    with trio.move_on_after(to_seconds(max(left_ms, 0))) as scope:
        home.open_calls.add(scope)
        try:
            await _serve(home, call)
        finally:
            home.open_calls.discard(scope)
        return
    if home.clock.now() >= home.ends_ms:
        raise _make_ended_error(call)
    raise _make_timeout_error(call)


async def _serve(home: Home, call: Call) -> None:
    while True:
        attempt = await _attempt(home, call)
        if attempt.is_complete:
            call.outcome = attempt.reason
            return
        if _was_not_sent(attempt):
            _check_resend(home, call, attempt)
        elif not _may_retry(home, call, attempt):
            await _send_final_answer(home, call, attempt)
            return


async def _attempt(home: Home, call: Call) -> Attempt:
    """Wait for a lease, send the request and release the lease."""
    reserve = make_reserve(home, call)
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
    call.known_slowness = lease.slowness
    target = home.store_view.targets.records.get(lease.target)
    if target is None:
        return Attempt(decisions.Outcome.NOT_SENT, 'unknown target')
    if lease.software and target.software != lease.software:
        # The view of the scheduler differs from that of this home.
        return Attempt(decisions.Outcome.NOT_SENT, 'other software version')
    ends_ms = home.clock.now() + lease.expected_ms
    if ends_ms > home.ends_ms and not call.reply.is_started:
        # It can't end before this host does, but it can on another one.
        raise _make_ended_error(call)
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
        _bind_stream(home, call, target)
        home.lease_client.report_progress(reservation, first_ms)

    reservation.sent_ms = home.clock.now()
    return await home.sender.send(call, target, on_first_part)


def _bind_stream(home: Home, call: Call, target: TargetRecord) -> None:
    """Bind a stream that may be resumed to the version of its first target.

    The schedulers are told before the caller gets the first event.
    """
    if call.software or not call.route.is_resumable or not target.software:
        return
    call.software = target.software
    stream = make_call_stream_name(call)
    if stream != UNNAMED:
        left_ms = max(call.ends_ms - home.clock.now(), 0) + TAKE_UP_MARGIN_MS
        origin = StreamOrigin(stream, target.software, left_ms)
        home.lease_client.report_stream(call.pool, origin)


def _check_resend(home: Home, call: Call, attempt: Attempt) -> None:
    """Limit how often a request that was not executed is sent again."""
    call.resends += 1
    was_rejected = attempt.reason.startswith('rejected')
    is_budget_spent = was_rejected and not home.retries.spend(
        call.pool,
        home.clock.now(),
    )
    if is_budget_spent or call.resends >= MAX_RESENDS:
        raise _make_refusal_error(call, 'no_target', RETRY_MS)


def _was_not_sent(attempt: Attempt) -> bool:
    return attempt.outcome is decisions.Outcome.NOT_SENT


def _end_reservation(
    home: Home,
    call: Call,
    reservation: Reservation,
    attempt: Attempt | None,
) -> None:
    """Report the end to the scheduler, also if the caller disconnected."""
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
    """Make the result of an attempt cut by disconnection or timeout."""
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
        # The request will be announced again, for another target.
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
            pause_ratio=_compute_pause_ratio(call, attempt),
        ),
    )


def _compute_pause_ratio(call: Call, attempt: Attempt) -> float:
    gap_ms = call.route.gap_ms
    return attempt.pause_ms / gap_ms if gap_ms else 0


def _log_end(call: Call, reservation: Reservation, attempt: Attempt) -> None:
    is_crash = attempt.outcome is decisions.Outcome.CRASHED
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
        unframed=attempt.is_unframed or None,
        last_event=call.last_event,
        parts=_describe_parts(call) if is_crash else None,
    )


def _describe_parts(call: Call) -> str:
    """List the parts of the prompt, for the log, and how many are left out."""
    parts = call.metadata.parts
    texts = [
        f'{part.name:x}:{part.tokens}' for part in parts[:MAX_LOGGED_PARTS]
    ]
    left_out = len(parts) - len(texts)
    return ','.join([*texts, f'+{left_out}'] if left_out else texts)


def _may_retry(home: Home, call: Call, attempt: Attempt) -> bool:
    """Return whether a failed request may be sent to another target."""
    if attempt.outcome is decisions.Outcome.DONE:
        return False
    route = call.route
    is_allowed = route.is_repeatable or (call.is_stream and route.is_resumable)
    left_ms = call.ends_ms - home.clock.now()
    if not is_allowed or left_ms < MIN_LEFT_MS:
        return False
    if not call.events.is_place_known:
        return False
    if len(call.targets) >= route.max_attempts:
        return False
    return home.retries.spend(call.pool, home.clock.now())


async def _send_final_answer(home: Home, call: Call, attempt: Attempt) -> None:
    answer = attempt.answer
    # A response that has started can't get another head.
    has_started = call.reply.is_started
    if answer is None or has_started or answer.status in _NOT_RUN_STATUSES:
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
        tier=get_tier_name(call.rank, call.route.rank),
        start_within_ms=round(refusal.start_within_ms) or None,
        retry_after_ms=round(refusal.retry_after_ms),
    )
    call.may_have_run = call.may_have_run or refusal.ran
    if refusal.reason is decisions.Reason.OTHER_SOFTWARE:
        return _make_stream_lost_error(call, refusal.retry_after_ms)
    retry_ms = max(refusal.retry_after_ms, RETRY_MS)
    return _make_refusal_error(call, refusal.reason.value, retry_ms)


def _make_stream_lost_error(call: Call, retry_ms: float) -> CallError:
    return CallError(
        502 if call.may_have_run else 503,
        decisions.Reason.OTHER_SOFTWARE.value,
        'the stream can not go on: no target is known to have the software '
        'version that began it; send the request anew',
        retry_ms,
    )


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


def _make_ended_error(call: Call) -> CallError:
    if call.may_have_run:
        return CallError(
            502,
            'draining',
            'this host has shut down while a target worked on the request; '
            'whether it ran is not known',
        )
    return CallError(
        503,
        'draining',
        'this host is shutting down and the request was not run; send it to '
        'another host',
        MOVE_MS,
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
