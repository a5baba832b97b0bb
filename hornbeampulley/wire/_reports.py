"""What a process says of itself to operators, as JSON."""

import dataclasses
import json
from typing import Any

from hornbeampulley.errors import HornbeamError, WireError
from hornbeampulley.views import PoolState, TargetView


class QueryError(HornbeamError):
    """A process could not answer a query."""


class NoReplyError(QueryError):
    """A process ended or went silent before it replied."""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketReport:
    """A change ticket in force at a process.

    Attributes
    ----------
    scope : str
        What it replaces.
    number : int
        Its number.
    age_ms : float or None
        Time since it was last known to be the newest; None if it never was.
    """

    scope: str
    number: int
    age_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """A process in the directory of an agent.

    Attributes
    ----------
    host, address : str
        Where it runs.
    role, incarnation : str
        What it is.
    peer_port : int
        Where it listens for peers.
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
        Where it runs.
    role, incarnation : str
        What it is.
    draining : bool
        Whether it shuts down.
    load : int
        Open requests of an entry, pools of a scheduler, processes linked to
        an agent.
    tickets : tuple of TicketReport
        In force, in order of their scopes.
    pools : tuple of PoolState
        Those that a scheduler owns now.
    conflicts : tuple of str
        Tickets of one number that differ, as an agent found them.
    members : tuple of MemberReport
        An agent's directory of processes that live.
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
    """What a process knows of a request.

    Attributes
    ----------
    host, role, incarnation : str
        The process.
    state : str
        Of the home: ``waiting``, ``dispatched``, ``done``, ``unknown`` or
        ``refused``; empty if the process does not hold the id.
    ran : str
        Of the home: ``no``, ``yes`` or ``unknown``; empty elsewhere.
    target : str
        Target that runs it now; empty if none does.
    decisions : tuple of str
        Decisions of a scheduler, the oldest first.
    """

    host: str
    role: str
    incarnation: str
    state: str = ''
    ran: str = ''
    target: str = ''
    decisions: tuple[str, ...] = ()


def write_report(report: Any) -> str:
    """Encode a report.

    Parameters
    ----------
    report : ProcessReport or RequestReport
        The report.

    Returns
    -------
    str
        JSON.
    """
    return json.dumps(dataclasses.asdict(report))


def write_error(message: str) -> str:
    """Encode the reason for which a query is not answered.

    Parameters
    ----------
    message : str
        The reason and the remedy.

    Returns
    -------
    str
        JSON.
    """
    return json.dumps({'error': message})


def read_process_report(text: str) -> ProcessReport:
    """Decode the state of a process.

    Parameters
    ----------
    text : str
        From ``write_report``.

    Returns
    -------
    ProcessReport
        The same report.

    Raises
    ------
    QueryError
        If the process sent an error instead.
    WireError
        If the text is something else.
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
    """Decode what a process knows of a request.

    Parameters
    ----------
    text : str
        From ``write_report``.

    Returns
    -------
    RequestReport
        The same report.

    Raises
    ------
    QueryError
        If the process sent an error instead.
    WireError
        If the text is something else.
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
