"""Between the decision core's messages and the peer protocol."""

import math
import struct
from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.errors import WireError
from hornbeampulley.identity import LeaseStamp, RequestId, Stamp
from hornbeampulley.registry import Registry
from hornbeampulley.wire.generated.peer import ttypes

HASH_MASK: Final = (1 << 32) - 1
"""Of a block's hash 32 bits are used; a false match only misleads a guess."""

FINGERPRINT_MASK: Final = (1 << 63) - 1
"""Fingerprints travel as signed 64-bit numbers; the top bit is dropped."""

MAX_COUNT: Final = (1 << 31) - 1
_HASH: Final = 'I'
_MALFORMED: Final = (TypeError, ValueError, IndexError, struct.error)
_OUTCOMES: Final = tuple(decisions.Outcome)
_REASONS: Final = tuple(decisions.Reason)

_EVENTS: Final[Registry[Any]] = Registry('event')
_ACTIONS: Final[Registry[Any]] = Registry('action')


def write_reserve(
    event: decisions.Reserve,
    stamp: Stamp,
    now_ms: float,
    *,
    dispatched: bool = False,
) -> ttypes.Reserve:
    """Convert a reserve for the scheduler of a pool.

    Parameters
    ----------
    event : decisions.Reserve
        Its deadline is a moment of the sender's clock.
    stamp : Stamp
        Number of the message.
    now_ms : float
        The sender's time.
    dispatched : bool
        Whether the request was ever dispatched.

    Returns
    -------
    ttypes.Reserve
        Its deadline is a duration.
    """
    deadline_in_ms = 0
    if event.deadline_ms:
        deadline_in_ms = max(_round(event.deadline_ms - now_ms), 1)
    lease, counter = _split_id(event.request_id)
    return ttypes.Reserve(
        id_lease=lease,
        id_counter=counter,
        workspace=event.workspace,
        service_name=event.service,
        tier=event.tier,
        prompt_tokens=event.prompt_tokens,
        output_tokens=event.output_tokens,
        block_hashes=_pack_hashes(event.block_hashes),
        fingerprint=event.fingerprint,
        deadline_in_ms=deadline_in_ms,
        idempotency_key=event.idempotency_key,
        repeatable=event.repeatable,
        target=event.target,
        waited_ms=_round(event.waited_ms),
        stamp=write_stamp(stamp),
        dispatched=dispatched,
    )


def write_event(
    event: decisions.Withdraw | decisions.Progress | decisions.Release,
    stamp: Stamp | None = None,
) -> Any:
    """Convert an event, other than a reserve, for a scheduler.

    Parameters
    ----------
    event : Withdraw, Progress or Release
        From a home.
    stamp : Stamp, optional
        Number of the message.

    Returns
    -------
    thrift struct
        To send.
    """
    match event:
        case decisions.Withdraw():
            return ttypes.Withdraw(
                *_split_id(event.request_id),
                write_stamp(stamp),
            )
        case decisions.Progress():
            return ttypes.Progress(
                *_split_id(event.request_id),
                event.output_tokens,
                _round(event.first_token_ms),
            )
    return ttypes.Release(
        *_split_id(event.request_id),
        _OUTCOMES.index(event.outcome),
        event.output_tokens,
        _round(event.first_token_ms),
        _round(event.duration_ms),
        event.cached_tokens,
        write_stamp(stamp),
    )


def write_stamp(stamp: Stamp | None) -> ttypes.Stamp | None:
    """Convert the number of a message.

    Parameters
    ----------
    stamp : Stamp or None
        Its incarnations are known from the link.

    Returns
    -------
    ttypes.Stamp or None
        To send.
    """
    if stamp is None:
        return None
    return ttypes.Stamp(stamp.session, stamp.sequence, stamp.echo)


def read_stamp(message: ttypes.Stamp, home: str, scheduler: str) -> Stamp:
    """Convert the number of a message as received.

    Parameters
    ----------
    message : ttypes.Stamp
        As received.
    home, scheduler : str
        Incarnations of the two ends of the link.

    Returns
    -------
    Stamp
        For the record of fates.
    """
    return Stamp(
        home,
        message.session,
        message.sequence,
        message.echo,
        scheduler,
    )


def read_request_id(message: Any, home: str) -> RequestId:
    """Return the id of the request that a message is about.

    Parameters
    ----------
    message : thrift struct
        With lease and counter of the id.
    home : str
        Incarnation of the home.

    Returns
    -------
    RequestId
        The whole id.

    Raises
    ------
    WireError
        If a part is missing.
    """
    try:
        return RequestId(home, int(message.id_lease), int(message.id_counter))
    except TypeError as error:
        raise _explain_malformed(message) from error


