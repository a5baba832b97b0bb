"""Membership of live nodes, and the ranking of owners among them."""

import dataclasses
import logging
import math
import operator
import random
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    SUSPICION_MS,
    HostCondition,
    HostNews,
    HostRecord,
    Peer,
    Prober,
    ProbeStep,
    Ranking,
    Roster,
    Unanswered,
    choose_readers,
)

# Peers that get a round of gossip: most of them in the own availability zone,
# where bytes cost least, and one anywhere.
NEARBY_FANOUT: Final = 2
DISTANT_FANOUT: Final = 1
MIN_CAPACITY: Final = 0.001
_log = logging.getLogger(__name__)


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
    is_suspect : bool
        Whether it has not answered lately.
    processor_capacity : float
        Processor time per second of its host, in cores of the slowest kind.
    started_ms : int
        Wall time of its start.
    """

    incarnation: str
    host: str
    availability_zone: str
    callers: Endpoint
    peers: Endpoint
    is_draining: bool
    is_suspect: bool = False
    processor_capacity: float = 1
    started_ms: int = 0


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
    roster : Roster
        All hosts and their conditions.
    prober : Prober
        Failure detector.
    """

    def __init__(
        self,
        own: HostRecord,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.roster = Roster(own)
        self.prober = Prober(generator)
        self._member = own.members[0]
        self._clock = clock
        self._generator = generator
        self._ranking = Ranking()
        self._seen_changes = -1
        self._live: tuple[NodeAddress, ...] = ()
        self._others: tuple[NodeAddress, ...] = ()
        self._near: tuple[NodeAddress, ...] = ()
        self._other_hosts: tuple[str, ...] = ()
        self._readers: dict[int, Collection[str]] = {}
        self._by_incarnation: dict[str, NodeAddress] = {}
        self._by_address: dict[str, NodeAddress] = {}

    @property
    def incarnation(self) -> str:
        """Incarnation of this node: the name of its current run."""
        return self._member.incarnation

    @property
    def is_draining(self) -> bool:
        """Whether this node is shutting down."""
        return self._member.draining

    @property
    def live(self) -> tuple[NodeAddress, ...]:
        """Live nodes ordered by host, including this node."""
        self._update()
        return self._live

    @property
    def others(self) -> tuple[NodeAddress, ...]:
        """Live nodes ordered by host, without those of this host."""
        self._update()
        return self._others

    def start_draining(self) -> None:
        """Publish that this node is shutting down."""
        self._member = dataclasses.replace(self._member, draining=True)
        self.roster.update_own((self._member,), self._clock.now())

    def merge(
        self, news: Iterable[HostNews], *, is_passed_on: bool = True
    ) -> None:
        """Merge news of hosts from a peer.

        Parameters
        ----------
        news : iterable of HostNews
            Received news.
        is_passed_on : bool
            Whether other peers are told of what has changed.
        """
        now_ms = self._clock.now()
        for one in news:
            self.roster.merge(one, now_ms, is_passed_on=is_passed_on)

    def record_heard(self) -> None:
        """Record that a datagram has come from a peer."""
        now_ms = self._clock.now()
        if self.prober.is_isolated(now_ms):
            self.roster.drop_private_views(now_ms)
        self.prober.record_heard(now_ms)

    def detect_failures(self) -> list[ProbeStep]:
        """Probe the next host, and give up hosts that do not answer.

        Returns
        -------
        list of SendProbe or AskToProbe
            Probes to send.
        """
        now_ms = self._clock.now()
        self.roster.extend_suspicions(self.prober.measure_pause(now_ms))
        self._update()
        steps = self.prober.tick(self._other_hosts, now_ms)
        for unanswered in steps:
            if isinstance(unanswered, Unanswered):
                self._suspect(unanswered.host, now_ms)
        allowed_ms = SUSPICION_MS * self.prober.patience
        for record in self.roster.expire(now_ms, allowed_ms):
            log_event(_log, 'host_dead', peer=record.host)
        return [step for step in steps if not isinstance(step, Unanswered)]

    def pick_peers(self) -> list[NodeAddress]:
        """Pick the peers for the next round of gossip.

        Returns
        -------
        list of NodeAddress
            Distinct live nodes, most of them in the own availability zone.
        """
        others = self.others
        picked = self._sample(self._near, NEARBY_FANOUT)
        rest = [node for node in others if node not in picked]
        missing = NEARBY_FANOUT + DISTANT_FANOUT - len(picked)
        return picked + self._sample(rest, missing)

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
        self._update()
        return self._by_incarnation.get(incarnation)

    def find_by_address(self, address: str) -> NodeAddress | None:
        """Find a live node.

        Parameters
        ----------
        address : str
            IP address of its host.

        Returns
        -------
        NodeAddress or None
            None if there is no live node at the address.
        """
        self._update()
        return self._by_address.get(address)

    def rank_owners(self, key: str) -> tuple[str, ...]:
        """Rank the live nodes as owners of a key, the strongest hosts first.

        Parameters
        ----------
        key : str
            Key of the owned object, such as a pool.

        Returns
        -------
        tuple of str
            Incarnations, the owner first.
        """
        self._update()
        return self._ranking.rank(key) or (self.incarnation,)

    def is_reader(self, readers: int) -> bool:
        """Tell whether this host is one of those that read the store.

        Parameters
        ----------
        readers : int
            Number of readers, in different availability zones if possible.

        Returns
        -------
        bool
            True if it is; all hosts that know the same hosts agree.
        """
        return self.roster.own.host in self._choose_readers(readers)

    def list_readers(self, readers: int) -> list[NodeAddress]:
        """List the hosts that read the store.

        Parameters
        ----------
        readers : int
            Number of readers.

        Returns
        -------
        list of NodeAddress
            Their nodes; all hosts that know the same hosts agree.
        """
        chosen = frozenset(self._choose_readers(readers))
        return [node for node in self.live if node.host in chosen]

    def _choose_readers(self, readers: int) -> Collection[str]:
        self._update()
        if readers not in self._readers:
            peers = (
                Peer(node.host, node.availability_zone)
                for node in self._live
                if not (node.is_draining or node.is_suspect)
            )
            self._readers[readers] = choose_readers(peers, readers)
        return self._readers[readers]

    def _suspect(self, host: str, now_ms: float) -> None:
        is_isolated = self.prober.is_isolated(now_ms)
        if self.roster.suspect(host, now_ms, is_private=is_isolated):
            log_event(
                _log,
                'host_suspected',
                peer=host,
                isolated=is_isolated,
                patience=round(self.prober.patience, 1),
            )

    def _update(self) -> None:
        if self.roster.changes == self._seen_changes:
            return
        self._seen_changes = self.roster.changes
        records = self.roster.list_records(HostCondition.ALIVE)
        suspects = self.roster.list_records(HostCondition.SUSPECT)
        nodes = [_make_node_address(one) for one in records if one.members]
        nodes.extend(
            dataclasses.replace(_make_node_address(one), is_suspect=True)
            for one in suspects
            if one.members
        )
        self._live = tuple(sorted(nodes, key=operator.attrgetter('host')))
        self._list_others()
        self._readers.clear()
        self._by_incarnation = {node.incarnation: node for node in nodes}
        self._by_address = {node.peers.address: node for node in nodes}
        classes = {
            node.incarnation: _get_capacity_class(node)
            for node in nodes
            if not node.is_draining
        }
        self._ranking.set_candidates(classes, classes)

    def _list_others(self) -> None:
        own = self.roster.own
        zone = own.availability_zone
        self._others = tuple(one for one in self._live if one.host != own.host)
        self._near = tuple(
            one for one in self._others if one.availability_zone == zone
        )
        self._other_hosts = tuple(one.host for one in self._others)

    def _sample(
        self, nodes: Sequence[NodeAddress], count: int
    ) -> list[NodeAddress]:
        return self._generator.sample(nodes, min(count, len(nodes)))


def _make_node_address(record: HostRecord) -> NodeAddress:
    member = record.members[0]
    return NodeAddress(
        member.incarnation,
        record.host,
        record.availability_zone,
        Endpoint(record.address, member.caller_port),
        Endpoint(record.address, member.peer_port),
        member.draining,
        processor_capacity=record.processor_capacity,
        started_ms=record.started_ms,
    )


def _get_capacity_class(node: NodeAddress) -> int:
    """Return a class that differs by one where the capacity is doubled."""
    return math.floor(math.log2(max(node.processor_capacity, MIN_CAPACITY)))
