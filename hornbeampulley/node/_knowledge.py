"""What a node knows of the store and of a target, as plain data."""

import dataclasses
from typing import Final

from hornbeampulley.node.stored import Revision
from hornbeampulley.routing import TargetState

GONE: Final = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How much of the store a node has applied.

    Attributes
    ----------
    routing, targets : Revision
        Latest revisions of the routing table and of the targets.
    version : int
        Version of the routing table in force; 0 before one was read.
    """

    routing: Revision = Revision()
    targets: Revision = Revision()
    version: int = 0

    def is_ahead_of(self, other: 'Position') -> bool:
        """Tell whether a node at this position may know more than another.

        Parameters
        ----------
        other : Position
            Position of the other node.

        Returns
        -------
        bool
            True if it is ahead in any respect.
        """
        return (
            self.routing > other.routing
            or self.targets > other.targets
            or self.version > other.version
        )


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
