"""Handlers for the queries that operators send to a daemon."""

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
    """The daemon that answers a query.

    Attributes
    ----------
    process : Process
        Identity, settings and metrics of this process.
    drain : trio.Event
        Set to start the shutdown.
    describe : callable
        Returns the role-specific fields of its ``ProcessReport``.
    explain : callable
        Returns the role-specific fields of the ``RequestReport`` of a request
        id.
    """

    process: Process
    drain: trio.Event
    describe: Callable[[], dict[str, Any]]
    explain: Callable[[str], dict[str, Any]] = _explain_nothing


Answerer = Callable[[Subject, str], str]
answerers: Final[Registry[Answerer]] = Registry('command')
"""Maps the command of a query to its handler."""


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
        A ``ProcessReport`` as JSON.
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
        A ``RequestReport`` as JSON.
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
    """Start a graceful shutdown, as SIGTERM does.

    Parameters
    ----------
    subject : Subject
        The daemon.
    argument : str
        Incarnation to shut down; must be that of this process.

    Returns
    -------
    str
        A ``ProcessReport`` as JSON.

    Raises
    ------
    QueryError
        If the argument names another incarnation.
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
    """Build the report of a ticket in force.

    Parameters
    ----------
    scope : str
        Scope of the ticket.
    number : int
        Number of the ticket.
    age_ms : float
        Time since the ticket was last known to be the newest; infinite if it
        never was, which is reported as None because JSON has no infinity.

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
        Maps scopes to ticket numbers.
    age_ms : float
        Time since they were last known to be the newest.

    Returns
    -------
    tuple of TicketReport
        Sorted by scope.
    """
    return tuple(
        form_ticket(scope, number, age_ms)
        for scope, number in sorted(numbers.items())
    )


def answer_query(subject: Subject, query: ttypes.Query) -> ttypes.Reply:
    """Answer a query; failures are reported in the reply.

    Parameters
    ----------
    subject : Subject
        The daemon.
    query : ttypes.Query
        Command, argument and number of the query.

    Returns
    -------
    ttypes.Reply
        Holds JSON: a report or an error.
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
