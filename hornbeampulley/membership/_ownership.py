"""Which scheduler owns which shard now."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from hornbeampulley.membership._liveness import FailureDetector, PeerState
from hornbeampulley.membership._rendezvous import Ranking, rank_owners


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """A shard is owned by the scheduler itself from now on.

    Attributes
    ----------
    shard : str
        Name of the shard.
    """

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """A shard is owned by the scheduler itself no longer.

    Attributes
    ----------
    shard : str
        Name of the shard.
    successor : str
        Who owns it now; empty if the shard is gone.
    """

    shard: str
    successor: str


Transfer = Acquired | HandedOver
_USABLE: Final = frozenset((PeerState.LIVE, PeerState.SUSPECT))


class Ownership:
    """The shards of one scheduler.

    Parameters
    ----------
    own : str
        Name of this scheduler.
    depth : int
        Ranks of a shard whose schedulers watch each other, so that heartbeats
        do not go from all to all.
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
        """Replace the schedulers that are known.

        Parameters
        ----------
        schedulers : iterable of str
            Names of all schedulers, whatever their state.
        """
        self._ranking.set_candidates({self._own, *schedulers})

    def set_shards(self, shards: Iterable[str]) -> tuple[Transfer, ...]:
        """Replace the shards that exist.

        Parameters
        ----------
        shards : iterable of str
            Names of all shards of all pools.

        Returns
        -------
        tuple of Transfer
            Those owned that exist no longer; new ones are acquired by
            ``update``.
        """
        self._shards = frozenset(shards)
        gone = sorted(self._owned - self._shards)
        self._owned &= self._shards
        self._requested &= self._shards
        return tuple(HandedOver(shard, '') for shard in gone)

    def list_watched(self) -> frozenset[str]:
        """List the schedulers to exchange heartbeats with.

        Returns
        -------
        frozenset of str
            Those near this one in rank for some shard; watching is mutual.
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
        """Watch all that rank higher for a shard, since a home asks for it.

        Parameters
        ----------
        shard : str
            Name of the shard; the home found all higher ranks silent.
        """
        if shard in self._shards:
            self._requested.add(shard)

    def drain(self) -> None:
        """Leave the ranking; ``update`` then hands all shards over."""
        self._is_draining = True

    def update(self, unusable: Iterable[str]) -> tuple[Transfer, ...]:
        """Take and hand over shards as the view of the peers says.

        Parameters
        ----------
        unusable : iterable of str
            The other schedulers that are dead or draining.

        Returns
        -------
        tuple of Transfer
            What changed. A draining scheduler without a successor keeps its
            shards until it ends.
        """
        excluded = set(unusable) - {self._own}
        transfers: list[Transfer] = []
        for shard in sorted(self._shards):
            owner = self._find_owner(shard, excluded)
            transfers.extend(self._assign(shard, owner))
        return tuple(transfers)

    def resolve_claim(self, shard: str, claimant: str) -> tuple[Transfer, ...]:
        """Settle a shard that two schedulers own at once.

        Parameters
        ----------
        shard : str
            Name of the shard.
        claimant : str
            Another scheduler that says it owns it and is not draining.

        Returns
        -------
        tuple of Transfer
            A hand-over if the claimant ranks higher, else nothing: the
            claimant hands over when it hears this scheduler's claim.
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
    """Tells a home which scheduler to ask for leases.

    Parameters
    ----------
    detector : FailureDetector
        The home's own view; it need watch only the schedulers chosen.
    """

    def __init__(self, detector: FailureDetector) -> None:
        self._detector = detector
        self._ranking = Ranking()

    def set_schedulers(self, schedulers: Iterable[str]) -> None:
        """Replace the schedulers that are known.

        Parameters
        ----------
        schedulers : iterable of str
            Names of all schedulers, whatever their state.
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
            The first in rank that is not silent; a draining one only if there
            is no other; empty if none is left, so that the home goes on alone.
        """
        draining = ''
        for candidate in self._ranking.rank(shard):
            state = self._detector.get_state(candidate)
            if state in _USABLE:
                return candidate
            if state is PeerState.DRAINING:
                draining = draining or candidate
        return draining
