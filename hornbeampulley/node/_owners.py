"""Finds the node that owns a pool or a group of usage caps."""

from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._mesh import Mesh

# Candidates tried, in the order of their ranks, before this node takes over.
MAX_CANDIDATES: Final = 12
STANDBYS: Final = 1
# Other hosts that know where the streams of a pool began, so that most hosts may
# be lost at once; fewer where the messages for it would add up.
KEEPERS: Final = 7
MANY_HOSTS: Final = 200
KEEPERS_OF_MANY: Final = 3
# Time for which a link that is being opened is waited for.
LINK_WAIT_MS: Final = 150.0
# Owners of keys that were not used for this long are not linked to.
USED_MS: Final = 10_000.0


class OwnerFinder:
    """Finds the first-ranked node that can be reached.

    Links are opened only to the owners of keys that are in use, and to one
    node that would take over.

    Parameters
    ----------
    membership : Membership
        Ranks the candidates.
    mesh : Mesh
        Links to the other nodes.
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self, membership: Membership, mesh: Mesh, clock: Clock
    ) -> None:
        self._membership = membership
        self._mesh = mesh
        self._clock = clock
        self._used_ms: dict[str, float] = {}

    @property
    def own_incarnation(self) -> str:
        """Incarnation of this node."""
        return self._membership.incarnation

    @property
    def is_used(self) -> bool:
        """Whether links are kept to the owner of any key."""
        return bool(self._used_ms)

    def use(self, key: str) -> str | None:
        """Find the owner of a key and keep a link to it from now on.

        Parameters
        ----------
        key : str
            Key of the owned object.

        Returns
        -------
        str or None
            Incarnation of the owner; None while a link to a candidate that
            may own it is being opened.
        """
        self._used_ms[key] = self._clock.now()
        return self.find(key)

    def find(self, key: str) -> str | None:
        """Find the owner of a key.

        Parameters
        ----------
        key : str
            Key of the owned object.

        Returns
        -------
        str or None
            As of `use`.
        """
        for candidate in self._membership.rank_owners(key)[:MAX_CANDIDATES]:
            if candidate == self.own_incarnation:
                return candidate
            if self._mesh.get_link(candidate) is not None:
                return candidate
            if self._mesh.is_opening(candidate, LINK_WAIT_MS):
                return None
        return self.own_incarnation

    def list_keepers(self, key: str) -> list[str]:
        """List the other nodes that would own a key, one after the other.

        Parameters
        ----------
        key : str
            Key of the owned object.

        Returns
        -------
        list of str
            Incarnations of the owner and the next ones.
        """
        is_large = len(self._membership.live) > MANY_HOSTS
        count = KEEPERS_OF_MANY if is_large else KEEPERS
        ranked = self._membership.rank_owners(key)[: count + 1]
        return [one for one in ranked if one != self.own_incarnation][:count]

    def keep_links(self) -> None:
        """Keep links to owners and standbys of the keys in use."""
        limit_ms = self._clock.now() - USED_MS
        for key, used_ms in tuple(self._used_ms.items()):
            if used_ms < limit_ms:
                self._used_ms.pop(key)
                continue
            self.find(key)
            ranked = self._membership.rank_owners(key)
            for candidate in ranked[: STANDBYS + 1]:
                if candidate != self.own_incarnation:
                    self._mesh.get_link(candidate)
