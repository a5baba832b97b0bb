"""Handles the messages that nodes exchange on links."""

import logging
from collections.abc import Callable
from typing import Any, Final

from hornbeampulley import decisions
from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.node._host_share import HostShare
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._lease_client import LeaseClient
from hornbeampulley.node._quarantines import PoolQuarantine
from hornbeampulley.node._relayed_items import (
    ItemWriter,
    read_position,
    read_relayed_item,
    write_position,
)
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._stream_origin_messages import (
    read_stream_origins,
    write_stream_origins,
)
from hornbeampulley.node._usage_cap_client import UsageCapClient
from hornbeampulley.wire import Link
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    read_action,
    read_event,
    read_part_quarantine,
    read_target_signals,
    write_action,
    write_part_quarantine,
    write_target_signals,
)

MAX_ITEMS: Final = 200
MAX_ORIGINS: Final = 1000
_log = logging.getLogger(__name__)


class PeerMessageHandler:
    """Dispatches messages to lease client, scheduler and store view.

    Parameters
    ----------
    scheduling : Scheduling
        Scheduler of this node.
    store_view : StoreView
        Routing table and targets.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    on_ready : callable
        Called when a link opened by this node is ready.
    on_work : callable
        Called before a message that may give the scheduler work.
    on_items_sent : callable
        Called with the incarnation of a peer that has sent all its newer items.
    """

    def __init__(
        self,
        scheduling: Scheduling,
        store_view: StoreView,
        clock: Clock,
    ) -> None:
        self.lease_client: LeaseClient | None = None
        self.caps: UsageCapClient | None = None
        self.host_share: HostShare | None = None
        self.on_ready: Callable[[], None] = _do_nothing
        self.on_work: Callable[[], None] = _do_nothing
        self.on_items_sent: Callable[[str], None] = _ignore
        self._scheduling = scheduling
        self._store_view = store_view
        self._clock = clock
        self._homes: dict[str, Link] = {}
        self._replaced: set[Link] = set()
        self._item_writer = ItemWriter()
        scheduling.quarantines.on_change = self._broadcast
        scheduling.quarantines.on_content = self._broadcast_content

    def receive(self, link: Link, message: Any) -> None:
        """Handle a message of a peer.

        Parameters
        ----------
        link : Link
            Link to the peer.
        message : thrift struct
            Received message.
        """
        peer = link.peer.incarnation
        match message:
            case ttypes.Hello():
                self._register_home(link, peer)
            case ttypes.Heartbeat():
                return
            case ttypes.Lease() | ttypes.Refuse() | ttypes.Preempt():
                self.lease_client.handle_action(
                    read_action(message, self.lease_client.own_incarnation),
                    peer,
                )
            case ttypes.Grant():
                self.caps.handle_grant(message)
            case ttypes.StoredItems():
                self._apply_items(message, peer)
            case (
                ttypes.Quarantine()
                | ttypes.PartQuarantine()
                | ttypes.TargetSignals()
                | ttypes.StreamOrigins()
            ):
                self._apply_news(message, peer)
            case _:
                self.on_work()
                self._serve(link, message)

    def on_link_ready(self, link: Link) -> None:
        """Move requests to a scheduler whose link has become ready.

        Parameters
        ----------
        link : Link
            Link that this node has opened to a scheduler.
        """
        # An owner that has not met the parts that crash targets, or the targets
        # that leave, learns them; and where streams began.
        self._send_known(link)
        self._send_origins(link)
        self.lease_client.handle_link_ready()
        self.on_ready()

    def on_link_lost(self, link: Link) -> None:
        """Handle the loss of a link to a home or to a scheduler.

        The requests of a lost home are removed; those announced to a lost
        scheduler are announced to its successor.

        Parameters
        ----------
        link : Link
            Link opened by either side.
        """
        if link.peer is None:
            return
        peer = link.peer.incarnation
        if self._homes.get(peer) is link:
            self._homes.pop(peer)
            if self.host_share is not None:
                self.host_share.remove_home(peer)
            self._scheduling.remove_home(peer)
        elif link not in self._replaced:
            self.lease_client.handle_scheduler_lost(peer)
        self._replaced.discard(link)

    def send_action(self, home: str, action: decisions.Action) -> None:
        """Send a decision of this node's scheduler to a home.

        Parameters
        ----------
        home : str
            Incarnation of the home.
        action : Action
            Decision about one of its requests.
        """
        if home == self.lease_client.own_incarnation:
            self.lease_client.handle_action(action, home)
            return
        link = self._homes.get(home)
        if link is not None:
            link.send(write_action(action))

    def recover(self) -> None:
        """Make all homes announce their requests again after a core failed.

        The links of the homes are closed, which leads to new announcements.
        """
        if not self._scheduling.has_failed:
            return
        self._scheduling.has_failed = False
        for link in tuple(self._homes.values()):
            link.close()
        self.lease_client.handle_scheduler_lost(
            self.lease_client.own_incarnation
        )

    def request_items(
        self, link: Link, position: Position | None = None
    ) -> None:
        """Request the store items of a peer that this node has not read.

        Parameters
        ----------
        link : Link
            Link to the peer.
        position : Position, optional
            Position after which items are requested, in place of the current
            one.
        """
        link.send(write_position(position or self._store_view.position))

    def _register_home(self, link: Link, peer: str) -> None:
        """Register the link of a home and discard the state of an older one.

        A home announces all its requests again on a new link.
        """
        old = self._homes.get(peer)
        if old is not None:
            self._replaced.add(old)
            self._scheduling.remove_home(peer)
            old.close()
        self._homes[peer] = link
        if self.host_share is not None:
            self.host_share.add_home(peer)
        self._send_known(link)

    def _apply_news(self, message: Any, peer: str) -> None:
        match message:
            case ttypes.Quarantine():
                fingerprint = int(message.fingerprint)
                self._scheduling.apply_content_quarantine(fingerprint)
            case ttypes.PartQuarantine():
                decision = read_part_quarantine(message)
                self._scheduling.apply_quarantine(
                    PoolQuarantine(message.pool, decision), peer
                )
            case ttypes.TargetSignals():
                self._apply_signals(message, peer)
            case ttypes.StreamOrigins():
                for origin in read_stream_origins(message):
                    self._scheduling.keep_origin(origin)

    def _apply_signals(self, message: ttypes.TargetSignals, peer: str) -> None:
        told = read_target_signals(message)
        signals = self._scheduling.signals.keep(told, peer)
        if signals is not None:
            self._scheduling.apply_signals(signals)
            self.send_to_homes(write_target_signals(signals))

    def _send_known(self, link: Link) -> None:
        """Tell a peer what holds for all: quarantines and signals of targets."""
        for signals in self._scheduling.signals.list_all():
            link.send(write_target_signals(signals))
        for known in tuple(self._scheduling.quarantines.list_all()):
            link.send(write_part_quarantine(known.pool, known.decision))
        for fingerprint in self._scheduling.quarantines.contents:
            link.send(ttypes.Quarantine(fingerprint))

    def _send_origins(self, link: Link) -> None:
        origins = tuple(self._scheduling.origins.list_all())
        for start in range(0, len(origins), MAX_ORIGINS):
            batch = origins[start : start + MAX_ORIGINS]
            link.send(write_stream_origins(batch))

    def send_to_homes(self, message: Any) -> None:
        """Send a message to all homes that have a link to this scheduler.

        Parameters
        ----------
        message : thrift struct
            The message.
        """
        for link in self._homes.values():
            link.send(message)

    def _broadcast_content(self, fingerprint: int) -> None:
        self.send_to_homes(ttypes.Quarantine(fingerprint))

    def _broadcast(self, quarantine: PoolQuarantine) -> None:
        """Tell all homes of a quarantine that this node has decided."""
        self.send_to_homes(
            write_part_quarantine(quarantine.pool, quarantine.decision)
        )

    def _serve(self, link: Link, message: Any) -> None:
        """Handle a message from a home to the scheduler of this node."""
        home = link.peer.incarnation
        now_ms = self._clock.now()
        match message:
            case (
                ttypes.Reserve()
                | ttypes.Withdraw()
                | ttypes.Progress()
                | ttypes.Release()
            ):
                self._scheduling.handle_event(read_event(message, home, now_ms))
            case ttypes.TargetReport():
                self.lease_client.handle_report(message)
            case ttypes.Draw():
                wait_ms = self._scheduling.caps.draw(
                    message.workspace,
                    message.units,
                )
                link.send(ttypes.Grant(message.number, wait_ms))
            case ttypes.Refund():
                self._scheduling.caps.refund(message.workspace, message.units)
            case ttypes.Position():
                self._send_items(link, message)

    def _send_items(self, link: Link, message: ttypes.Position) -> None:
        position = read_position(message)
        if position == Position():
            # A host that has just started answers requests after this.
            self._send_origins(link)
        newer = tuple(self._store_view.list_newer(position))
        for start in range(0, len(newer), MAX_ITEMS):
            batch = newer[start : start + MAX_ITEMS]
            items = [self._item_writer.write(item) for item in batch]
            link.send(ttypes.StoredItems(0, items, 0))
        own = write_position(self._store_view.position)
        link.send(
            ttypes.StoredItems(own.revision, [], own.routing_version, own)
        )

    def _apply_items(self, message: ttypes.StoredItems, peer: str) -> None:
        items = tuple(read_relayed_item(item) for item in message.items)
        log_event(
            _log,
            'items_received',
            peer=peer,
            count=len(items),
            revision=message.revision,
        )
        self._store_view.apply_relayed_items(items)
        if message.position is not None:
            self._store_view.advance_position(read_position(message.position))
            self.on_items_sent(peer)


def _do_nothing() -> None:
    """Default of `PeerMessageHandler.on_ready`."""


def _ignore(_peer: str) -> None:
    """Default of `PeerMessageHandler.on_items_sent`."""
