"""Announcement of a request to the scheduler of its pool."""

from typing import Final

import xxhash

from hornbeampulley import decisions
from hornbeampulley.node._calls import Call
from hornbeampulley.node._home import Home
from hornbeampulley.node._prefixes import make_block_hashes
from hornbeampulley.node._stream_origins import UNNAMED, make_stream_name
from hornbeampulley.routing import get_service_name, get_tier_name
from hornbeampulley.wire.scheduling import PART_MASK

# Margin before the caller abandons a stream, within which the first event or
# a refusal reaches it.
FIRST_EVENT_MARGIN_MS: Final = 200.0
_FINGERPRINT_MASK: Final = (1 << 63) - 1


def make_reserve(home: Home, call: Call) -> decisions.Reserve:
    """Make the announcement with which a request asks for a lease.

    Parameters
    ----------
    home : Home
        Home of the request.
    call : Call
        Request whose route, pool and rank are set.

    Returns
    -------
    Reserve
        Its points in time are in ms of the node's clock.
    """
    metadata = call.metadata
    return decisions.Reserve(
        request_id=home.lease_client.make_id(),
        home=home.lease_client.own_incarnation,
        workspace=call.workspace_name,
        service=get_service_name(call.route.name, call.pool),
        tier=get_tier_name(call.rank, call.route.rank),
        prompt_tokens=metadata.prompt_tokens if call.is_model else 0,
        output_tokens=metadata.output_tokens if call.is_model else 0,
        block_hashes=make_block_hashes(metadata) if call.is_model else (),
        fingerprint=_make_fingerprint(call),
        deadline_ms=call.ends_ms,
        objective_ms=_get_objective_deadline(call),
        begin_by_ms=_get_latest_start(call),
        # Running requests are not preempted to make room for others.
        repeatable=False,
        avoided=call.last_target,
        expected_tokens=_get_expected_tokens(call),
        prompt_parts=_list_parts(call),
        software=call.software or _find_software(home, call),
        stream=_find_stream(call),
    )


def make_call_stream_name(call: Call) -> int:
    """Make the name of the stream that a request begins or takes up.

    Parameters
    ----------
    call : Call
        Request whose route, workspace and pool are set.

    Returns
    -------
    int
        Its name; `UNNAMED` if the caller does not say which one it takes up.
    """
    if call.is_taken_up and not call.metadata.first_attempt:
        return UNNAMED
    return make_stream_name(
        call.first_attempt, call.workspace_name, call.route.name, call.pool
    )


def _find_software(home: Home, call: Call) -> str:
    """Return the version that began a stream, if this node knows it."""
    stream = _find_stream(call)
    if stream is None:
        return ''
    return home.lease_client.find_software(stream) or ''


def _find_stream(call: Call) -> int | None:
    """Return the stream whose version the scheduler has to find out."""
    if not call.is_taken_up or call.software:
        return None
    return make_call_stream_name(call)


def _list_parts(call: Call) -> tuple[int, ...]:
    """List the parts that may crash a target; none if its answer has begun.

    All are listed, as each of them may. Their number is bounded by the size of
    a request's head.
    """
    if call.events.count or not call.is_model:
        return ()
    return tuple(_make_part_id(part.name) for part in call.metadata.parts)


def _make_part_id(name: int) -> int:
    """Return an id that fits into a message."""
    if name <= PART_MASK:
        return name
    return xxhash.xxh3_64_intdigest(f'{name:x}'.encode())


def _get_expected_tokens(call: Call) -> int:
    """Return the output tokens still expected; 0 without a length hint."""
    hinted = call.metadata.hinted_tokens if call.is_model else 0
    received = call.events.count * call.event_tokens
    return max(hinted - received, call.event_tokens) if hinted else 0


def _get_latest_start(call: Call) -> float:
    """Return the time by which the answer has to begin; 0 if unlimited."""
    patience_ms = call.route.patience_ms
    if not patience_ms or call.events.count:
        return 0
    return call.arrived_ms + patience_ms - FIRST_EVENT_MARGIN_MS


def _get_objective_deadline(call: Call) -> float:
    """Return the time by which the latency objective is met; 0 if none."""
    if not call.route.objective_ms or call.events.count:
        return 0
    return call.arrived_ms + call.route.objective_ms


def _make_fingerprint(call: Call) -> int:
    if call.targets:
        # The fingerprint identifies requests that crash targets; a request
        # that resumes after a break must not be blamed for it.
        return 0
    digest = xxhash.xxh3_64()
    for part in (call.request.method, call.request.target, call.request.body):
        digest.update(part)
    digest.update(call.workspace_name.encode())
    return digest.intdigest() & _FINGERPRINT_MASK
