"""The node: construction and wiring of its parts, and periodic work."""

import functools
import logging
import os
import random
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.decisions import Action, TargetSignals
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import (
    ConnectionPool,
    Handler,
    MessageLimits,
    Reply,
    Request,
    ServerOptions,
    serve_http,
)
from hornbeampulley.logs import log_event
from hornbeampulley.membership import HostRecord
from hornbeampulley.node._adapters import Adapter, Identity
from hornbeampulley.node._calls import Call
from hornbeampulley.node._client_limits import ClientLimits
from hornbeampulley.node._counters import Counters
from hornbeampulley.node._endpoints import (
    DirectoryEndpoint,
    MetricsEndpoint,
    ReadinessEndpoint,
)
from hornbeampulley.node._filters import answer_call
from hornbeampulley.node._following import StoreFollower
from hornbeampulley.node._gossip import Gossip
from hornbeampulley.node._home import Home
from hornbeampulley.node._host_records import make_host_record, make_member
from hornbeampulley.node._host_share import HostShare
from hornbeampulley.node._lease_client import LeaseClient
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._mesh import Mesh, serve_peers
from hornbeampulley.node._owners import OwnerFinder
from hornbeampulley.node._peers import PeerMessageHandler
from hornbeampulley.node._repeating import Ticker
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._sending import Sender
from hornbeampulley.node._settings import RECEIVE_BUFFER_BYTES, NodeSettings
from hornbeampulley.node._start_limits import limit_starts
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._usage_cap_client import UsageCapClient
from hornbeampulley.node._version_check import VersionCheck
from hornbeampulley.routing import (
    CapSettings,
    HostRetryBudget,
    RetrySettings,
    make_configuration,
)
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import write_target_signals

RESOLVE_TTL_MS: Final = 2000
ROLE: Final = 'node'
_log = logging.getLogger(__name__)


