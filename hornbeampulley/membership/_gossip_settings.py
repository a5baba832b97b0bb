"""Settings of the ticket gossip."""

import dataclasses

from hornbeampulley.membership._joining import JoinSettings
from hornbeampulley.membership._reading import ReadingSettings


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Intervals and fan-out of the ticket gossip.

    Attributes
    ----------
    tick_ms : float
        Interval between gossip rounds.
    fan_out : int
        Peers that get a ticket notice in each round, and at once when a
        ticket is applied.
    changed_ms : float
        How long the notices list a ticket after it was applied.
    pull_ms : float
        Time after which a ticket that has not arrived is pulled again.
    compare_ms : float
        Time after which a ticket summary is sent again to a peer whose serial
        still differs.
    transit_ms : float
        Upper bound on the delay of a message; added to the ages it carries.
    readers_per_region : int
        Agents per region that watch the configuration service.
    renews : bool
        Whether the ages in a notice are adopted from a peer that holds the
        same tickets.
    reading : ReadingSettings
        Limits on the calls to the configuration service.
    join : JoinSettings
        When an agent that has just started may serve.
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
