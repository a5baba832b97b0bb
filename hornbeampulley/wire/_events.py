"""Converts events of home entries to and from messages for schedulers."""

import math
from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.identity import SessionStamp
from hornbeampulley.registry import Registry
from hornbeampulley.wire._parts import (
    CONVERSION_ERRORS,
    make_malformed_error,
    pack_hashes,
    pack_parts,
    read_request_id,
    round_up_ms,
    split_id,
    unpack_hashes,
    unpack_parts,
    write_stamp,
)
from hornbeampulley.wire.generated.peer import ttypes

_OUTCOMES: Final = tuple(decisions.Outcome)
_EVENTS: Final[Registry[Any]] = Registry('event')


def write_reserve(
    event: decisions.Reserve,
    stamp: SessionStamp,
    now_ms: float,
    *,
    dispatched: bool = False,
) -> ttypes.Reserve:
    """Convert a reserve to a message for the scheduler of a pool.

    Parameters
    ----------
    event : decisions.Reserve
        Its points in time are in ms of the sender's clock.
    stamp : SessionStamp
        Position of the message in the session with the scheduler.
    now_ms : float
        The current time of the sender, in ms.
    dispatched : bool
        Whether the request has been dispatched before.

    Returns
    -------
    ttypes.Reserve
        Message to send; its points in time are durations from now, since the
        clocks of two hosts differ.
    """
    lease, counter = split_id(event.request_id)
    return ttypes.Reserve(
        id_lease=lease,
        id_counter=counter,
        workspace=event.workspace,
        service_name=event.service,
        tier=event.tier,
        prompt_tokens=event.prompt_tokens,
        output_tokens=event.output_tokens,
        block_hashes=pack_hashes(event.block_hashes),
        fingerprint=event.fingerprint,
        deadline_in_ms=_convert_to_duration(event.deadline_ms, now_ms),
        idempotency_key=event.idempotency_key,
        repeatable=event.repeatable,
        target=event.target,
        waited_ms=round_up_ms(event.waited_ms),
        stamp=write_stamp(stamp),
        dispatched=dispatched,
        avoided=event.avoided,
        objective_in_ms=_convert_to_duration(event.objective_ms, now_ms),
        begin_by_in_ms=_convert_to_duration(event.begin_by_ms, now_ms),
        expected_tokens=event.expected_tokens,
        prompt_parts=pack_parts(event.prompt_parts),
        software=event.software or None,
        stream=event.stream,
    )


def write_event(
    event: decisions.Withdraw | decisions.Progress | decisions.Release,
    stamp: SessionStamp | None = None,
) -> Any:
    """Convert an event other than a reserve to a message for a scheduler.

    Parameters
    ----------
    event : Withdraw, Progress or Release
        Event of a home entry.
    stamp : SessionStamp, optional
        Position of the message in the session with the scheduler; unused for
        progress.

    Returns
    -------
    thrift struct
        Message to send.
    """
    match event:
        case decisions.Withdraw():
            return ttypes.Withdraw(
                *split_id(event.request_id),
                write_stamp(stamp),
            )
        case decisions.Progress():
            return ttypes.Progress(
                *split_id(event.request_id),
                event.output_tokens,
                round_up_ms(event.first_token_ms),
            )
    return ttypes.Release(
        *split_id(event.request_id),
        _OUTCOMES.index(event.outcome),
        event.output_tokens,
        round_up_ms(event.first_token_ms),
        round_up_ms(event.duration_ms),
        event.cached_tokens,
        write_stamp(stamp),
        event.first_tokens,
        event.pause_ratio or None,
    )


def write_part_quarantine(
    pool: str, event: decisions.PartQuarantine
) -> ttypes.PartQuarantine:
    """Convert the quarantine of a part of prompts to a message.

    Parameters
    ----------
    pool : str
        Name of the pool.
    event : PartQuarantine
        The decision.

    Returns
    -------
    ttypes.PartQuarantine
        Message to send.
    """
    return ttypes.PartQuarantine(
        pool,
        pack_parts((event.part,)),
        round_up_ms(event.left_ms),
        round_up_ms(event.period_ms),
    )


