"""Reports that processes send to operators, encoded as JSON."""

import dataclasses
import json
from typing import Any

from hornbeampulley.errors import HornbeamError, WireError
from hornbeampulley.views import PoolState, TargetView


class QueryError(HornbeamError):
    """A process could not answer a query."""


class NoReplyError(QueryError):
    """A process ended or stopped responding before it replied."""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketReport:
    """A change ticket in force at a process.

    Attributes
    ----------
    scope : str
        Part of the configuration that the ticket replaces.
    number : int
        Its number.
    age_ms : float or None
        Time since it was last confirmed to be the newest, in ms; None if it
        never was.
    """

    scope: str
    number: int
    age_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """A process listed in the directory of an agent.

    Attributes
    ----------
    host, address : str
        Name and address of its host.
    role, incarnation : str
        Kind of the process and name of this run of it.
    peer_port : int
        Port on which it listens for peers.
    """

    host: str
    address: str
    role: str
    incarnation: str
    peer_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessReport:
    """State of a process.

    Attributes
    ----------
    host, address, availability_zone : str
        Name, address and availability zone of its host.
    role, incarnation : str
        Kind of the process and name of this run of it.
    draining : bool
        Whether it is shutting down.
    load : int
        Number of open requests of an entry, of pools of a scheduler or of
        processes linked to an agent.
    tickets : tuple of TicketReport
        Change tickets in force, sorted by scope.
    pools : tuple of PoolState
        Pools that a scheduler owns now.
    conflicts : tuple of str
        Conflicts that an agent found: different tickets with the same number.
    members : tuple of MemberReport
        Live processes in the directory of an agent.
    """

    host: str
    address: str
    availability_zone: str
    role: str
    incarnation: str
    draining: bool
    load: int
    tickets: tuple[TicketReport, ...] = ()
    pools: tuple[PoolState, ...] = ()
    conflicts: tuple[str, ...] = ()
    members: tuple[MemberReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """State of a request, as one process knows it.

    Attributes
    ----------
    host, role, incarnation : str
        Host, kind and incarnation of the process.
    state : str
        From the home entry: ``waiting``, ``dispatched``, ``done``,
        ``unknown`` or ``refused``; empty if the process does not hold the id.
    ran : str
        From the home entry, whether the request ran: ``no``, ``yes`` or
        ``unknown``; empty from other processes.
    target : str
        Target that runs the request now; empty if none does.
    decisions : tuple of str
        From a scheduler: its decisions on the request, oldest first.
    """

    host: str
    role: str
    incarnation: str
    state: str = ''
    ran: str = ''
    target: str = ''
    decisions: tuple[str, ...] = ()


def write_report(report: Any) -> str:
    """Encode a report as JSON.

    Parameters
    ----------
    report : ProcessReport or RequestReport
        The report.

    Returns
    -------
    str
        JSON text.
    """
    return json.dumps(dataclasses.asdict(report))


def write_error(message: str) -> str:
    """Encode the error that replaces the answer to a query.

    Parameters
    ----------
    message : str
        Reason and remedy.

    Returns
    -------
    str
        JSON text.
    """
    return json.dumps({'error': message})


def read_process_report(text: str) -> ProcessReport:
    """Decode the report of a process.

    Parameters
    ----------
    text : str
        JSON text from ``write_report``.

    Returns
    -------
    ProcessReport
        The decoded report.

    Raises
    ------
    QueryError
        If the process replied with an error.
    WireError
        If the text is neither a report nor an error.
    """
    content = _decode(text)
    try:
        return ProcessReport(
            **{
                **content,
                'tickets': _read_all(TicketReport, content['tickets']),
                'pools': tuple(map(_read_pool, content['pools'])),
                'conflicts': tuple(content['conflicts']),
                'members': _read_all(MemberReport, content['members']),
            },
        )
    except (KeyError, TypeError) as error:
        raise _make_version_error(error) from error


def read_request_report(text: str) -> RequestReport:
    """Decode the report on a request.

    Parameters
    ----------
    text : str
        JSON text from ``write_report``.

    Returns
    -------
    RequestReport
        The decoded report.

    Raises
    ------
    QueryError
        If the process replied with an error.
    WireError
        If the text is neither a report nor an error.
    """
    content = _decode(text)
    try:
        decisions = tuple(content['decisions'])
        return RequestReport(**{**content, 'decisions': decisions})
    except (KeyError, TypeError) as error:
        raise _make_version_error(error) from error


def _decode(text: str) -> dict[str, Any]:
    try:
        content = json.loads(text)
    except ValueError as error:
        raise _make_version_error(error) from error
    if not isinstance(content, dict):
        raise _make_version_error(content)
    if 'error' in content:
        raise QueryError(content['error'])
    return content


def _read_pool(content: dict[str, Any]) -> PoolState:
    targets = _read_all(TargetView, content['targets'])
    return PoolState(**{**content, 'targets': targets})


def _read_all(kind: type[Any], entries: list[dict[str, Any]]) -> Any:
    return tuple(kind(**entry) for entry in entries)


def _make_version_error(problem: object) -> WireError:
    return WireError(
        f'the reply is not of this version ({problem!r}); use the command '
        'line of the version that the process runs',
    )