class Node:
    """Creates and connects the parts of one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    identity : Identity
        Identity of this run.
    adapter : Adapter
        Adapter for the platform.
    nursery : trio.Nursery
        Runs the tasks of the node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: Identity,
        adapter: Adapter,
        nursery: trio.Nursery,
    ) -> None:
        self.settings = settings
        self.clock = Clock(trio.current_time)
        self.counters = Counters()
        self.client_limits = ClientLimits(settings, self.counters)
        self._identity = identity
        self._nursery = nursery
        self._generator = random.Random(identity.incarnation)
        self.store_view = StoreView(
            adapter.decoder,
            self.clock,
            has_evacuations=settings.bounds.evacuate_ms > 0,
        )
        evacuations = self.store_view.evacuations
        if evacuations.is_enabled:
            self.counters.watch_evacuated(lambda: len(evacuations.zones))
        self.membership = Membership(
            self._make_host_record(),
            self.clock,
            self._generator,
        )
        self.mesh = Mesh(
            self.membership,
            self._make_hello,
            self.clock,
            nursery,
            self.client_limits.admission,
        )
        self._build_scheduling()
        self._build_follower(adapter)
        self.home = self._build_home(adapter)
        self.options = self.client_limits.make_options(
            self._answer,
            settings.bounds.max_caller_connections,
            self._get_limits,
            RECEIVE_BUFFER_BYTES,
        )
        self._configured_changes = -1
        self._ticker = Ticker(
            self._tick, self._sweep, self._is_idle, self.clock
        )
        self._message_handler.on_work = self._ticker.wake
        self.store_view.on_change = self._follow_store

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests."""
        return (
            self.store_view.table is not None
            and self.store_view.is_complete
            and not self.membership.is_draining
        )

    def start(self) -> None:
        """Start all tasks."""
        listen = self.settings.listen
        start = self._nursery.start_soon
        start(self.gossip.run)
        self.follower.start(self._nursery)
        if self._has_peers():
            self.follower.peer_sync.start()
        start(serve_peers, self.mesh, listen.peers)
        start(self._ticker.run)
        self._serve(listen.callers, self.options)
        self._serve_endpoints()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        The seeds take effect at once. The node keeps listening on the
        addresses that it was started with.

        Parameters
        ----------
        settings : NodeSettings
            The new settings.
        """
        self.settings = settings
        self.gossip.seeds = settings.peers.seeds
        log_event(
            _log,
            'settings_taken',
            seeds=','.join(str(seed) for seed in settings.peers.seeds),
        )

    def _serve_endpoints(self) -> None:
        listen = self.settings.listen
        ttl_ms = min(self.settings.bounds.resolve_ttl_ms, RESOLVE_TTL_MS)
        ttl_s = to_seconds(ttl_ms)
        directory = DirectoryEndpoint(
            self.membership,
            ttl_s,
            self.home.dialect,
        )
        readiness = ReadinessEndpoint(lambda: self.is_ready)
        bounds = self.settings.bounds
        self._serve_endpoint(
            listen.directory,
            directory.answer,
            bounds.max_directory_connections,
        )
        self._serve_endpoint(
            listen.readiness, readiness.answer, bounds.max_probe_connections
        )
        if listen.metrics_port:
            metrics = MetricsEndpoint(
                self.counters, self._count_open, self.store_view.freshness
            )
            endpoint = Endpoint(self.settings.host.address, listen.metrics_port)
            self._serve_endpoint(
                endpoint, metrics.answer, bounds.max_probe_connections
            )

    def _build_scheduling(self) -> None:
        bounds = self.settings.bounds
        self.scheduling = Scheduling(
            self.clock,
            self._send_action,
            CapSettings(
                overage=bounds.cap_overage,
                slack=bounds.cap_slack,
                window_ms=bounds.cap_window_ms,
            ),
            self.store_view.software_history,
        )
        self.counters.watch_targets(self.scheduling.list_pools)
        self._message_handler = PeerMessageHandler(
            self.scheduling, self.store_view, self.clock
        )
        self._host_share = HostShare(self.membership, self.clock)
        self._message_handler.host_share = self._host_share
        self.scheduling.start_shares.find_share = self._host_share.compute
        self.scheduling.start_shares.phase = self._generator.random()
        self.mesh.handler = self._message_handler
        owners = OwnerFinder(self.membership, self.mesh, self.clock)
        self.lease_client = LeaseClient(
            owners,
            self.mesh,
            self.scheduling,
            self.clock,
        )
        self.caps = UsageCapClient(
            self.membership,
            owners,
            self.mesh,
            self.scheduling,
            self._host_share,
            self.clock,
        )
        self._message_handler.lease_client = self.lease_client
        self._message_handler.caps = self.caps

    def _build_follower(self, adapter: Adapter) -> None:
        store = adapter.make_store(self.settings.store.address, self.clock)
        self.version_check = VersionCheck(
            store,
            self.store_view,
            adapter.decoder,
            self.clock,
            self._nursery,
        )
        streams = self.scheduling.streams
        self.version_check.on_checked = streams.finish_check
        streams.request_check = self.version_check.request
        self.follower = StoreFollower(
            store,
            self.store_view,
            self.membership,
            self.mesh,
            self._message_handler.request_items,
            self.clock,
            self._generator,
        )
        handler = self._message_handler
        handler.on_ready = self.follower.fetch_newer
        handler.on_items_sent = self.follower.peer_sync.record_answer
        self.gossip = Gossip(
            self.membership,
            self.store_view,
            self.follower.positions,
            Endpoint(
                self.settings.host.address,
                self.settings.listen.gossip_port,
            ),
            self.clock,
            self._generator,
        )
        self.gossip.seeds = self.settings.peers.seeds

    def _build_home(self, adapter: Adapter) -> Home:
        bounds = self.settings.bounds
        self.connections = ConnectionPool(
            self.clock,
            on_open=self.counters.count_connection,
        )
        sender = Sender(
            self.connections,
            self.store_view,
            adapter.dialect,
            self.clock,
            self.scheduling.signals,
            self.lease_client.report_target,
            self._spread_signals,
        )
        retries = HostRetryBudget(
            RetrySettings(
                bounds.retry_ratio,
                bounds.retry_window_ms,
                bounds.retry_slack,
            ),
            self._host_share.count_known,
        )
        return Home(
            self.store_view,
            self.lease_client,
            self.caps,
            sender,
            adapter.dialect,
            retries,
            self.counters,
        )

    def _has_peers(self) -> bool:
        own = self.settings.host.address
        return any(seed.address != own for seed in self.settings.peers.seeds)

    def _make_host_record(self) -> HostRecord:
        host = self.settings.host
        listen = self.settings.listen
        member = make_member(
            self._identity.incarnation,
            listen.callers.port,
            listen.peers.port,
        )
        return make_host_record(
            host.name,
            host.availability_zone,
            host.region,
            member,
            host.address,
            self._identity.started_ms,
            self.settings.resources.processor_capacity,
        )

    def _make_hello(self) -> ttypes.Hello:
        host = self.settings.host
        listen = self.settings.listen
        return ttypes.Hello(
            role=ROLE,
            host=host.name,
            incarnation=self._identity.incarnation,
            availability_zone=host.availability_zone,
            address=host.address,
            caller_port=listen.callers.port,
            peer_port=listen.peers.port,
            process_number=os.getpid(),
        )

    def _send_action(self, home: str, action: Action) -> None:
        self._message_handler.send_action(home, action)

    def _spread_signals(self, signals: TargetSignals) -> None:
        """Apply what a target has said of itself, and tell it to others."""
        self.scheduling.apply_signals(signals)
        self.lease_client.report_signals(signals)
        self._message_handler.send_to_homes(write_target_signals(signals))

    def _serve(self, endpoint: Endpoint, options: ServerOptions) -> None:
        self._nursery.start_soon(
            functools.partial(
                serve_http,
                endpoint.address,
                endpoint.port,
                options,
            ),
        )

    def _serve_endpoint(
        self, endpoint: Endpoint, handle: Handler, max_connections: int
    ) -> None:
        options = self.client_limits.make_options(handle, max_connections)
        self._serve(endpoint, options)

    def _get_limits(self) -> MessageLimits:
        table = self.store_view.table
        return MessageLimits() if table is None else table.limits

    def _count_open(self) -> int:
        return self.lease_client.open_count

    async def _answer(self, request: Request, reply: Reply) -> None:
        self._ticker.wake()
        metadata = self.home.dialect.read_call(request)
        call = Call(
            request,
            metadata,
            reply,
            self.clock.now(),
            buffer=self.client_limits.buffers.open(),
        )
        try:
            await answer_call(self.home, call)
        finally:
            call.buffer.close()

    def _tick(self) -> None:
        self.store_view.apply_overdue_removals()
        self._configure()
        self.scheduling.tick()
        self._message_handler.recover()
        self.lease_client.update_owners()

    def _is_idle(self) -> bool:
        return (
            self.scheduling.is_idle
            and self.lease_client.is_idle
            and not self.store_view.holds_removals
        )

    def _sweep(self) -> None:
        self.connections.close_stale()
        self.client_limits.buffers.reclaim_stalled()
        self.store_view.sweep()
        self.store_view.evacuations.warn_of_unknown_zones(
            self.membership.live, self.store_view.targets.records.values()
        )
        self.scheduling.origins.sweep()
        self.mesh.sweep()
        self.follower.sweep()

    def _follow_store(self) -> None:
        self._ticker.wake()
        self._configure()
        self.gossip.announce()

    def _configure(self) -> None:
        """Configure the scheduler if routing or targets have changed."""
        store_view = self.store_view
        if (
            store_view.table is None
            or store_view.changes == self._configured_changes
        ):
            return
        self._configured_changes = store_view.changes
        records = store_view.targets.records
        self.scheduling.signals.drop_old_runs(records)
        self.scheduling.configure(
            store_view.table,
            limit_starts(
                make_configuration(store_view.table, records.values()),
                store_view,
                self.settings.bounds,
            ),
            store_view.list_closed(),
        )
