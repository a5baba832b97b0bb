"""Settings of the ticket gossip."""

import dataclasses

from hornbeampulley.membership._joining import JoinSettings
from hornbeampulley.membership._reading import ReadingSettings


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Times and counts of the ticket gossip.

    Attributes
    ----------
    tick_ms : float
        Interval between ticks.
    fan_out : int
        Peers told on a tick and at once on a change.
    changed_ms : float
        For how long notices name a ticket that was applied.
    pull_ms : float
        Time after which a ticket that has not come is pulled again.
    compare_ms : float
        Time after which a summary is sent again to a peer whose serial still
        differs.
    transit_ms : float
        Bound on the delay of a message, added to the ages it carries.
    readers_per_region : int
        Agents that watch the service.
    renews : bool
        Whether a peer's equal serial renews the freshness of what is held.
    reading : ReadingSettings
        Bounds on the calls to the service.
    join : JoinSettings
        When a fresh agent may serve.
    """

    tick_ms: float = 500
    fan_out: int = 3
    changed_ms: float = 3000
    pull_ms: float = 500
    compare_ms: float = 4000
    transit_ms: float = 100
    readers_per_region: int = 2
    renews: bool = True
    reading: ReadingSettings = ReadingSettings()
    join: JoinSettings = JoinSettings()
