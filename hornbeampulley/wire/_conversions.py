"""Between the decision core's messages and the peer protocol."""

from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.errors import WireError
from hornbeampulley.identity import LeaseStamp, Stamp
from hornbeampulley.registry import Registry
from hornbeampulley.wire.generated.peer import ttypes

HASH_MASK: Final = (1 << 63) - 1
"""Hashes travel as signed 64-bit numbers; the top bit is dropped."""

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
    deadline_in_ms = 0.0
    if event.deadline_ms:
        deadline_in_ms = max(event.deadline_ms - now_ms, 1)
    return ttypes.Reserve(
        request_id=event.request_id,
        workspace=event.workspace,
        service_name=event.service,
        tier=event.tier,
        prompt_tokens=event.prompt_tokens,
        output_tokens=event.output_tokens,
        block_hashes=list(event.block_hashes),
        fingerprint=event.fingerprint,
        deadline_in_ms=deadline_in_ms,
        idempotency_key=event.idempotency_key,
        repeatable=event.repeatable,
        target=event.target,
        waited_ms=event.waited_ms,
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
            return ttypes.Withdraw(event.request_id, write_stamp(stamp))
        case decisions.Progress():
            return ttypes.Progress(
                event.request_id,
                event.output_tokens,
                event.first_token_ms,
            )
    return ttypes.Release(
        event.request_id,
        event.outcome.value,
        event.output_tokens,
        event.first_token_ms,
        event.duration_ms,
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
    except (TypeError, ValueError) as error:
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
                action.request_id,
                action.target,
                action.valid_ms,
                action.resume,
                stamp.session if stamp else 0,
                stamp.heard if stamp else 0,
            )
        case decisions.Refuse():
            return ttypes.Refuse(
                action.request_id,
                action.reason.value,
                action.ran,
                action.retry_after_ms,
            )
    return ttypes.Preempt(action.request_id, action.target)


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
    except (TypeError, ValueError) as error:
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
        request_id=message.request_id,
        home=home,
        workspace=message.workspace,
        service=message.service_name,
        tier=message.tier,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        block_hashes=tuple(message.block_hashes),
        fingerprint=message.fingerprint,
        deadline_ms=deadline_ms,
        idempotency_key=message.idempotency_key,
        repeatable=message.repeatable,
        target=message.target,
        waited_ms=message.waited_ms,
    )


@_EVENTS.register('Withdraw')
def _read_withdraw(
    message: ttypes.Withdraw,
    _home: str,
    _now_ms: float,
) -> decisions.Withdraw:
    return decisions.Withdraw(message.request_id)


@_EVENTS.register('Progress')
def _read_progress(
    message: ttypes.Progress,
    _home: str,
    _now_ms: float,
) -> decisions.Progress:
    return decisions.Progress(
        message.request_id,
        message.output_tokens,
        message.first_token_ms,
    )


@_EVENTS.register('Release')
def _read_release(
    message: ttypes.Release,
    _home: str,
    _now_ms: float,
) -> decisions.Release:
    return decisions.Release(
        message.request_id,
        decisions.Outcome(message.outcome),
        message.output_tokens,
        message.first_token_ms,
        message.duration_ms,
        message.cached_tokens,
    )


@_ACTIONS.register('Lease')
def _read_lease(message: ttypes.Lease, home: str) -> decisions.Lease:
    return decisions.Lease(
        message.request_id,
        home,
        message.target,
        message.valid_ms,
        message.resume,
    )


@_ACTIONS.register('Refuse')
def _read_refuse(message: ttypes.Refuse, home: str) -> decisions.Refuse:
    return decisions.Refuse(
        message.request_id,
        home,
        decisions.Reason(message.reason),
        message.ran,
        message.retry_after_ms,
    )


@_ACTIONS.register('Preempt')
def _read_preempt(message: ttypes.Preempt, home: str) -> decisions.Preempt:
    return decisions.Preempt(message.request_id, home, message.target)


def _explain_malformed(message: Any) -> WireError:
    return WireError(
        f'a peer sent a malformed {type(message).__name__}; restart it with '
        'the version that runs here',
    )
