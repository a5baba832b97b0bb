"""Splits pools into shards and ranks their owners by rendezvous hashing."""

import dataclasses
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

from hornbeampulley.configuration import Target

MAX_SHARD_TARGETS: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A part of a pool that one scheduler owns at a time.

    Attributes
    ----------
    name : str
        Name of the pool; if the pool is split, followed by the zones of the
        shard or by its zone and index.
    pool : str
        Name of the pool.
    targets : tuple of str
        Sorted names of its targets.
    """

    name: str
    pool: str
    targets: tuple[str, ...]


def rank_owners(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Rank candidates for a key.

    All processes that know the same candidates get the same order, and the
    loss of a candidate does not change the order of the others.

    Parameters
    ----------
    key : str
        Name of the thing to be owned, such as a shard.
    candidates : iterable of str
        Names of hosts or incarnations.

    Returns
    -------
    tuple of str
        The owner first, then its successors.
    """
    scores = {candidate: _score(key, candidate) for candidate in candidates}
    return tuple(sorted(scores, key=lambda name: (scores[name], name)))


class Ranking:
    """Caches the ranking of the candidates for each key."""

    def __init__(self) -> None:
        self._candidates: dict[str, int] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}

    def set_candidates(
        self,
        candidates: Iterable[str],
        classes: Mapping[str, int] | None = None,
    ) -> None:
        """Replace the candidates.

        Parameters
        ----------
        candidates : iterable of str
            Names of hosts or incarnations.
        classes : mapping of str to int, optional
            Class of each candidate; higher ones are ranked before lower ones.
        """
        classed = {name: (classes or {}).get(name, 0) for name in candidates}
        if classed != self._candidates:
            self._candidates = classed
            self._ranked = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Rank the candidates for a key.

        Parameters
        ----------
        key : str
            Name of the thing to be owned, such as a shard.

        Returns
        -------
        tuple of str
            The owner first, then its successors.
        """
        if key not in self._ranked:
            ranked = rank_owners(key, self._candidates)
            self._ranked[key] = tuple(sorted(ranked, key=self._order_class))
        return self._ranked[key]

    def _order_class(self, name: str) -> int:
        return -self._candidates[name]


def split_into_shards(targets: Iterable[Target]) -> tuple[Shard, ...]:
    """Split pools into shards, along availability zones where possible.

    Parameters
    ----------
    targets : iterable of Target
        Targets of any number of pools.

    Returns
    -------
    tuple of Shard
        Sorted by name. Each has at most ``MAX_SHARD_TARGETS`` targets; a pool
        that fits into one shard is not split.
    """
    pools: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        pools[target.pool].append(target)
    shards = [
        shard
        for pool, members in pools.items()
        for shard in _split_pool(pool, members)
    ]
    return tuple(sorted(shards, key=lambda shard: shard.name))


def _score(key: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode())


def _split_pool(pool: str, members: list[Target]) -> list[Shard]:
    if len(members) <= MAX_SHARD_TARGETS:
        return [_make_shard(pool, pool, members)]
    zones: dict[str, list[Target]] = defaultdict(list)
    for target in sorted(members, key=_get_name):
        zones[target.availability_zone].append(target)
    small = {
        zone: zones.pop(zone)
        for zone in sorted(zones)
        if len(zones[zone]) <= MAX_SHARD_TARGETS
    }
    shards = _merge_small_zones(pool, small)
    for zone, zone_targets in zones.items():
        shards.extend(_split_zone(pool, zone, zone_targets))
    return shards


def _merge_small_zones(
    pool: str, zones: dict[str, list[Target]]
) -> list[Shard]:
    groups: list[list[str]] = []
    for zone, zone_targets in zones.items():
        fitting = (
            group
            for group in groups
            if _count_targets(zones, group) + len(zone_targets)
            <= MAX_SHARD_TARGETS
        )
        group = next(fitting, None)
        if group is None:
            groups.append([zone])
        else:
            group.append(zone)
    return [
        _make_shard(
            f'{pool}/{"+".join(group)}',
            pool,
            [target for name in group for target in zones[name]],
        )
        for group in groups
    ]


def _count_targets(zones: dict[str, list[Target]], group: list[str]) -> int:
    return sum(len(zones[zone]) for zone in group)


def _split_zone(
    pool: str, zone: str, zone_targets: list[Target]
) -> list[Shard]:
    parts = math.ceil(len(zone_targets) / MAX_SHARD_TARGETS)
    return [
        _make_shard(f'{pool}/{zone}/{part}', pool, zone_targets[part::parts])
        for part in range(parts)
    ]


def _make_shard(name: str, pool: str, members: list[Target]) -> Shard:
    return Shard(name, pool, tuple(sorted(map(_get_name, members))))


def _get_name(target: Target) -> str:
    return target.name
