"""What a node knows of the store and of a target, as plain data."""

import dataclasses
from typing import Final

from hornbeampulley.routing import TargetState

GONE: Final = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Latest revisions of the store that a node has applied.

    Attributes
    ----------
    routing, targets : int
        Revisions of the routing table and of the targets.
    """

    routing: int = 0
    targets: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """Latest knowledge about one run of a target.

    Attributes
    ----------
    state : str
        Value of a `TargetState`; `GONE` if the run is no longer registered.
    age_ms : float
        Time since the node learned this, in ms.
    view_age_ms : float
        Time since its view is known to have been up to date, in ms.
    """

    state: str
    age_ms: float
    view_age_ms: float

    @property
    def is_open(self) -> bool:
        """Whether the target gets new requests."""
        return self.state == TargetState.READY.value
