"""What the functions for operators return and raise."""

import dataclasses
import pathlib

from returns.result import Result, Success

from hornbeampulley import wire
from hornbeampulley.errors import Fault, HornbeamError
from hornbeampulley.membership import Role, Ticket


class NotReachedError(HornbeamError):
    """A process could not be asked."""


class UnreadableFileError(HornbeamError):
    """A file cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketCheck:
    """A file that was checked.

    Attributes
    ----------
    path : pathlib.Path
        The file.
    outcome : Result
        The ticket, or a tuple of every ``Fault``.
    """

    path: pathlib.Path
    outcome: Result[Ticket, tuple[Fault, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReport:
    """Files that were checked together.

    Attributes
    ----------
    checks : tuple of TicketCheck
        In the order of the files.
    warnings : tuple of Fault
        Names that point to nothing in the other files, and scopes that
        stand in two; none if there is only one file.
    """

    checks: tuple[TicketCheck, ...]
    warnings: tuple[Fault, ...] = ()

    @property
    def is_good(self) -> bool:
        """Whether no file has a fault."""
        return all(isinstance(check.outcome, Success) for check in self.checks)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a daemon listens for peers.

    Attributes
    ----------
    role : Role
        Which daemon.
    address : str
        Address of its host.
    port : int
        Its peer port.
    """

    role: Role
    address: str
    port: int

    def __str__(self) -> str:
        """Return the place as text."""
        return f'{self.role.value} at {self.address}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Unreached:
    """A process that did not answer.

    Attributes
    ----------
    place : str
        Role, address and port.
    problem : str
        What happened and the remedy.
    """

    place: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of several processes.

    Attributes
    ----------
    processes : tuple of ProcessReport
        Those that answered, in order of address.
    unreached : tuple of Unreached
        Those that did not.
    """

    processes: tuple[wire.ProcessReport, ...]
    unreached: tuple[Unreached, ...] = ()

    @property
    def is_good(self) -> bool:
        """Whether all answered and none knows of a conflict."""
        conflicts = any(process.conflicts for process in self.processes)
        return not (self.unreached or conflicts)


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the fleet knows of a request.

    Attributes
    ----------
    request_id : str
        Its id.
    home : RequestReport or None
        The word of its home; None if the home is gone.
    schedulers : tuple of RequestReport
        The words of the schedulers that decided about it.
    unreached : tuple of Unreached
        Processes that did not answer.
    """

    request_id: str
    home: wire.RequestReport | None
    schedulers: tuple[wire.RequestReport, ...]
    unreached: tuple[Unreached, ...] = ()

    @property
    def is_known(self) -> bool:
        """Whether a process knows of the request."""
        return bool(self.schedulers or (self.home and self.home.state))


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A process that was asked to drain.

    Attributes
    ----------
    place : str
        Role, address and port.
    incarnation : str
        Which run of it.
    is_gone : bool
        Whether it ended within the time given.
    """

    place: str
    incarnation: str
    is_gone: bool