def read_part_quarantine(
    message: ttypes.PartQuarantine,
) -> decisions.PartQuarantine:
    """Convert a message to the quarantine of a part of prompts.

    Parameters
    ----------
    message : ttypes.PartQuarantine
        Received message.

    Returns
    -------
    PartQuarantine
        The decision.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    try:
        part = unpack_parts(message.part)[0]
        return decisions.PartQuarantine(
            part,
            float(message.left_ms),
            float(message.period_ms),
        )
    except CONVERSION_ERRORS as error:
        raise make_malformed_error(message) from error


def write_target_signals(
    event: decisions.TargetSignals,
) -> ttypes.TargetSignals:
    """Convert what a target has said of itself to a message.

    Parameters
    ----------
    event : TargetSignals
        Its signals.

    Returns
    -------
    ttypes.TargetSignals
        Message to send.
    """
    return ttypes.TargetSignals(
        event.target,
        event.born_ms,
        event.is_leaving,
        round_up_ms(event.back_off_ms),
        event.rate_limit,
        _round_age(event.limit_age_ms),
    )


def read_target_signals(
    message: ttypes.TargetSignals,
) -> decisions.TargetSignals:
    """Convert a message to what a target has said of itself.

    Parameters
    ----------
    message : ttypes.TargetSignals
        Received message.

    Returns
    -------
    TargetSignals
        Its signals.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    try:
        return decisions.TargetSignals(
            message.target,
            int(message.born_ms),
            bool(message.is_leaving),
            float(message.back_off_ms),
            _read_rate(message.rate_limit),
            message.limit_age_ms,
        )
    except CONVERSION_ERRORS as error:
        raise make_malformed_error(message) from error


def _round_age(age_ms: float | None) -> int | None:
    return None if age_ms is None else round_up_ms(age_ms)


def _read_rate(rate: float | None) -> float | None:
    if rate is not None and not 0 <= rate < math.inf:
        raise ValueError('a rate limit is not a finite number')
    return rate


def read_event(
    message: Any,
    home: str,
    now_ms: float,
) -> decisions.Event:
    """Convert a message from a home entry to an event for the core.

    Parameters
    ----------
    message : thrift struct
        A ``Reserve``, ``Withdraw``, ``Progress`` or ``Release``.
    home : str
        Incarnation of the sender.
    now_ms : float
        The current time of the receiver, in ms.

    Returns
    -------
    Event
        The event; its points in time are in ms of the receiver's clock.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    reader = _EVENTS.find(type(message).__name__)
    try:
        return reader(message, home, now_ms)
    except CONVERSION_ERRORS as error:
        raise make_malformed_error(message) from error


@_EVENTS.register('Reserve')
def _read_reserve(
    message: ttypes.Reserve,
    home: str,
    now_ms: float,
) -> decisions.Reserve:
    return decisions.Reserve(
        request_id=str(read_request_id(message, home)),
        home=home,
        workspace=message.workspace,
        service=message.service_name,
        tier=message.tier,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        block_hashes=unpack_hashes(message.block_hashes),
        fingerprint=message.fingerprint,
        deadline_ms=_convert_to_moment(message.deadline_in_ms, now_ms),
        idempotency_key=message.idempotency_key,
        repeatable=message.repeatable,
        target=message.target,
        waited_ms=float(message.waited_ms),
        objective_ms=_convert_to_moment(message.objective_in_ms, now_ms),
        begin_by_ms=_convert_to_moment(message.begin_by_in_ms, now_ms),
        avoided=message.avoided or '',
        expected_tokens=message.expected_tokens or 0,
        prompt_parts=unpack_parts(message.prompt_parts or b''),
        software=message.software or '',
        stream=message.stream,
    )


def _convert_to_duration(moment_ms: float, now_ms: float) -> int:
    """Return the ms until a point in time, at least 1; 0 if it is unset."""
    return max(round_up_ms(moment_ms - now_ms), 1) if moment_ms else 0


def _convert_to_moment(duration_ms: int | None, now_ms: float) -> float:
    return now_ms + duration_ms if duration_ms else 0.0


@_EVENTS.register('Withdraw')
def _read_withdraw(
    message: ttypes.Withdraw,
    home: str,
    _now_ms: float,
) -> decisions.Withdraw:
    return decisions.Withdraw(str(read_request_id(message, home)))


@_EVENTS.register('Progress')
def _read_progress(
    message: ttypes.Progress,
    home: str,
    _now_ms: float,
) -> decisions.Progress:
    return decisions.Progress(
        str(read_request_id(message, home)),
        message.output_tokens,
        float(message.first_token_ms),
    )


@_EVENTS.register('Release')
def _read_release(
    message: ttypes.Release,
    home: str,
    _now_ms: float,
) -> decisions.Release:
    return decisions.Release(
        str(read_request_id(message, home)),
        _OUTCOMES[message.outcome],
        message.output_tokens,
        float(message.first_token_ms),
        float(message.duration_ms),
        message.cached_tokens,
        message.first_tokens or 1,
        _read_ratio(message.pause_ratio),
    )


def _read_ratio(ratio: float | None) -> float:
    """Read a ratio; 0 if it is not set, or no such number."""
    return ratio if ratio and 0 < ratio < math.inf else 0