def read_event(
    message: Any,
    home: str,
    now_ms: float,
) -> decisions.Event:
    """Convert a message of a home for the core.

    Parameters
    ----------
    message : thrift struct
        A reserve, withdraw, progress or release.
    home : str
        Incarnation of the sender.
    now_ms : float
        The receiver's time.

    Returns
    -------
    Event
        Its moments are of the receiver's clock.

    Raises
    ------
    WireError
        If a field is missing or not one of the values allowed.
    """
    reader = _EVENTS.find(type(message).__name__)
    try:
        return reader(message, home, now_ms)
    except _MALFORMED as error:
        raise _explain_malformed(message) from error


def write_action(
    action: decisions.Action,
    stamp: LeaseStamp | None = None,
) -> Any:
    """Convert an action for the home that it is meant for.

    Parameters
    ----------
    action : Lease, Refuse or Preempt
        From the core.
    stamp : LeaseStamp, optional
        Stamp of a lease.

    Returns
    -------
    thrift struct
        To send.
    """
    match action:
        case decisions.Lease():
            return ttypes.Lease(
                *_split_id(action.request_id),
                action.target,
                _round(action.valid_ms),
                action.resume,
                stamp.session if stamp else 0,
                stamp.heard if stamp else 0,
            )
        case decisions.Refuse():
            return ttypes.Refuse(
                *_split_id(action.request_id),
                _REASONS.index(action.reason),
                action.ran,
                _round(action.retry_after_ms),
            )
    return ttypes.Preempt(*_split_id(action.request_id), action.target)


def read_action(message: Any, home: str) -> decisions.Action:
    """Convert a message of a scheduler for a home.

    Parameters
    ----------
    message : thrift struct
        A lease, refuse or preempt.
    home : str
        Incarnation of this home.

    Returns
    -------
    Action
        As the core returned it.

    Raises
    ------
    WireError
        If a field is missing or not one of the values allowed.
    """
    reader = _ACTIONS.find(type(message).__name__)
    try:
        return reader(message, home)
    except _MALFORMED as error:
        raise _explain_malformed(message) from error


@_EVENTS.register('Reserve')
def _read_reserve(
    message: ttypes.Reserve,
    home: str,
    now_ms: float,
) -> decisions.Reserve:
    deadline_ms = 0.0
    if message.deadline_in_ms:
        deadline_ms = now_ms + message.deadline_in_ms
    return decisions.Reserve(
        request_id=str(read_request_id(message, home)),
        home=home,
        workspace=message.workspace,
        service=message.service_name,
        tier=message.tier,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        block_hashes=_unpack_hashes(message.block_hashes),
        fingerprint=message.fingerprint,
        deadline_ms=deadline_ms,
        idempotency_key=message.idempotency_key,
        repeatable=message.repeatable,
        target=message.target,
        waited_ms=float(message.waited_ms),
    )


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
    )


@_ACTIONS.register('Lease')
def _read_lease(message: ttypes.Lease, home: str) -> decisions.Lease:
    return decisions.Lease(
        str(read_request_id(message, home)),
        home,
        message.target,
        float(message.valid_ms),
        message.resume,
    )


@_ACTIONS.register('Refuse')
def _read_refuse(message: ttypes.Refuse, home: str) -> decisions.Refuse:
    return decisions.Refuse(
        str(read_request_id(message, home)),
        home,
        _REASONS[message.reason],
        message.ran,
        float(message.retry_after_ms),
    )


@_ACTIONS.register('Preempt')
def _read_preempt(message: ttypes.Preempt, home: str) -> decisions.Preempt:
    return decisions.Preempt(
        str(read_request_id(message, home)),
        home,
        message.target,
    )


def _split_id(text: str) -> tuple[int, int]:
    request_id = RequestId.parse(text)
    return request_id.lease, request_id.counter


def _round(duration_ms: float) -> int:
    return min(math.ceil(duration_ms), MAX_COUNT)


def _pack_hashes(hashes: tuple[int, ...]) -> bytes:
    return struct.pack(f'>{len(hashes)}{_HASH}', *hashes)


def _unpack_hashes(packed: bytes) -> tuple[int, ...]:
    count = len(packed) // struct.calcsize(f'>{_HASH}')
    return struct.unpack(f'>{count}{_HASH}', packed)


def _explain_malformed(message: Any) -> WireError:
    return WireError(
        f'a peer sent a malformed {type(message).__name__}; restart it with '
        'the version that runs here',
    )
