"""Results and errors of the functions for operators."""

import dataclasses
import pathlib

from returns.result import Result, Success

from hornbeampulley import wire
from hornbeampulley.errors import Fault, HornbeamError
from hornbeampulley.membership import Role, Ticket


class UnreachableError(HornbeamError):
    """A process could not be queried."""


class UnreadableFileError(HornbeamError):
    """A file cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketCheck:
    """Result of checking one change-ticket file.

    Attributes
    ----------
    path : pathlib.Path
        The file.
    outcome : Result
        The parsed ticket, or a tuple of every ``Fault``.
    """

    path: pathlib.Path
    outcome: Result[Ticket, tuple[Fault, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReport:
    """Results of change-ticket files that were checked together.

    Attributes
    ----------
    checks : tuple of TicketCheck
        In the order of the files.
    warnings : tuple of Fault
        Names that none of the files defines, and scopes that more than one
        file contains; empty if only one file was checked.
    """

    checks: tuple[TicketCheck, ...]
    warnings: tuple[Fault, ...] = ()

    @property
    def is_good(self) -> bool:
        """Whether no file has a fault; warnings do not count."""
        return all(isinstance(check.outcome, Success) for check in self.checks)


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonEndpoint:
    """Peer endpoint of a daemon.

    Attributes
    ----------
    role : Role
        Kind of daemon.
    address : str
        IP address of its host.
    port : int
        Peer port.
    """

    role: Role
    address: str
    port: int

    def __str__(self) -> str:
        """Return role, address and port as text."""
        return f'{self.role.value} at {self.address}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachableProcess:
    """A process that did not answer.

    Attributes
    ----------
    place : str
        Role, address and port.
    problem : str
        What went wrong and the remedy.
    """

    place: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of several processes.

    Attributes
    ----------
    processes : tuple of ProcessReport
        Reports of the processes that answered, by address and role.
    unreached : tuple of UnreachableProcess
        Processes that did not answer.
    """

    processes: tuple[wire.ProcessReport, ...]
    unreached: tuple[UnreachableProcess, ...] = ()

    @property
    def is_good(self) -> bool:
        """Whether all processes answered and none reports a conflict."""
        conflicts = any(process.conflicts for process in self.processes)
        return not (self.unreached or conflicts)


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Reports of the daemons on one request.

    Attributes
    ----------
    request_id : str
        Id of the request.
    home : RequestReport or None
        Report of its home, the entry that dispatches it; None if the home
        does not answer or no longer runs.
    schedulers : tuple of RequestReport
        Reports of the schedulers that made decisions on it.
    unreached : tuple of UnreachableProcess
        Processes that did not answer.
    """

    request_id: str
    home: wire.RequestReport | None
    schedulers: tuple[wire.RequestReport, ...]
    unreached: tuple[UnreachableProcess, ...] = ()

    @property
    def is_known(self) -> bool:
        """Whether any process has a record of the request."""
        return bool(self.schedulers or (self.home and self.home.state))


@dataclasses.dataclass(frozen=True, slots=True)
class DrainResult:
    """Result of draining a process.

    Attributes
    ----------
    place : str
        Role, address and port.
    incarnation : str
        Incarnation: the run of the process that was asked to drain.
    is_gone : bool
        Whether the process ended within the timeout.
    """

    place: str
    incarnation: str
    is_gone: bool
