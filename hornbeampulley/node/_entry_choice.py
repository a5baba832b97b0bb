"""Chooses the nodes whose addresses callers are told."""

from collections.abc import Iterable
from typing import Final

from hornbeampulley.membership import rank_owners
from hornbeampulley.node._membership import NodeAddress

# Of so few nodes all are told.
SMALL_DEPLOYMENT: Final = 16
# Callers in a zone are told of at least so many nodes, since many may be lost
# at once, and of nodes with this share of the zone's processor capacity.
MIN_ENTRIES: Final = 6
CAPACITY_SHARE: Final = 0.25


def choose_entries(
    nodes: Iterable[NodeAddress],
    availability_zone: str,
    limit: int,
) -> list[NodeAddress]:
    """Choose the entries for the callers of an availability zone.

    Few and strong nodes serve them with few connections to the targets, and
    with few links between the nodes.

    Parameters
    ----------
    nodes : iterable of NodeAddress
        Live nodes.
    availability_zone : str
        Zone of the callers; may be empty or unknown.
    limit : int
        Largest number of nodes.

    Returns
    -------
    list of NodeAddress
        Draining and suspected nodes are chosen only if there are no others.
    """
    usable = _prefer_usable(tuple(nodes))
    if len(usable) <= SMALL_DEPLOYMENT:
        return usable[:limit]
    ranked = _rank(usable, availability_zone)
    local = [
        one for one in ranked if one.availability_zone == availability_zone
    ]
    wanted = CAPACITY_SHARE * _sum_capacity(local or ranked)
    chosen: list[NodeAddress] = []
    for node in (local + [one for one in ranked if one not in local])[:limit]:
        if len(chosen) >= MIN_ENTRIES and _sum_capacity(chosen) >= wanted:
            break
        chosen.append(node)
    return chosen


def _prefer_usable(nodes: tuple[NodeAddress, ...]) -> list[NodeAddress]:
    serving = [node for node in nodes if not node.is_draining]
    trusted = [node for node in serving if not node.is_suspect]
    return trusted or serving or list(nodes)


def _rank(nodes: list[NodeAddress], key: str) -> list[NodeAddress]:
    """Order nodes by capacity, those of the same capacity alike everywhere."""
    ranked = rank_owners(key, (node.incarnation for node in nodes))
    places = {incarnation: place for place, incarnation in enumerate(ranked)}
    return sorted(
        nodes,
        key=lambda node: (-node.processor_capacity, places[node.incarnation]),
    )


def _sum_capacity(nodes: list[NodeAddress]) -> float:
    return sum(node.processor_capacity for node in nodes)
