"""Ownership of shards by schedulers."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from hornbeampulley.membership._liveness import FailureDetector, PeerState
from hornbeampulley.membership._rendezvous import Ranking, rank_owners


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """A shard is now owned by this scheduler.

    Attributes
    ----------
    shard : str
        Name of the shard.
    """

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """A shard is no longer owned by this scheduler.

    Attributes
    ----------
    shard : str
        Name of the shard.
    successor : str
        Scheduler that owns it now; empty if the shard no longer exists.
    """

    shard: str
    successor: str


Transfer = Acquired | HandedOver
_USABLE: Final = frozenset((PeerState.LIVE, PeerState.SUSPECT))


class Ownership:
    """Decides which shards one scheduler owns.

    Parameters
    ----------
    own : str
        Name of this scheduler.
    depth : int
        Number of top ranks of a shard whose schedulers watch each other. The
        bound keeps heartbeats from going between all pairs of schedulers.
    """

    def __init__(self, own: str, depth: int = 3) -> None:
        self._own = own
        self._depth = depth
        self._shards: frozenset[str] = frozenset()
        self._owned: set[str] = set()
        self._requested: set[str] = set()
        self._ranking = Ranking()
        self._ranking.set_candidates((own,))
        self._is_draining = False

    @property
    def owned(self) -> frozenset[str]:
        """Names of the shards owned now."""
        return frozenset(self._owned)

    def set_schedulers(self, schedulers: Iterable[str]) -> None:
        """Replace the set of known schedulers.

        Parameters
        ----------
        schedulers : iterable of str
            Names of all schedulers, also of dead and draining ones.
        """
        self._ranking.set_candidates({self._own, *schedulers})

    def set_shards(self, shards: Iterable[str]) -> tuple[Transfer, ...]:
        """Replace the set of existing shards.

        Parameters
        ----------
        shards : iterable of str
            Names of all shards of all pools.

        Returns
        -------
        tuple of Transfer
            The owned shards that no longer exist; new ones are acquired by
            ``update``.
        """
        self._shards = frozenset(shards)
        removed = sorted(self._owned - self._shards)
        self._owned &= self._shards
        self._requested &= self._shards
        return tuple(HandedOver(shard, '') for shard in removed)

    def list_watched(self) -> frozenset[str]:
        """List the schedulers to exchange heartbeats with.

        Returns
        -------
        frozenset of str
            Names of the other schedulers in the first ``depth`` ranks of each
            shard for which this one is in them too, so that watching is
            mutual; and of all that rank higher for a requested shard.
        """
        watched: set[str] = set()
        for shard in self._shards:
            ranked = self._ranking.rank(shard)
            first = ranked[: self._depth]
            if self._own in first:
                watched.update(first)
            if shard in self._requested:
                watched.update(ranked[: ranked.index(self._own)])
        return frozenset(watched - {self._own})

    def watch_higher_ranks(self, shard: str) -> None:
        """Watch all schedulers that rank higher for a shard.

        Called when a home entry asks this scheduler for the shard, which means
        that the home found all higher ranks silent.

        Parameters
        ----------
        shard : str
            Name of the shard.
        """
        if shard in self._shards:
            self._requested.add(shard)

    def drain(self) -> None:
        """Stop being a candidate; ``update`` then hands over all shards."""
        self._is_draining = True

    def update(self, unusable: Iterable[str]) -> tuple[Transfer, ...]:
        """Acquire and hand over shards according to the state of the peers.

        Parameters
        ----------
        unusable : iterable of str
            Names of the schedulers that are dead or draining.

        Returns
        -------
        tuple of Transfer
            The changes. A draining scheduler without a successor keeps its
            shards until it ends.
        """
        excluded = set(unusable) - {self._own}
        transfers: list[Transfer] = []
        for shard in sorted(self._shards):
            owner = self._find_owner(shard, excluded)
            transfers.extend(self._assign(shard, owner))
        return tuple(transfers)

    def resolve_claim(self, shard: str, claimant: str) -> tuple[Transfer, ...]:
        """Resolve the ownership of a shard that two schedulers own at once.

        Parameters
        ----------
        shard : str
            Name of the shard.
        claimant : str
            Another scheduler that claims the shard and is not draining.

        Returns
        -------
        tuple of Transfer
            A hand-over if the claimant ranks higher or this scheduler drains,
            else nothing: the claimant hands the shard over when it receives
            this scheduler's claim.
        """
        if shard not in self._owned or claimant == self._own:
            return ()
        first = rank_owners(shard, (self._own, claimant))[0]
        if first == self._own and not self._is_draining:
            return ()
        return self._assign(shard, claimant)

    def _find_owner(self, shard: str, excluded: set[str]) -> str:
        for candidate in self._ranking.rank(shard):
            is_leaving = candidate == self._own and self._is_draining
            if candidate not in excluded and not is_leaving:
                return candidate
        return self._own

    def _assign(self, shard: str, owner: str) -> tuple[Transfer, ...]:
        if owner == self._own:
            if shard in self._owned:
                return ()
            self._owned.add(shard)
            return (Acquired(shard),)
        if shard not in self._owned:
            return ()
        self._owned.discard(shard)
        return (HandedOver(shard, owner),)


class SchedulerChooser:
    """Chooses the scheduler that a home entry asks for leases.

    Parameters
    ----------
    detector : FailureDetector
        The home's own detector; it needs to watch only the schedulers
        chosen.
    """

    def __init__(self, detector: FailureDetector) -> None:
        self._detector = detector
        self._ranking = Ranking()

    def set_schedulers(self, schedulers: Iterable[str]) -> None:
        """Replace the set of known schedulers.

        Parameters
        ----------
        schedulers : iterable of str
            Names of all schedulers, also of dead and draining ones.
        """
        self._ranking.set_candidates(schedulers)

    def choose_scheduler(self, shard: str) -> str:
        """Choose the scheduler of a shard.

        Parameters
        ----------
        shard : str
            Name of the shard.

        Returns
        -------
        str
            The highest-ranked scheduler that is live or suspect, else the
            highest-ranked draining one; empty if there is neither, in which
            case the home dispatches without a scheduler.
        """
        draining = ''
        for candidate in self._ranking.rank(shard):
            state = self._detector.get_state(candidate)
            if state in _USABLE:
                return candidate
            if state is PeerState.DRAINING:
                draining = draining or candidate
        return draining
