"""Client of a home for the nodes that own the usage caps."""

import itertools
import logging
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.node._host_share import HostShare
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._mesh import Mesh
from hornbeampulley.node._owners import OwnerFinder
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.routing import (
    CapSettings,
    TokenBucket,
    UsageCap,
    take_part,
)
from hornbeampulley.wire import Link
from hornbeampulley.wire.generated.peer import ttypes

GRANT_TIMEOUT_MS: Final = 150.0
OWNER_POLL_MS: Final = 5.0
HOSTS_PER_GROUP: Final = 32
# Small, since all hosts may lose the owner of a cap at the same time and then
# each start a bucket of their own.
LOCAL_START_SHARE: Final = 0.2
_log = logging.getLogger(__name__)


class UsageCapClient:
    """Draws on the token buckets of workspaces.

    The workspaces are divided into groups, and one node owns the buckets of a
    group; it grants the part of a cap of the hosts that it reaches. While the
    owner does not answer, this node uses a local bucket with its own part.

    Parameters
    ----------
    membership : Membership
        Number of live nodes.
    owners : OwnerFinder
        Finds the owner of a group.
    mesh : Mesh
        Links to the other nodes.
    scheduling : Scheduling
        Holds the buckets that this node owns.
    host_share : HostShare
        Part of the hosts that this node acts for.
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self,
        membership: Membership,
        owners: OwnerFinder,
        mesh: Mesh,
        scheduling: Scheduling,
        host_share: HostShare,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._finder = owners
        self._mesh = mesh
        self._scheduling = scheduling
        self._host_share = host_share
        self._clock = clock
        scheduling.caps.find_share = self._find_share
        scheduling.caps.is_owner = self._is_owner
        self._numbers = itertools.count()
        self._pending_draws: dict[int, trio.Event] = {}
        self._grants: dict[int, float] = {}
        self._local_buckets: dict[str, TokenBucket] = {}

    @property
    def own_incarnation(self) -> str:
        """Incarnation of this node."""
        return self._membership.incarnation

    async def draw(self, workspace: str, cap: UsageCap, units: float) -> float:
        """Draw on the usage cap of a workspace.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        cap : UsageCap
            Configured cap.
        units : float
            Units that the request uses.

        Returns
        -------
        float
            0 if granted, otherwise the time in ms until the draw can succeed.
        """
        owner = await self._wait_for_owner(workspace)
        if owner == self.own_incarnation:
            return self._scheduling.caps.draw(workspace, units)
        link = self._mesh.get_link(owner) if owner else None
        if link is not None:
            wait_ms = await self._request_draw(link, workspace, units)
            if wait_ms is not None:
                return wait_ms
        log_event(_log, 'cap_owner_lost', workspace=workspace, owner=owner)
        return self._draw_locally(workspace, cap, units)

    def refund(self, workspace: str, units: float) -> None:
        """Refund the units of a request that never ran.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        units : float
            Units that the request had drawn.
        """
        owner = self._finder.find(self._make_key(workspace))
        if owner == self.own_incarnation:
            self._scheduling.caps.refund(workspace, units)
            return
        link = self._mesh.get_link(owner) if owner else None
        if link is not None:
            link.send(ttypes.Refund(workspace, units))

    def handle_grant(self, message: ttypes.Grant) -> None:
        """Handle the answer of an owner to a draw.

        Parameters
        ----------
        message : ttypes.Grant
            Received answer.
        """
        event = self._pending_draws.pop(message.number, None)
        if event is not None:
            self._grants[message.number] = float(message.wait_ms)
            event.set()

    def _find_share(self, workspace: str) -> float:
        """Return the part of a cap that this node may grant as its owner."""
        return self._host_share.compute(self._make_key(workspace))

    def _is_owner(self, workspace: str) -> bool:
        owner = self._finder.find(self._make_key(workspace))
        return owner == self.own_incarnation

    def _make_key(self, workspace: str) -> str:
        groups = len(self._membership.live) // HOSTS_PER_GROUP + 1
        return f'caps/{sum(workspace.encode()) % groups}'

    async def _wait_for_owner(self, workspace: str) -> str | None:
        key = self._make_key(workspace)
        owner = self._finder.use(key)
        with trio.move_on_after(to_seconds(GRANT_TIMEOUT_MS)):
            while owner is None:
                await trio.sleep(to_seconds(OWNER_POLL_MS))
                owner = self._finder.find(key)
        return owner

    async def _request_draw(
        self,
        link: Link,
        workspace: str,
        units: float,
    ) -> float | None:
        number = next(self._numbers)
        event = trio.Event()
        self._pending_draws[number] = event
        link.send(ttypes.Draw(number, workspace, units))
        with trio.move_on_after(to_seconds(GRANT_TIMEOUT_MS)):
            await event.wait()
        self._pending_draws.pop(number, None)
        return self._grants.pop(number, None)

    def _draw_locally(
        self, workspace: str, cap: UsageCap, units: float
    ) -> float:
        now_ms = self._clock.now()
        part = take_part(cap, 1 / max(self._host_share.count_known(), 1))
        if workspace not in self._local_buckets:
            start = CapSettings(start_share=LOCAL_START_SHARE)
            self._local_buckets[workspace] = TokenBucket(part, now_ms, start)
        bucket = self._local_buckets[workspace]
        bucket.set_cap(part, now_ms, least_size=min(units, cap.burst))
        return bucket.draw(units, now_ms)
