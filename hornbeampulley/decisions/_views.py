"""Read-only views of a core for status pages."""

import dataclasses

from hornbeampulley.decisions._state import State


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State of one target.

    Attributes
    ----------
    name : str
        Name of the target.
    limit : int
        How many requests may run on it.
    running : int
        How many do.
    health : str
        ``healthy``, ``ejected`` or ``down``.
    is_leaving : bool
        Whether it gets no lease as it leaves.
    """

    name: str
    limit: int
    running: int
    health: str
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """State of a pool.

    Attributes
    ----------
    pool : str
        Name of the pool.
    waiting : dict
        Number of waiting requests by tier.
    running : int
        Number of leases outstanding.
    targets : tuple of TargetView
        In order of their names.
    """

    pool: str
    waiting: dict[str, int]
    running: int
    targets: tuple[TargetView, ...]


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
