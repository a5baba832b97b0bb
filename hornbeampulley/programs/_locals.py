"""Processes on the host of an agent, and the views sent to them."""

import dataclasses
import logging
import os
from collections.abc import Iterable
from typing import Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import Clock
from hornbeampulley.logs import log_event
from hornbeampulley.membership import HostRecord, Member, Role, Ticket
from hornbeampulley.wire.generated.peer import ttypes

# Time for which the end of a process is reported to other hosts.
ENDED_RETENTION_MS: Final = 120_000.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalView:
    """Fleet state that the agent sends to the processes of its host.

    Attributes
    ----------
    tickets : tuple of Ticket
        Tickets in force.
    hosts : tuple of HostRecord
        Live hosts.
    leaving : frozenset of str
        Targets that get no new work.
    listed : frozenset of str
        Addresses that may connect to processes of this host.
    fresh_age_ms : float
        Time since the configuration service confirmed the ticket that was
        confirmed longest ago, in ms.
    is_ready : bool
        Whether the agent has asked its peers for tickets since its start.
    """

    tickets: tuple[Ticket, ...]
    hosts: tuple[HostRecord, ...]
    leaving: frozenset[str]
    listed: frozenset[str]
    fresh_age_ms: float
    is_ready: bool


class LocalProcess:
    """A process of this host that is linked to the agent.

    Parameters
    ----------
    link : Link
        Link to the process, after its hello.

    Attributes
    ----------
    heartbeat : ttypes.Heartbeat
        Last heartbeat received.
    """

    def __init__(self, link: wire.Link) -> None:
        self.link = link
        self.heartbeat = ttypes.Heartbeat()
        self._last_sent: LocalView | None = None

    @property
    def incarnation(self) -> str:
        """Incarnation of the process."""
        return self.link.peer.incarnation

    def to_member(self) -> Member:
        """Return the directory entry of the process for other hosts."""
        hello = self.link.peer
        return Member(
            Role(hello.role),
            hello.incarnation,
            hello.caller_port or 0,
            hello.peer_port or 0,
            self.heartbeat.load or 0,
            bool(self.heartbeat.draining),
        )

    def send_view(self, view: LocalView) -> None:
        """Send a view to the process, without the parts already sent.

        Parameters
        ----------
        view : LocalView
            Current view. Nothing is sent while it is not ready: the process
            keeps using the view that an earlier run of the agent sent.
        """
        if not view.is_ready:
            return
        last_sent = self._last_sent or LocalView(
            (), (), frozenset(), frozenset(), 0, False
        )
        message = ttypes.View(
            fresh_age_ms=view.fresh_age_ms,
            ready=view.is_ready,
        )
        sent_ids = set(map(id, last_sent.tickets))
        message.tickets = [
            ttypes.TicketText(ticket.scope, ticket.text)
            for ticket in view.tickets
            if id(ticket) not in sent_ids
        ]
        if view.hosts != last_sent.hosts:
            message.hosts = [wire.write_record(record) for record in view.hosts]
        if view.leaving != last_sent.leaving:
            message.leaving = sorted(view.leaving)
        if view.listed != last_sent.listed:
            message.listed = sorted(view.listed)
        self._last_sent = view
        self.link.send(message)


class LocalProcesses:
    """All processes of this host that are linked to the agent."""

    def __init__(self) -> None:
        self._clock = Clock(trio.current_time)
        self._processes: dict[str, LocalProcess] = {}
        self._ended: dict[str, float] = {}
        self._watched: set[str] = set()

    def add(self, link: wire.Link) -> LocalProcess:
        """Add a process after its hello.

        Parameters
        ----------
        link : Link
            Link to the process.

        Returns
        -------
        LocalProcess
            The added process.
        """
        process = LocalProcess(link)
        self._processes[process.incarnation] = process
        return process

    def remove(self, link: wire.Link) -> bool:
        """Remove the process whose link has closed.

        Parameters
        ----------
        link : Link
            The closed link.

        Returns
        -------
        bool
            Whether a process used this link.
        """
        for incarnation, process in self._processes.items():
            if process.link is link:
                self._processes.pop(incarnation)
                return True
        return False

    def record_heartbeat(
        self, link: wire.Link, heartbeat: ttypes.Heartbeat
    ) -> None:
        """Store the last heartbeat of a process.

        Parameters
        ----------
        link : Link
            Link to the process.
        heartbeat : ttypes.Heartbeat
            Heartbeat received over the link.
        """
        process = self._processes.get(link.peer.incarnation)
        if process is not None:
            process.heartbeat = heartbeat

    def list_members(self) -> tuple[Member, ...]:
        """List the linked processes.

        Returns
        -------
        tuple of Member
            Processes whose links are open.
        """
        return tuple(
            process.to_member() for process in self._processes.values()
        )

    def list_ended(self) -> tuple[str, ...]:
        """List the processes whose recent end is certain.

        Returns
        -------
        tuple of str
            Incarnations of the processes.
        """
        limit_ms = self._clock.now() - ENDED_RETENTION_MS
        self._ended = {
            incarnation: ended_ms
            for incarnation, ended_ms in self._ended.items()
            if ended_ms > limit_ms
        }
        return tuple(self._ended)

    def send_view(self, view: LocalView) -> None:
        """Send a view to all linked processes.

        Parameters
        ----------
        view : LocalView
            Current view.
        """
        for process in self._processes.values():
            process.send_view(view)

    async def wait_exit(self, incarnation: str, number: int) -> bool:
        """Wait for the end of a process of this host.

        A closed link does not prove the end of a process: the process itself
        may have closed it.

        Parameters
        ----------
        incarnation : str
            Incarnation of the process.
        number : int
            Process id (PID) of the process.

        Returns
        -------
        bool
            False if the process is already watched or cannot be watched.
        """
        if incarnation in self._watched:
            return False
        try:
            handle = os.pidfd_open(number)
        except OSError:
            return False
        self._watched.add(incarnation)
        try:
            await trio.lowlevel.wait_readable(handle)
        finally:
            os.close(handle)
        self._watched.discard(incarnation)
        self._ended[incarnation] = self._clock.now()
        log_event(_log, 'process_gone', subject=incarnation)
        return True


def find_oldest_age(ages_ms: Iterable[float]) -> float:
    """Return the age of the ticket that was confirmed longest ago.

    Parameters
    ----------
    ages_ms : iterable of float
        Time since each ticket was confirmed, in ms.

    Returns
    -------
    float
        Age in ms; 0 if there is no ticket.
    """
    return max(ages_ms, default=0)
