"""Membership of live nodes, and the ranking of owners among them."""

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
    """A live node and the endpoints that it listens on.

    Attributes
    ----------
    incarnation : str
        Name of the run of the node.
    host, availability_zone : str
        Host and availability zone that it runs in.
    callers, peers : Endpoint
        Endpoints for requests of callers and for links of peers.
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
    """Live nodes as known from gossip.

    Parameters
    ----------
    own : HostRecord
        Record of this host, with this node as its only member.
    clock : Clock
        Monotonic clock.
    generator : random.Random
        Chooses peers.

    Attributes
    ----------
    is_draining : bool
        Whether this node is shutting down.
    positions : dict
        Last store position received from each host, by IP address.
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
        self._picker = PeerPicker(_make_peer(own), generator)
        self._ranking = Ranking()
        self._live: tuple[NodeAddress, ...] = ()
        self.refresh()

    @property
    def incarnation(self) -> str:
        """Incarnation of this node: the name of its current run."""
        return self._member.incarnation

    @property
    def live(self) -> tuple[NodeAddress, ...]:
        """Live nodes ordered by host, including this node."""
        return self._live

    def refresh(self) -> None:
        """Renew the record of this host and update the list of live nodes."""
        now_ms = self._clock.now()
        member = dataclasses.replace(
            self._member,
            draining=self.is_draining,
        )
        self._directory.renew_own_record((member,), now_ms)
        records = self._directory.list_live(now_ms, LIVE_MS)
        self._live = tuple(
            _make_node_address(record) for record in records if record.members
        )
        self._picker.set_peers(_make_peer(record) for record in records)
        self._ranking.set_candidates(
            node.incarnation for node in self._live if not node.is_draining
        )

    def build_update(self, wanted: Iterable[int] = ()) -> DirectoryUpdate:
        """Compose the periodic update for a peer.

        Parameters
        ----------
        wanted : iterable of int
            Keys of the records that the peer has requested in full.

        Returns
        -------
        DirectoryUpdate
            Update about all live hosts.
        """
        return self._directory.build_update(wanted, self._clock.now())

    def build_full_update(self) -> DirectoryUpdate:
        """Compose the full update for a new peer.

        Returns
        -------
        DirectoryUpdate
            Update with the records of all live hosts.
        """
        return self._directory.build_full_update(self._clock.now())

    def apply_update(self, update: DirectoryUpdate) -> frozenset[int]:
        """Merge an update from a peer.

        Parameters
        ----------
        update : DirectoryUpdate
            Received update.

        Returns
        -------
        frozenset of int
            Keys of unknown records, to be requested from the peer.
        """
        now_ms = self._clock.now()
        for record in update.records:
            self._directory.supersede_earlier_run(record, now_ms)
            self._directory.merge(record, now_ms)
        return frozenset(
            pulse.key
            for pulse in update.pulses
            if not self._directory.merge_pulse(pulse, now_ms)
        )

    def has_host(self, host: str) -> bool:
        """Return whether a host is known, live or not.

        Parameters
        ----------
        host : str
            Name of the host.

        Returns
        -------
        bool
            True if the host is known.
        """
        return self._directory.has_host(host)

    def pick_peers(self) -> list[NodeAddress]:
        """Pick the peers for the next gossip round.

        Returns
        -------
        list of NodeAddress
            Up to `FANOUT` live nodes.
        """
        hosts = frozenset(self._picker.pick(FANOUT))
        return [node for node in self._live if node.host in hosts]

    def find(self, incarnation: str) -> NodeAddress | None:
        """Find a live node.

        Parameters
        ----------
        incarnation : str
            Incarnation of the node.

        Returns
        -------
        NodeAddress or None
            None if the node is not live.
        """
        for node in self._live:
            if node.incarnation == incarnation:
                return node
        return None

    def rank_owners(self, key: str) -> tuple[str, ...]:
        """Rank the live nodes as owners of a key.

        Parameters
        ----------
        key : str
            Key of the owned object, such as a pool.

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
    """Make the record of this host.

    Parameters
    ----------
    host, availability_zone, region : str
        Name and location of the host.
    member : Member
        This node.
    address : str
        IP address of the host.
    started_ms : int
        Wall time of the start of this run, in ms.

    Returns
    -------
    HostRecord
        Record to be sent by gossip.
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
    """Make the member of a host record that stands for this node.

    Parameters
    ----------
    incarnation : str
        Name of this run.
    caller_port, peer_port : int
        Ports for requests of callers and for links of peers.

    Returns
    -------
    Member
        Member in the role of an entry.
    """
    return Member(Role.ENTRY, incarnation, caller_port, peer_port)


def _make_peer(record: HostRecord) -> Peer:
    return Peer(record.host, record.availability_zone, record.region)


def _make_node_address(record: HostRecord) -> NodeAddress:
    member = record.members[0]
    return NodeAddress(
        member.incarnation,
        record.host,
        record.availability_zone,
        Endpoint(record.address, member.caller_port),
        Endpoint(record.address, member.peer_port),
        member.draining,
    )
