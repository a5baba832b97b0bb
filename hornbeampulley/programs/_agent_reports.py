"""Reports of an agent to operators and to the metrics server."""

import dataclasses
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from hornbeampulley import wire
from hornbeampulley.membership import (
    SCOPE_HOSTS,
    HostRecord,
    Member,
    TicketStore,
)
from hornbeampulley.metrics import TICKET_AGE, TICKET_NUMBER, Metrics
from hornbeampulley.programs._queries import form_ticket


@dataclasses.dataclass(frozen=True, slots=True)
class AgentState:
    """Snapshot of the state of an agent.

    Attributes
    ----------
    store : TicketStore
        Tickets in force.
    ages_ms : mapping
        Maps scopes to the time since the configuration service confirmed
        the ticket, in ms.
    members : tuple of Member
        Processes of the host of the agent.
    hosts : tuple of HostRecord
        Live hosts.
    """

    store: TicketStore
    ages_ms: Mapping[str, float]
    members: tuple[Member, ...]
    hosts: tuple[HostRecord, ...]


def describe_agent(state: AgentState) -> dict[str, Any]:
    """Return the fields that an agent adds to its process report.

    Parameters
    ----------
    state : AgentState
        State of the agent.

    Returns
    -------
    dict
        Fields of a ``ProcessReport``.
    """
    members = sorted(_list_members(state.hosts), key=_get_sort_key)
    return {
        'load': len(state.members),
        'tickets': _list_tickets(state),
        'conflicts': tuple(map(str, state.store.list_conflicts())),
        'members': tuple(members),
    }


def measure_tickets(metrics: Metrics, state: AgentState) -> None:
    """Send the numbers and ages of the tickets in force as metrics.

    Parameters
    ----------
    metrics : Metrics
        Client of the metrics server.
    state : AgentState
        State of the agent.
    """
    for ticket in _list_tickets(state):
        metrics.gauge(TICKET_NUMBER, ticket.scope, level=ticket.number)
        if ticket.age_ms is not None:
            metrics.gauge(TICKET_AGE, ticket.scope, level=ticket.age_ms)


def _list_tickets(state: AgentState) -> tuple[wire.TicketReport, ...]:
    return tuple(
        form_ticket(scope, stamp.number, state.ages_ms.get(scope, math.inf))
        for scope, stamp in sorted(state.store.get_stamps().items())
        if scope != SCOPE_HOSTS
    )


def _list_members(
    records: Iterable[HostRecord],
) -> Iterator[wire.MemberReport]:
    for record in records:
        for member in record.members:
            yield wire.MemberReport(
                record.host,
                record.address,
                member.role.value,
                member.incarnation,
                member.peer_port,
            )


def _get_sort_key(member: wire.MemberReport) -> tuple[str, str]:
    return member.host, member.role
