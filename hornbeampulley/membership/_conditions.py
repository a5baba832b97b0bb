"""Conditions of hosts, and what hosts tell of each other."""

import dataclasses
import enum

from hornbeampulley.membership._directory import HostRecord


class HostCondition(enum.IntEnum):
    """Condition of a host; of the same version, a higher one prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HostNews:
    """What a host believes of another one.

    Attributes
    ----------
    record : HostRecord
        The other host's record; its version is raised by that host only.
    condition : HostCondition
        Condition that the host is believed to be in.
    """

    record: HostRecord
    condition: HostCondition = HostCondition.ALIVE

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key that orders news of one host from old to new."""
        return (*self.record.age_order, self.condition)
