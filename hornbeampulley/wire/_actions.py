"""Converts actions of schedulers to and from messages for home entries."""

from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.identity import LeaseStamp
from hornbeampulley.registry import Registry
from hornbeampulley.wire._parts import (
    CONVERSION_ERRORS,
    make_malformed_error,
    read_request_id,
    round_up_ms,
    split_id,
)
from hornbeampulley.wire.generated.peer import ttypes

_REASONS: Final = tuple(decisions.Reason)
_ACTIONS: Final[Registry[Any]] = Registry('action')


def write_action(
    action: decisions.Action,
    stamp: LeaseStamp | None = None,
) -> Any:
    """Convert an action to a message for its home entry.

    Parameters
    ----------
    action : Lease, Refuse or Preempt
        Action returned by the scheduling core.
    stamp : LeaseStamp, optional
        Stamp of the action if it is a lease.

    Returns
    -------
    thrift struct
        Message to send.
    """
    match action:
        case decisions.Lease():
            return ttypes.Lease(
                *split_id(action.request_id),
                action.target,
                round_up_ms(action.valid_ms),
                action.resume,
                stamp.session if stamp else 0,
                stamp.heard if stamp else 0,
                round_up_ms(action.expected_ms),
                action.software or None,
                None if action.slowness == 1 else action.slowness,
            )
        case decisions.Refuse():
            return ttypes.Refuse(
                *split_id(action.request_id),
                _REASONS.index(action.reason),
                action.ran,
                round_up_ms(action.retry_after_ms),
                action.waiting,
                action.capacity,
                round_up_ms(action.price_ms),
                round_up_ms(action.start_within_ms),
            )
    return ttypes.Preempt(*split_id(action.request_id), action.target)


def read_action(message: Any, home: str) -> decisions.Action:
    """Convert a message from a scheduler to an action.

    Parameters
    ----------
    message : thrift struct
        A ``Lease``, ``Refuse`` or ``Preempt``.
    home : str
        Incarnation of this home entry.

    Returns
    -------
    Action
        The action, as the scheduling core returned it.

    Raises
    ------
    WireError
        If a field is missing or has an invalid value.
    """
    reader = _ACTIONS.find(type(message).__name__)
    try:
        return reader(message, home)
    except CONVERSION_ERRORS as error:
        raise make_malformed_error(message) from error


@_ACTIONS.register('Lease')
def _read_lease(message: ttypes.Lease, home: str) -> decisions.Lease:
    return decisions.Lease(
        str(read_request_id(message, home)),
        home,
        message.target,
        float(message.valid_ms),
        message.resume,
        float(message.expected_ms or 0),
        message.software or '',
        message.slowness or 1,
    )


@_ACTIONS.register('Refuse')
def _read_refuse(message: ttypes.Refuse, home: str) -> decisions.Refuse:
    return decisions.Refuse(
        str(read_request_id(message, home)),
        home,
        _REASONS[message.reason],
        message.ran,
        float(message.retry_after_ms),
        message.waiting or 0,
        message.capacity or 0,
        float(message.price_ms or 0),
        float(message.start_within_ms or 0),
    )


@_ACTIONS.register('Preempt')
def _read_preempt(message: ttypes.Preempt, home: str) -> decisions.Preempt:
    return decisions.Preempt(
        str(read_request_id(message, home)),
        home,
        message.target,
    )
