"""What operators can do, as plain functions; the command line calls these."""

import pathlib
from collections.abc import Iterable
from typing import Final

import trio
from returns.result import Failure, Result, Success

from hornbeampulley._porcelain_kinds import (
    CheckReport,
    Drain,
    Explanation,
    NotReachedError,
    Status,
    TicketCheck,
    Unreached,
    UnreadableFileError,
)
from hornbeampulley._porcelain_queries import DAEMONS, Asker
from hornbeampulley.errors import Fault, TicketError
from hornbeampulley.identity import RequestId
from hornbeampulley.membership import (
    Role,
    Ticket,
    check_references,
    parse_ticket,
)
from hornbeampulley.settings import Settings
from hornbeampulley.timeline import TimeLine, merge_logs

_REMEDY: Final = 'name a file that this user may read'

__all__ = (
    'DAEMONS',
    'CheckReport',
    'Drain',
    'Explanation',
    'NotReachedError',
    'Status',
    'TicketCheck',
    'UnreadableFileError',
    'Unreached',
    'check_tickets',
    'drain_process',
    'explain_request',
    'merge_time_lines',
    'read_status',
)


def check_tickets(paths: Iterable[pathlib.Path | str]) -> CheckReport:
    """Check files that hold a change ticket each.

    Parameters
    ----------
    paths : iterable of pathlib.Path or str
        The files.

    Returns
    -------
    CheckReport
        With every fault.
    """
    checks = tuple(_check_file(pathlib.Path(path)) for path in paths)
    if len(checks) < 2:
        return CheckReport(checks)
    return CheckReport(checks, _warn(checks))


def read_status(settings: Settings, all_hosts: bool = False) -> Status:
    """Ask processes for their state.

    Parameters
    ----------
    settings : Settings
        Of this host.
    all_hosts : bool
        Whether to ask every host that this host's agent knows.

    Returns
    -------
    Status
        Of this host's daemons, or of all.
    """
    return trio.run(Asker(settings).read_status, all_hosts)


def explain_request(settings: Settings, request_id: str) -> Explanation:
    """Ask why a request waited, ran or was refused.

    Parameters
    ----------
    settings : Settings
        Of this host.
    request_id : str
        Id of the request.

    Returns
    -------
    Explanation
        The words of its home and of the schedulers.

    Raises
    ------
    RequestIdError
        If the id is malformed.
    NotReachedError
        If this host's agent cannot be asked who else there is.
    """
    parsed = RequestId.parse(request_id)
    return trio.run(Asker(settings).explain, parsed)


def drain_process(settings: Settings, role: Role, timeout_ms: float) -> Drain:
    """Let a daemon of this host finish its work and end.

    Parameters
    ----------
    settings : Settings
        Of this host.
    role : Role
        Which daemon.
    timeout_ms : float
        Longest time to wait for its end.

    Returns
    -------
    Drain
        Whether it has ended.

    Raises
    ------
    NotReachedError
        If it cannot be asked.
    """
    return trio.run(Asker(settings).drain, role, timeout_ms)


def merge_time_lines(
    paths: Iterable[pathlib.Path | str],
    request_id: str = '',
) -> TimeLine:
    """Merge logs in causal order.

    Parameters
    ----------
    paths : iterable of pathlib.Path or str
        Logs of daemons.
    request_id : str
        Leaves only the events of this request; empty for all.

    Returns
    -------
    TimeLine
        The events.

    Raises
    ------
    UnreadableFileError
        If a file cannot be read.
    """
    logs = [_read_lines(pathlib.Path(path)) for path in paths]
    line = merge_logs(logs)
    return line.filter_request(request_id) if request_id else line


def _warn(checks: Iterable[TicketCheck]) -> tuple[Fault, ...]:
    tickets: dict[str, Ticket] = {}
    twice = []
    for check in checks:
        if isinstance(check.outcome, Success):
            ticket = check.outcome.unwrap()
            if tickets.setdefault(ticket.scope, ticket) is not ticket:
                twice.append(_warn_twice(check.path, ticket))
    return (*twice, *check_references(tickets.values()))


def _warn_twice(path: pathlib.Path, ticket: Ticket) -> Fault:
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
