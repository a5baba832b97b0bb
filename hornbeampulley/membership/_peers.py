"""Choice of gossip peers and of the configuration service's readers."""

import dataclasses
import random
from collections import defaultdict
from collections.abc import Iterable

from hornbeampulley.membership._rendezvous import rank_owners


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An agent.

    Attributes
    ----------
    name : str
        Unique name.
    availability_zone : str
        Availability zone in which it runs.
    region : str
        Group of availability zones; may be empty.
    """

    name: str
    availability_zone: str
    region: str = ''


class PeerPicker:
    """Picks the peers of the next gossip round.

    One of them is in the own region or, without one, in the own zone, so that
    gossip does not depend on links between regions. The others are taken from
    a shuffled list of all peers, which is reshuffled once it is used up; so
    each peer is reached in bounded time.

    Parameters
    ----------
    own : Peer
        This agent.
    generator : random.Random
        Source of random choices.
    """

    def __init__(self, own: Peer, generator: random.Random) -> None:
        self._own = own
        self._generator = generator
        self._peers: tuple[str, ...] = ()
        self._nearby: tuple[str, ...] = ()
        self._round: list[str] = []
        self._is_set = False

    @property
    def count(self) -> int | None:
        """Number of other agents; None before they are set."""
        return len(self._peers) if self._is_set else None

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the set of known agents.

        Parameters
        ----------
        peers : iterable of Peer
            All agents; this agent is ignored if it is among them.
        """
        others = sorted(
            (peer for peer in peers if peer.name != self._own.name),
            key=lambda peer: peer.name,
        )
        self._peers = tuple(peer.name for peer in others)
        self._nearby = tuple(
            peer.name for peer in others if self._is_near(peer)
        )
        self._round = []
        self._is_set = True

    def pick(self, count: int) -> tuple[str, ...]:
        """Pick peers.

        Parameters
        ----------
        count : int
            How many to pick.

        Returns
        -------
        tuple of str
            Distinct names; fewer than ``count`` if there are not enough peers.
        """
        picked: list[str] = []
        if self._nearby and count:
            picked.append(self._generator.choice(self._nearby))
        wanted = min(count, len(self._peers))
        while len(picked) < wanted:
            candidate = self._draw_next()
            if candidate not in picked:
                picked.append(candidate)
        return tuple(picked)

    def _draw_next(self) -> str:
        if not self._round:
            self._round = list(self._peers)
            self._generator.shuffle(self._round)
        return self._round.pop()

    def _is_near(self, peer: Peer) -> bool:
        if self._own.region:
            return peer.region == self._own.region
        return peer.availability_zone == self._own.availability_zone


def choose_readers(peers: Iterable[Peer], per_region: int) -> frozenset[str]:
    """Choose the agents that watch the configuration service.

    Parameters
    ----------
    peers : iterable of Peer
        All agents.
    per_region : int
        Number of readers in each region, in different zones where possible.

    Returns
    -------
    frozenset of str
        Names of the readers; all agents that know the same peers choose the
        same ones.
    """
    regions: dict[str, dict[str, str]] = defaultdict(dict)
    for peer in peers:
        regions[peer.region][peer.name] = peer.availability_zone
    return frozenset(
        name
        for region, zones in regions.items()
        for name in _choose_in_region(region, zones, per_region)
    )


def _choose_in_region(
    region: str,
    zones: dict[str, str],
    count: int,
) -> list[str]:
    ranked = rank_owners(f'readers/{region}', zones)
    first_of_zone: dict[str, str] = {}
    for name in ranked:
        first_of_zone.setdefault(zones[name], name)
    spread = list(first_of_zone.values())
    rest = [other for other in ranked if other not in spread]
    return [*spread, *rest][:count]
