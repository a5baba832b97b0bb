"""The processes of an agent's host: who they are and what they are told."""

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

KEEP_ENDED_MS: Final = 120_000.0
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalView:
    """All that the processes of a host are told.

    Attributes
    ----------
    tickets : tuple of Ticket
        In force.
    hosts : tuple of HostRecord
        Hosts that live.
    leaving : frozenset of str
        Targets that get no new work.
    listed : frozenset of str
        Addresses that may connect.
    fresh_age_ms : float
        Age of the oldest confirmation of a ticket by the service.
    is_ready : bool
        Whether peers have been asked since the agent's start.
    """

    tickets: tuple[Ticket, ...]
    hosts: tuple[HostRecord, ...]
    leaving: frozenset[str]
    listed: frozenset[str]
    fresh_age_ms: float
    is_ready: bool


class LocalProcess:
    """One process of this host, linked to the agent.

    Parameters
    ----------
    link : Link
        Its hello has come.

    Attributes
    ----------
    heartbeat : ttypes.Heartbeat
        The last one heard.
    """

    def __init__(self, link: wire.Link) -> None:
        self.link = link
        self.heartbeat = ttypes.Heartbeat()
        self._told: LocalView | None = None

    @property
    def incarnation(self) -> str:
        """Incarnation of the process."""
        return self.link.peer.incarnation

    def to_member(self) -> Member:
        """Return what other hosts are told of the process."""
        hello = self.link.peer
        return Member(
            Role(hello.role),
            hello.incarnation,
            hello.caller_port or 0,
            hello.peer_port or 0,
            self.heartbeat.load or 0,
            bool(self.heartbeat.draining),
        )

    def tell(self, view: LocalView) -> None:
        """Send a view, leaving out what the process knows already.

        Parameters
        ----------
        view : LocalView
            The view now. While it is not ready, nothing is sent: the process
            goes on with what an earlier agent told it.
        """
        if not view.is_ready:
            return
        told = self._told or LocalView(
            (), (), frozenset(), frozenset(), 0, False
        )
        message = ttypes.View(
            fresh_age_ms=view.fresh_age_ms,
            ready=view.is_ready,
        )
        known = set(map(id, told.tickets))
        message.tickets = [
            ttypes.TicketText(ticket.scope, ticket.text)
            for ticket in view.tickets
            if id(ticket) not in known
        ]
        if view.hosts != told.hosts:
            message.hosts = [wire.write_record(record) for record in view.hosts]
        if view.leaving != told.leaving:
            message.leaving = sorted(view.leaving)
        if view.listed != told.listed:
            message.listed = sorted(view.listed)
        self._told = view
        self.link.send(message)


class LocalProcesses:
    """All processes of this host that are linked to the agent."""

    def __init__(self) -> None:
        self._clock = Clock(trio.current_time)
        self._processes: dict[str, LocalProcess] = {}
        self._ended: dict[str, float] = {}
        self._watched: set[str] = set()

    def add(self, link: wire.Link) -> LocalProcess:
        """Take in a process whose hello has come.

        Parameters
        ----------
        link : Link
            To the process.

        Returns
        -------
        LocalProcess
            The process.
        """
        process = LocalProcess(link)
        self._processes[process.incarnation] = process
        return process

    def remove(self, link: wire.Link) -> bool:
        """Forget a process whose link has closed.

        Parameters
        ----------
        link : Link
            The link.

        Returns
        -------
        bool
            Whether it was linked here.
        """
        for incarnation, process in self._processes.items():
            if process.link is link:
                self._processes.pop(incarnation)
                return True
        return False

    def hear(self, link: wire.Link, heartbeat: ttypes.Heartbeat) -> None:
        """Take a heartbeat.

        Parameters
        ----------
        link : Link
            To the process.
        heartbeat : ttypes.Heartbeat
            As received.
        """
        process = self._processes.get(link.peer.incarnation)
        if process is not None:
            process.heartbeat = heartbeat

    def list_members(self) -> tuple[Member, ...]:
        """List the processes.

        Returns
        -------
        tuple of Member
            Those whose links are open.
        """
        return tuple(
            process.to_member() for process in self._processes.values()
        )

    def list_ended(self) -> tuple[str, ...]:
        """List the processes that have ended lately, for certain.

        Returns
        -------
        tuple of str
            Their incarnations.
        """
        limit_ms = self._clock.now() - KEEP_ENDED_MS
        self._ended = {
            incarnation: ended_ms
            for incarnation, ended_ms in self._ended.items()
            if ended_ms > limit_ms
        }
        return tuple(self._ended)

    def tell(self, view: LocalView) -> None:
        """Tell all processes.

        Parameters
        ----------
        view : LocalView
            The view now.
        """
        for process in self._processes.values():
            process.tell(view)

    async def wait_end(self, incarnation: str, number: int) -> bool:
        """Wait for the end of a process of this host.

        A closed link proves nothing, since its process may have closed it.

        Parameters
        ----------
        incarnation : str
            Incarnation of the process.
        number : int
            Its process number.

        Returns
        -------
        bool
            False if it is watched already or cannot be.
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
        One a ticket.

    Returns
    -------
    float
        0 if there is no ticket.
    """
    return max(ages_ms, default=0)
