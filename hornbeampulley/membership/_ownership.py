"""Which scheduler owns which shard now."""

import dataclasses
from collections.abc import Iterable

from hornbeampulley.membership._liveness import FailureDetector, PeerState
from hornbeampulley.membership._rendezvous import rank_owners


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


class Ownership:
    """The shards of one scheduler.

    Parameters
    ----------
    own : str
        Name of this scheduler.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._shards: frozenset[str] = frozenset()
        self._owned: set[str] = set()
        self._is_draining = False

    @property
    def owned(self) -> frozenset[str]:
        """Names of the shards owned now."""
        return frozenset(self._owned)

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
        return tuple(HandedOver(shard, '') for shard in gone)

    def drain(self) -> None:
        """Leave the ranking; ``update`` then hands all shards over."""
        self._is_draining = True

    def update(self, usable: Iterable[str]) -> tuple[Transfer, ...]:
        """Take and hand over shards as the view of the peers says.

        Parameters
        ----------
        usable : iterable of str
            The other schedulers that are neither dead nor draining.

        Returns
        -------
        tuple of Transfer
            What changed. A draining scheduler without a successor keeps its
            shards until it ends.
        """
        candidates = set(usable) - {self._own}
        if not self._is_draining or not candidates:
            candidates.add(self._own)
        transfers: list[Transfer] = []
        for shard in sorted(self._shards):
            owner = rank_owners(shard, candidates)[0]
            transfers.extend(self._settle(shard, owner))
        return tuple(transfers)

    def hear_claim(self, shard: str, claimant: str) -> tuple[Transfer, ...]:
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
        return self._settle(shard, claimant)

    def _settle(self, shard: str, owner: str) -> tuple[Transfer, ...]:
        if owner == self._own:
            if shard in self._owned:
                return ()
            self._owned.add(shard)
            return (Acquired(shard),)
        if shard not in self._owned:
            return ()
        self._owned.discard(shard)
        return (HandedOver(shard, owner),)


def choose_scheduler(shard: str, detector: FailureDetector) -> str:
    """Choose the scheduler that a home asks for leases.

    Parameters
    ----------
    shard : str
        Name of the shard.
    detector : FailureDetector
        The home's own view of the schedulers.

    Returns
    -------
    str
        The first in rank that is not silent; a draining one only if there is
        no other; empty if none is left, so that the home goes on alone.
    """
    usable = detector.list_usable()
    draining = detector.list_peers(PeerState.DRAINING)
    ranked = rank_owners(shard, usable) or rank_owners(shard, draining)
    return ranked[0] if ranked else ''
