"""The other nodes, as gossip tells of them, and who owns what."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.membership import (
    Directory,
    DirectoryUpdate,
    HostRecord,
    Member,
    Peer,
    PeerPicker,
    Ranking,
    Role,
)
from hornbeampulley.node._store_view import Position

LIVE_MS: Final = 1500.0
FANOUT: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddress:
    """A live node and where it listens.

    Attributes
    ----------
    incarnation : str
        Name of this run of it.
    host, availability_zone : str
        Where it runs.
    callers, peers : Endpoint
        Where it takes requests and links.
    is_draining : bool
        Whether it is shutting down.
    """

    incarnation: str
    host: str
    availability_zone: str
    callers: Endpoint
    peers: Endpoint
    is_draining: bool


class Membership:
    """Live nodes, by gossip that starts from a few seeds.

    Parameters
    ----------
    own : HostRecord
        This host, with this node as its only member.
    clock : Clock
        Time.
    generator : random.Random
        Chooses peers.

    Attributes
    ----------
    is_draining : bool
        Whether this node is shutting down.
    positions : dict
        Last positions told by the hosts.
    """

    def __init__(
        self,
        own: HostRecord,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.is_draining = False
        self.positions: dict[str, Position] = {}
        self._member = own.members[0]
        self._clock = clock
        self._generator = generator
        self._directory = Directory(own, clock.now())
        self._picker = PeerPicker(_to_peer(own), generator)
        self._ranking = Ranking()
        self._live: tuple[NodeAddress, ...] = ()
        self.refresh()

    @property
    def incarnation(self) -> str:
        """Name of this run of this node."""
        return self._member.incarnation

    @property
    def live(self) -> tuple[NodeAddress, ...]:
        """Live nodes in order of their hosts, this one included."""
        return self._live

    def refresh(self) -> None:
        """Renew the own record and look who is live."""
        now_ms = self._clock.now()
        member = dataclasses.replace(
            self._member,
            draining=self.is_draining,
        )
        self._directory.beat((member,), now_ms)
        records = self._directory.list_live(now_ms, LIVE_MS)
        self._live = tuple(
            _to_address(record) for record in records if record.members
        )
        self._picker.set_peers(_to_peer(record) for record in records)
        self._ranking.set_candidates(
            node.incarnation for node in self._live if not node.is_draining
        )

    def compose(self, wanted: Iterable[int] = ()) -> DirectoryUpdate:
        """Compose the update for a peer.

        Parameters
        ----------
        wanted : iterable of int
            Keys of records that it asked for.

        Returns
        -------
        DirectoryUpdate
            Of all live hosts.
        """
        return self._directory.compose_update(wanted, self._clock.now())

    def compose_all(self) -> DirectoryUpdate:
        """Compose the update for a new peer.

        Returns
        -------
        DirectoryUpdate
            All live records.
        """
        return self._directory.compose_all(self._clock.now())

    def apply_update(self, update: DirectoryUpdate) -> frozenset[int]:
        """Take the update of a peer.

        Parameters
        ----------
        update : DirectoryUpdate
            As received.

        Returns
        -------
        frozenset of int
            Keys of records to ask for.
        """
        now_ms = self._clock.now()
        for record in update.records:
            self._directory.outdo(record, now_ms)
            self._directory.merge(record, now_ms)
        return frozenset(
            pulse.key
            for pulse in update.pulses
            if not self._directory.merge_pulse(pulse, now_ms)
        )

    def knows(self, host: str) -> bool:
        """Tell whether a host was ever heard of.

        Parameters
        ----------
        host : str
            Its name.

        Returns
        -------
        bool
            True if so.
        """
        return self._directory.knows(host)

    def pick(self) -> list[NodeAddress]:
        """Pick the peers to be told next.

        Returns
        -------
        list of NodeAddress
            A few live ones.
        """
        hosts = frozenset(self._picker.pick(FANOUT))
        return [node for node in self._live if node.host in hosts]

    def find(self, incarnation: str) -> NodeAddress | None:
        """Find a live node.

        Parameters
        ----------
        incarnation : str
            Its name.

        Returns
        -------
        NodeAddress or None
            None if it is not live.
        """
        for node in self._live:
            if node.incarnation == incarnation:
                return node
        return None

    def rank_owners(self, key: str) -> tuple[str, ...]:
        """Rank the live nodes that may own something.

        Parameters
        ----------
        key : str
            What is to be owned.

        Returns
        -------
        tuple of str
            Incarnations, the owner first.
        """
        return self._ranking.rank(key) or (self.incarnation,)


def make_host_record(
    host: str,
    availability_zone: str,
    region: str,
    member: Member,
    address: str,
    started_ms: int,
) -> HostRecord:
    """Form the record of this host.

    Parameters
    ----------
    host, availability_zone, region : str
        Its name and place.
    member : Member
        This node.
    address : str
        Its IP address.
    started_ms : int
        Wall time of the start of this run.

    Returns
    -------
    HostRecord
        To be spread.
    """
    return HostRecord(
        host,
        address,
        availability_zone,
        started_ms,
        members=(member,),
        region=region,
    )


def make_member(
    incarnation: str,
    caller_port: int,
    peer_port: int,
) -> Member:
    """Form the entry of this node in the record of its host.

    Parameters
    ----------
    incarnation : str
        Name of this run.
    caller_port, peer_port : int
        Where it takes requests and links.

    Returns
    -------
    Member
        A node counts as an entry.
    """
    return Member(Role.ENTRY, incarnation, caller_port, peer_port)


def _to_peer(record: HostRecord) -> Peer:
    return Peer(record.host, record.availability_zone, record.region)


def _to_address(record: HostRecord) -> NodeAddress:
    member = record.members[0]
    return NodeAddress(
        member.incarnation,
        record.host,
        record.availability_zone,
        Endpoint(record.address, member.caller_port),
        Endpoint(record.address, member.peer_port),
        member.draining,
    )
