"""State of a pool, as shown on status pages."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State of one target.

    Attributes
    ----------
    name : str
        Name of the target.
    limit : int
        Maximum number of requests that may run on it.
    running : int
        Number of requests that run on it.
    health : str
        ``healthy``, ``ejected`` or ``down``.
    is_leaving : bool
        Whether it is leaving and therefore gets no new lease.
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
        Number of outstanding leases.
    targets : tuple of TargetView
        Targets sorted by name.
    """

    pool: str
    waiting: dict[str, int]
    running: int
    targets: tuple[TargetView, ...]
