"""Where a home sends its events: a scheduler, or its own core when alone."""

from collections.abc import Callable, Iterable
from typing import Final, Protocol

from hornbeampulley import decisions, wire
from hornbeampulley.configuration import Configuration
from hornbeampulley.pipeline._shares import take_share

ALONE_AFTER_MS: Final = 3000.0
_SEED: Final = 1


class OpenRequests(Protocol):
    """What a channel needs of its home."""

    def list_reserves(self, pool: str) -> Iterable[decisions.Reserve]:
        """List an event for each open request of a pool."""

    def act(self, action: decisions.Action) -> None:
        """Carry out an action."""


class PoolChannel:
    """Carries the events of one pool to whoever schedules it now.

    Without a link, events are dropped: the next scheduler is told of all open
    requests. After `ALONE_AFTER_MS` without one, a core of this process hands
    out leases within this home's share of each target.

    Parameters
    ----------
    pool : str
        Name of the pool.
    requests : OpenRequests
        The home's open requests.
    clock : Callable
        Returns the current time in ms.
    """

    def __init__(
        self,
        pool: str,
        requests: OpenRequests,
        read_now: Callable[[], float],
    ) -> None:
        self.link: wire.Link | None = None
        self._pool = pool
        self._requests = requests
        self._read_now = read_now
        self._core: decisions.Policy | None = None
        self._lost_ms = read_now()

    @property
    def is_alone(self) -> bool:
        """Whether this process hands out the leases itself."""
        return self._core is not None

    def send(self, event: decisions.Event) -> None:
        """Pass an event on.

        Parameters
        ----------
        event : Event
            Reserve, Withdraw, Progress or Release.
        """
        if self.link is not None:
            self.link.send(self._convert(event))
        elif self._core is not None:
            self._handle(event)

    def attach(self, link: wire.Link) -> None:
        """Use a new link and announce all open requests on it.

        Parameters
        ----------
        link : Link
            To the scheduler.
        """
        self._core = None
        self.link = link
        for event in self._requests.list_reserves(self._pool):
            link.send(self._convert(event))

    def detach(self, link: wire.Link) -> None:
        """Stop using a link that has closed.

        Parameters
        ----------
        link : Link
            The link.
        """
        if self.link is link:
            self.link = None
            self._lost_ms = self._read_now()

    def tick(
        self,
        configuration: Configuration,
        leaving: frozenset[str],
        entry_count: int,
    ) -> None:
        """Go on alone if no scheduler was reached for long.

        Parameters
        ----------
        configuration : Configuration
            In force.
        leaving : frozenset of str
            Targets that get no new work.
        entry_count : int
            Entries that are believed to live, this one included.
        """
        if self.link is not None:
            return
        if self._core is not None:
            self._handle(decisions.TargetsLeaving(leaving))
            self._handle(decisions.Tick())
        elif self._read_now() - self._lost_ms >= ALONE_AFTER_MS:
            self._start_core(take_share(configuration, entry_count), leaving)

    def _start_core(
        self,
        configuration: Configuration,
        leaving: frozenset[str],
    ) -> None:
        self._core = decisions.policies.find('hornbeam')(self._pool, _SEED)
        self._handle(decisions.Configure(configuration))
        self._handle(decisions.TargetsLeaving(leaving))
        for event in tuple(self._requests.list_reserves(self._pool)):
            self._handle(event)

    def _handle(self, event: decisions.Event) -> None:
        for action in self._core.handle(event, self._read_now()):
            self._requests.act(action)

    def _convert(self, event: decisions.Event) -> object:
        if isinstance(event, decisions.Reserve):
            return wire.write_reserve(event, self._pool, self._read_now())
        return wire.write_event(event)
