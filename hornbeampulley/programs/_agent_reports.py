"""What an agent tells operators and the metrics server."""

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
    """What an agent holds at one moment.

    Attributes
    ----------
    store : TicketStore
        Tickets in force.
    ages_ms : mapping
        Maps scopes to the time since the service confirmed the ticket.
    members : tuple of Member
        Processes of its host.
    hosts : tuple of HostRecord
        Hosts that live.
    """

    store: TicketStore
    ages_ms: Mapping[str, float]
    members: tuple[Member, ...]
    hosts: tuple[HostRecord, ...]


def describe_agent(state: AgentState) -> dict[str, Any]:
    """Describe an agent.

    Parameters
    ----------
    state : AgentState
        What it holds.

    Returns
    -------
    dict
        Fields of a ``ProcessReport``.
    """
    members = sorted(_list_members(state.hosts), key=_get_place)
    return {
        'load': len(state.members),
        'tickets': _list_tickets(state),
        'conflicts': tuple(map(str, state.store.list_conflicts())),
        'members': tuple(members),
    }


def measure_tickets(metrics: Metrics, state: AgentState) -> None:
    """Send number and age of the tickets in force.

    Parameters
    ----------
    metrics : Metrics
        Where they go.
    state : AgentState
        What the agent holds.
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


def _get_place(member: wire.MemberReport) -> tuple[str, str]:
    return member.host, member.role
