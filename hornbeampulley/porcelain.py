"""Functions for operators, as called by the command line."""

import pathlib
from collections.abc import Iterable
from typing import Final

import trio
from returns.result import Failure, Result, Success

from hornbeampulley._porcelain_kinds import (
    CheckReport,
    DrainResult,
    Explanation,
    Status,
    TicketCheck,
    UnreachableError,
    UnreachableProcess,
    UnreadableFileError,
)
from hornbeampulley._porcelain_queries import DAEMONS, DaemonClient
from hornbeampulley.errors import Fault, TicketError
from hornbeampulley.identity import RequestId
from hornbeampulley.membership import (
    Role,
    Ticket,
    check_references,
    parse_ticket,
)
from hornbeampulley.settings import Settings
from hornbeampulley.timeline import Timeline, merge_logs

_REMEDY: Final = 'name a file that this user may read'

__all__ = (
    'DAEMONS',
    'CheckReport',
    'DrainResult',
    'Explanation',
    'Status',
    'TicketCheck',
    'UnreachableError',
    'UnreachableProcess',
    'UnreadableFileError',
    'check_tickets',
    'drain_process',
    'explain_request',
    'merge_log_files',
    'read_status',
)


def check_tickets(paths: Iterable[pathlib.Path | str]) -> CheckReport:
    """Check files that contain one change ticket each.

    Parameters
    ----------
    paths : iterable of pathlib.Path or str
        Paths of the files.

    Returns
    -------
    CheckReport
        Result of each file, with all faults.
    """
    checks = tuple(_check_file(pathlib.Path(path)) for path in paths)
    if len(checks) < 2:
        return CheckReport(checks)
    return CheckReport(checks, _list_warnings(checks))


def read_status(settings: Settings, all_hosts: bool = False) -> Status:
    """Query daemons for their state.

    Parameters
    ----------
    settings : Settings
        Settings of this host.
    all_hosts : bool
        Whether to query every host that this host's agent knows.

    Returns
    -------
    Status
        State of this host's daemons, or of those of all hosts.
    """
    return trio.run(DaemonClient(settings).read_status, all_hosts)


def explain_request(settings: Settings, request_id: str) -> Explanation:
    """Explain why a request waited, ran or was refused.

    Parameters
    ----------
    settings : Settings
        Settings of this host.
    request_id : str
        Id of the request.

    Returns
    -------
    Explanation
        Reports of its home (the entry that dispatches it) and of the
        schedulers.

    Raises
    ------
    RequestIdError
        If the id is malformed.
    UnreachableError
        If this host's agent cannot be queried for the other processes.
    """
    parsed = RequestId.parse(request_id)
    return trio.run(DaemonClient(settings).explain, parsed)


def drain_process(
    settings: Settings, role: Role, timeout_ms: float
) -> DrainResult:
    """Drain a daemon of this host: it finishes its work and exits.

    Parameters
    ----------
    settings : Settings
        Settings of this host.
    role : Role
        Kind of daemon.
    timeout_ms : float
        Maximum time to wait for it to exit, in ms.

    Returns
    -------
    DrainResult
        Whether it has exited.

    Raises
    ------
    UnreachableError
        If the daemon cannot be reached.
    """
    return trio.run(DaemonClient(settings).drain, role, timeout_ms)


def merge_log_files(
    paths: Iterable[pathlib.Path | str],
    request_id: str = '',
) -> Timeline:
    """Merge log files into one timeline in causal order.

    Parameters
    ----------
    paths : iterable of pathlib.Path or str
        Paths of log files of daemons.
    request_id : str
        Id of the request to filter by; empty for all events.

    Returns
    -------
    Timeline
        The merged events.

    Raises
    ------
    UnreadableFileError
        If a file cannot be read.
    """
    logs = [_read_lines(pathlib.Path(path)) for path in paths]
    line = merge_logs(logs)
    return line.filter_request(request_id) if request_id else line


def _list_warnings(checks: Iterable[TicketCheck]) -> tuple[Fault, ...]:
    tickets: dict[str, Ticket] = {}
    duplicates = []
    for check in checks:
        if isinstance(check.outcome, Success):
            ticket = check.outcome.unwrap()
            if tickets.setdefault(ticket.scope, ticket) is not ticket:
                duplicates.append(_make_duplicate_warning(check.path, ticket))
    return (*duplicates, *check_references(tickets.values()))


def _make_duplicate_warning(path: pathlib.Path, ticket: Ticket) -> Fault:
    return Fault(
        str(path),
        f'another file holds scope {ticket.scope} too',
        'check one ticket of each scope at a time',
    )


def _check_file(path: pathlib.Path) -> TicketCheck:
    try:
        text = path.read_bytes()
    except OSError as error:
        fault = Fault('the file', f'cannot be read ({error.strerror})', _REMEDY)
        return TicketCheck(path, Failure((fault,)))
    return TicketCheck(path, _check_text(text))


def _check_text(text: bytes) -> Result[Ticket, tuple[Fault, ...]]:
    try:
        return Success(parse_ticket(text))
    except TicketError as error:
        return Failure(error.faults)


def _read_lines(path: pathlib.Path) -> list[str]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        raise UnreadableFileError(
            f'{path} cannot be read ({error.strerror}); {_REMEDY}',
        ) from error
    return text.splitlines()
