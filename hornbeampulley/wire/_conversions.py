"""Between the decision core's messages and the peer protocol."""

from typing import Final

from hornbeampulley import decisions
from hornbeampulley.wire.generated.peer import ttypes

HASH_MASK: Final = (1 << 63) - 1
"""Hashes travel as signed 64-bit numbers; the top bit is dropped."""


def read_reserve(
    message: ttypes.Reserve,
    home: str,
    now_ms: float,
) -> decisions.Reserve:
    """Convert a reserve as received.

    Parameters
    ----------
    message : ttypes.Reserve
        As received; its deadline is a duration.
    home : str
        Incarnation of the sender.
    now_ms : float
        The receiver's time.

    Returns
    -------
    decisions.Reserve
        Its deadline is a moment of the receiver's clock.
    """
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


def read_release(message: ttypes.Release) -> decisions.Release:
    """Convert a release as received.

    Parameters
    ----------
    message : ttypes.Release
        As received.

    Returns
    -------
    decisions.Release
        For the core.
    """
    return decisions.Release(
        message.request_id,
        decisions.Outcome(message.outcome),
        message.output_tokens,
        message.first_token_ms,
        message.duration_ms,
        message.cached_tokens,
    )


def read_progress(message: ttypes.Progress) -> decisions.Progress:
    """Convert a progress as received.

    Parameters
    ----------
    message : ttypes.Progress
        As received.

    Returns
    -------
    decisions.Progress
        For the core.
    """
    return decisions.Progress(
        message.request_id,
        message.output_tokens,
        message.first_token_ms,
    )


def write_action(
    action: decisions.Lease | decisions.Refuse | decisions.Preempt,
) -> ttypes.Lease | ttypes.Refuse | ttypes.Preempt:
    """Convert an action for the home that it is meant for.

    Parameters
    ----------
    action : Lease, Refuse or Preempt
        From the core.

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
            )
        case decisions.Refuse():
            return ttypes.Refuse(
                action.request_id,
                action.reason.value,
                action.ran,
                action.retry_after_ms,
            )
        case decisions.Preempt():
            return ttypes.Preempt(action.request_id, action.target)
