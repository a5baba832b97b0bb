"""Snapshots of a core's state for status pages."""

from hornbeampulley.decisions._state import State
from hornbeampulley.views import PoolState, TargetView


def describe_state(state: State) -> PoolState:
    """Describe the state of a core.

    Parameters
    ----------
    state : State
        The state of the core.

    Returns
    -------
    PoolState
        A copy that later events do not change.
    """
    targets = tuple(
        TargetView(
            target.name,
            target.limit.slots,
            len(target.running),
            target.health.condition.value,
            target.is_leaving,
        )
        for target in sorted(state.fleet, key=lambda target: target.name)
    )
    return PoolState(
        state.pool,
        state.queue.count_tiers(),
        sum(target.running for target in targets),
        targets,
    )
