"""Scheduler of a node: decision cores of pools, and usage caps."""

import logging
from collections.abc import Callable
from typing import Final

from hornbeampulley import decisions
from hornbeampulley.clock import Clock
from hornbeampulley.configuration import Configuration
from hornbeampulley.logs import log_event
from hornbeampulley.node._cap_buckets import CapBuckets
from hornbeampulley.node._quarantines import PoolQuarantine, QuarantineStore
from hornbeampulley.node._scheduled_pools import ScheduledPool, StartShares
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._stream_binder import StreamBinder
from hornbeampulley.node._stream_binding import (
    find_longest_stream,
    make_unknown_refusal,
)
from hornbeampulley.node._stream_origins import StreamOrigin, StreamOrigins
from hornbeampulley.node._target_signals import SignalStore
from hornbeampulley.routing import CapSettings, RoutingTable, find_pool
from hornbeampulley.views import PoolState

IDLE_POOL_MS: Final = 20_000.0
QUARANTINED: Final = 'quarantined'
_log = logging.getLogger(__name__)

ActionSender = Callable[[str, decisions.Action], None]
"""Called with the incarnation of a home and an action for it."""


class Scheduling:
    """Schedules the requests that homes announce to this node.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    send : callable
        Sends an action to a home.
    caps : CapSettings, optional
        Initial fill and tolerance of usage caps.
    software_history : SoftwareHistory, optional
        Software versions of the targets; nothing is known if not given.

    Attributes
    ----------
    has_failed : bool
        Whether a core has failed, so that homes have to announce their
        requests again.
    quarantines : QuarantineStore
        Quarantined parts of prompts, by any scheduler.
    signals : SignalStore
        What targets have said of themselves.
    caps : CapBuckets
        Usage caps of workspaces.
    origins : StreamOrigins
        Software versions that began streams.
    streams : StreamBinder
        Binds requests that take up streams to software versions.
    start_shares : StartShares
        Part of the bounds on starts that this node may grant.
    """

    def __init__(
        self,
        clock: Clock,
        send: ActionSender,
        caps: CapSettings | None = None,
        software_history: SoftwareHistory | None = None,
    ) -> None:
        self.caps = CapBuckets(clock, caps)
        self.has_failed = False
        self.start_shares = StartShares()
        self.quarantines = QuarantineStore(clock)
        self.signals = SignalStore(clock)
        self.origins = StreamOrigins(clock)
        self.streams = StreamBinder(
            clock,
            self.origins,
            software_history or SoftwareHistory(clock),
            self._announce,
            self._refuse_unknown,
        )
        self._clock = clock
        self._send = send
        self._pools: dict[str, ScheduledPool] = {}
        self._pool_of_request: dict[str, str] = {}
        self._configuration: Configuration | None = None
        self._leaving: frozenset[str] = frozenset()
        self._table: RoutingTable | None = None

    @property
    def version(self) -> int:
        """Version of the routing table in force; 0 if there is none."""
        return self._table.version if self._table else 0

    @property
    def is_idle(self) -> bool:
        """Whether `tick` has nothing to do until the next message."""
        return not (
            self._pools
            or self.has_failed
            or self.caps.is_used
            or self.streams.is_waiting
        )

    @property
    def cores(self) -> dict[str, decisions.Core]:
        """Decision cores by name of the pool."""
        return {name: pool.core for name, pool in self._pools.items()}

    def list_pools(self) -> tuple[PoolState, ...]:
        """List the state of each pool that this node schedules.

        Returns
        -------
        tuple of PoolState
            Copies that do not change.
        """
        return tuple(core.describe() for core in self.cores.values())

    def configure(
        self,
        table: RoutingTable,
        configuration: Configuration,
        leaving: frozenset[str],
    ) -> None:
        """Apply a new configuration to all pools and usage caps.

        Parameters
        ----------
        table : RoutingTable
            Routing table in force.
        configuration : Configuration
            Configuration made from the table and the targets.
        leaving : frozenset of str
            Names of the targets that get no new requests.
        """
        self._table = table
        self._configuration = configuration
        self.start_shares.configure(configuration)
        self._leaving = leaving
        self.caps.configure(table)
        self.streams.longest_ms = find_longest_stream(table)
        for pool in tuple(self._pools.values()):
            self._configure_pool(pool)

    def handle_event(self, event: decisions.Event) -> None:
        """Handle an event of a home.

        Parameters
        ----------
        event : Event
            Reserve, Withdraw, Progress or Release.
        """
        if isinstance(event, decisions.Reserve):
            self.streams.bind(event)
            return
        request_id = event.request_id
        self.streams.withdraw(request_id)
        name = self._pool_of_request.get(request_id)
        if name is None:
            return
        if _is_final_event(event):
            self._pool_of_request.pop(request_id)
        self._handle(self._get_or_open_pool(name), event)

    def keep_origin(self, origin: StreamOrigin) -> None:
        """Keep where a stream began, for requests that take it up.

        Parameters
        ----------
        origin : StreamOrigin
            The stream and its software version.
        """
        self.origins.keep(origin)
        self.streams.finish_told(origin.stream)

    def _announce(self, reserve: decisions.Reserve) -> None:
        name = find_pool(reserve.service)
        self._pool_of_request[reserve.request_id] = name
        self._handle(self._get_or_open_pool(name), reserve)

    def _refuse_unknown(self, reserve: decisions.Reserve) -> None:
        pool = self._get_or_open_pool(find_pool(reserve.service))
        owned_ms = self._clock.now() - pool.opened_ms
        self._send(reserve.home, make_unknown_refusal(reserve, owned_ms))

    def handle_report(self, pool: str, event: decisions.Event) -> None:
        """Handle a report of a home about a target.

        Parameters
        ----------
        pool : str
            Pool of the target.
        event : Event
            LoadReport or TargetDown.
        """
        if pool in self._pools:
            self._handle(self._pools[pool], event)

    def apply_quarantine(self, quarantine: PoolQuarantine, source: str) -> None:
        """Apply the quarantine of a part that another node has told.

        Parameters
        ----------
        quarantine : PoolQuarantine
            The decision.
        source : str
            Incarnation of that node.
        """
        is_new = self.quarantines.keep(quarantine, source)
        pool = self._pools.get(quarantine.pool)
        if is_new and pool is not None:
            self._handle(pool, quarantine.decision)

    def apply_signals(self, signals: decisions.TargetSignals) -> None:
        """Apply what a target has newly said of itself.

        Parameters
        ----------
        signals : TargetSignals
            Signals that `signals` keeps already.
        """
        pool = self._pools.get(self.find_target_pool(signals.target))
        if pool is not None:
            self._apply_leaving(pool)
            self._handle(pool, signals)

    def apply_content_quarantine(self, fingerprint: int) -> None:
        """Apply the quarantine of a content that another node has told.

        Parameters
        ----------
        fingerprint : int
            Hash of the content.
        """
        self.quarantines.keep_content(fingerprint)
        for pool in tuple(self._pools.values()):
            self._handle(pool, decisions.Quarantine(fingerprint))

    def find_target_pool(self, target: str) -> str:
        """Return the pool of a target.

        Parameters
        ----------
        target : str
            Name of the target.

        Returns
        -------
        str
            Name of the pool; empty if the target is not known.
        """
        if self._configuration is None:
            return ''
        known = self._configuration.targets.get(target)
        return known.pool if known is not None else ''

    def remove_home(self, home: str) -> None:
        """Remove the requests of a home whose link has closed.

        Parameters
        ----------
        home : str
            Incarnation of the home.
        """
        self.streams.remove_home(home)
        prefix = f'{home}.'
        for request_id in tuple(self._pool_of_request):
            if request_id.startswith(prefix):
                self._pool_of_request.pop(request_id)
        for pool in tuple(self._pools.values()):
            self._handle(pool, decisions.HomeLost(home))

    def tick(self) -> None:
        """Process timers of all pools, and close pools that are not used."""
        self.caps.confirm()
        now_ms = self._clock.now()
        self.streams.refuse_expired()
        for name, pool in tuple(self._pools.items()):
            if pool.end_takeover(now_ms):
                self._handle(pool, decisions.TakeoverEnded())
            pool.record_tick(now_ms)
            self._update_share(pool)
            self._handle(pool, decisions.Tick())
            is_unused = now_ms - pool.used_ms > IDLE_POOL_MS
            if is_unused and name not in self._pool_of_request.values():
                self._pools.pop(name)

    def _get_or_open_pool(self, name: str) -> ScheduledPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = ScheduledPool(name, self._clock.now())
            self._pools[name] = pool
            log_event(_log, 'pool_opened', pool=name)
            self._configure_pool(pool)
            self._apply_quarantines(pool)
        pool.record_use(self._clock.now())
        if pool.is_resumed:
            self._update_share(pool)
        return pool

    def _apply_quarantines(self, pool: ScheduledPool) -> None:
        for known in tuple(self.quarantines.list_all(pool.name)):
            self._handle(pool, known.decision)
        for fingerprint in self.quarantines.contents:
            self._handle(pool, decisions.Quarantine(fingerprint))

    def _configure_pool(self, pool: ScheduledPool) -> None:
        if self._configuration is not None:
            self._handle(pool, decisions.Configure(self._configuration))
            self._update_share(pool, has_new_targets=True)
            self._apply_leaving(pool)
            for signals in tuple(self.signals.list_all()):
                if self.find_target_pool(signals.target) == pool.name:
                    self._handle(pool, signals)

    def _update_share(
        self, pool: ScheduledPool, *, has_new_targets: bool = False
    ) -> None:
        news = self.start_shares.find_news(
            pool, has_new_targets=has_new_targets
        )
        if news is not None:
            self._handle(pool, news)

    def _apply_leaving(self, pool: ScheduledPool) -> None:
        leaving = self._leaving | self.signals.list_leaving()
        self._handle(pool, decisions.TargetsLeaving(leaving))

    def _handle(self, pool: ScheduledPool, event: decisions.Event) -> None:
        try:
            actions = pool.core.handle(event, self._clock.now())
        except Exception:
            # This pool restarts from the announcements of the homes; the
            # other pools and the requests of this node are not affected.
            _log.exception('the scheduler of pool %s failed', pool.name)
            self._discard_pool(pool)
            return
        for action in actions:
            self._execute(pool, action)

    def _discard_pool(self, pool: ScheduledPool) -> None:
        self._pools.pop(pool.name, None)
        self._pool_of_request = {
            request_id: name
            for request_id, name in self._pool_of_request.items()
            if name != pool.name
        }
        self.has_failed = True

    def _execute(self, pool: ScheduledPool, action: decisions.Action) -> None:
        if isinstance(action, decisions.PartQuarantine):
            self.quarantines.decide(PoolQuarantine(pool.name, action))
            return
        if isinstance(action, decisions.Warn):
            log_event(
                _log,
                action.event,
                subject=action.subject,
                detail=action.detail or None,
            )
            if action.event == QUARANTINED:
                self.quarantines.decide_content(int(action.subject))
            return
        if isinstance(action, decisions.Refuse):
            self._pool_of_request.pop(action.request_id, None)
        self._send(action.home, action)


def _is_final_event(event: decisions.Event) -> bool:
    return isinstance(event, decisions.Release | decisions.Withdraw)
