"""The answers of a daemon to operators' queries."""

import dataclasses
import logging
import math
from collections.abc import Callable, Mapping
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.errors import HornbeamError
from hornbeampulley.logs import log_event
from hornbeampulley.programs._process import Process
from hornbeampulley.registry import Registry
from hornbeampulley.wire.generated.peer import ttypes

MAX_REPLY_CHARACTERS: Final = 1_000_000
_log = logging.getLogger(__name__)


def _explain_nothing(_request_id: str) -> dict[str, Any]:
    return {}


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """The daemon that queries are about.

    Attributes
    ----------
    process : Process
        This run of the program.
    drain : trio.Event
        Set when it is to shut down.
    describe : callable
        Returns the fields of its ``ProcessReport`` that differ by role.
    explain : callable
        Returns the same of the ``RequestReport`` of a request id.
    """

    process: Process
    drain: trio.Event
    describe: Callable[[], dict[str, Any]]
    explain: Callable[[str], dict[str, Any]] = _explain_nothing


Answerer = Callable[[Subject, str], str]
answerers: Final[Registry[Answerer]] = Registry('command')
"""Maps the command of a query to what answers it."""


@answerers.register('status')
def report_status(subject: Subject, _argument: str) -> str:
    """Report the state of the daemon.

    Parameters
    ----------
    subject : Subject
        The daemon.
    _argument : str
        Not used.

    Returns
    -------
    str
        A ``ProcessReport``.
    """
    host = subject.process.settings.host
    return wire.write_report(
        wire.ProcessReport(
            host=host.name,
            address=host.address,
            availability_zone=host.availability_zone,
            role=subject.process.role.value,
            incarnation=subject.process.incarnation,
            draining=subject.drain.is_set(),
            **subject.describe(),
        ),
    )


@answerers.register('explain')
def explain_request(subject: Subject, argument: str) -> str:
    """Report what the daemon knows of a request.

    Parameters
    ----------
    subject : Subject
        The daemon.
    argument : str
        Id of the request.

    Returns
    -------
    str
        A ``RequestReport``.
    """
    return wire.write_report(
        wire.RequestReport(
            host=subject.process.settings.host.name,
            role=subject.process.role.value,
            incarnation=subject.process.incarnation,
            **subject.explain(argument),
        ),
    )


@answerers.register('drain')
def start_drain(subject: Subject, argument: str) -> str:
    """Let the daemon shut down as SIGTERM does.

    Parameters
    ----------
    subject : Subject
        The daemon.
    argument : str
        Incarnation meant; another one does not shut down.

    Returns
    -------
    str
        A ``ProcessReport``.

    Raises
    ------
    QueryError
        If another incarnation is meant.
    """
    if argument != subject.process.incarnation:
        raise wire.QueryError(
            f'incarnation {argument!r} does not run here but '
            f'{subject.process.incarnation}; ask for its status and drain it',
        )
    log_event(_log, 'drain_asked')
    subject.drain.set()
    return report_status(subject, '')


def form_ticket(scope: str, number: int, age_ms: float) -> wire.TicketReport:
    """Form the report of a ticket in force.

    Parameters
    ----------
    scope : str
        What it replaces.
    number : int
        Its number.
    age_ms : float
        Time since it was last known to be the newest; infinite if it never
        was, which JSON cannot hold.

    Returns
    -------
    TicketReport
        The report.
    """
    is_known = math.isfinite(age_ms)
    return wire.TicketReport(scope, number, age_ms if is_known else None)


def list_tickets(
    numbers: Mapping[str, int],
    age_ms: float,
) -> tuple[wire.TicketReport, ...]:
    """List the tickets in force for a report.

    Parameters
    ----------
    numbers : mapping
        Maps scopes to numbers.
    age_ms : float
        Time since they were last known to be the newest.

    Returns
    -------
    tuple of TicketReport
        In order of their scopes.
    """
    return tuple(
        form_ticket(scope, number, age_ms)
        for scope, number in sorted(numbers.items())
    )


def answer_query(subject: Subject, query: ttypes.Query) -> ttypes.Reply:
    """Answer a query, whatever it holds.

    Parameters
    ----------
    subject : Subject
        The daemon.
    query : ttypes.Query
        As received.

    Returns
    -------
    ttypes.Reply
        JSON: a report, or the reason for which there is none.
    """
    number = query.number or 0
    try:
        text = answerers.find(query.command)(subject, query.argument or '')
    except HornbeamError as error:
        text = wire.write_error(str(error))
    except Exception:
        _log.exception('query %r failed', query.command)
        text = wire.write_error('the query failed; read the log of the process')
    if len(text) > MAX_REPLY_CHARACTERS:
        text = wire.write_error('the reply is too long; ask for less')
    return ttypes.Reply(number, text)
