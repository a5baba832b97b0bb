"""State of a pool, as status pages show it."""

import dataclasses


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
