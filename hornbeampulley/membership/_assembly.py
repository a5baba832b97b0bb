"""Builds the configuration from the change tickets in force."""

from collections.abc import Iterable, Iterator
from typing import TypeVar

from hornbeampulley.configuration import (
    ANY,
    Configuration,
    RoutingRule,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.errors import Fault
from hornbeampulley.membership._hosts import SCOPE_HOSTS
from hornbeampulley.membership._scopes import (
    SCOPE_SERVICES,
    SCOPE_TARGETS,
    scopes,
)
from hornbeampulley.membership._tickets import Ticket

_EntryT = TypeVar('_EntryT', Tier, Workspace, Service, Target, RoutingRule)


def build_configuration(tickets: Iterable[Ticket]) -> Configuration:
    """Build the configuration from the tickets in force.

    Parameters
    ----------
    tickets : iterable of Ticket
        At most one per scope, in any order.

    Returns
    -------
    Configuration
        Depends only on the tickets, not on their order. If two pools define a
        target of the same name, the pool that sorts first wins.
    """
    ordered = sorted(tickets, key=_get_scope)
    targets: dict[str, Target] = {}
    for target in _select_entries(ordered, Target):
        targets.setdefault(target.name, target)
    return Configuration(
        tiers={tier.name: tier for tier in _select_entries(ordered, Tier)},
        workspaces={
            workspace.name: workspace
            for workspace in _select_entries(ordered, Workspace)
        },
        services={
            service.name: service
            for service in _select_entries(ordered, Service)
        },
        targets=targets,
        rules=tuple(_select_entries(ordered, RoutingRule)),
        numbers={
            ticket.scope: ticket.number
            for ticket in ordered
            if ticket.scope != SCOPE_HOSTS
        },
    )


def check_references(tickets: Iterable[Ticket]) -> tuple[Fault, ...]:
    """List the references to names that no other scope defines.

    Scopes change independently of each other, so these are only warnings; no
    ticket is rejected because of them.

    Parameters
    ----------
    tickets : iterable of Ticket
        At most one per scope, in any order.

    Returns
    -------
    tuple of Fault
        Empty if every reference can be resolved.
    """
    ordered = sorted(tickets, key=_get_scope)
    configuration = build_configuration(ordered)
    return (
        *_check_rules(configuration),
        *_check_services(configuration),
        *_check_targets(ordered, configuration),
    )


def list_scopes(tickets: Iterable[Ticket]) -> tuple[str, ...]:
    """List the scopes that the configuration service may hold.

    Parameters
    ----------
    tickets : iterable of Ticket
        The tickets in force.

    Returns
    -------
    tuple of str
        Sorted: the host list, all scopes that are not per pool, the scopes of
        the tickets in force, and one scope of targets for each pool that a
        service refers to.
    """
    held = tuple(tickets)
    names = {SCOPE_HOSTS}
    names.update(name for name, _ in scopes if name != SCOPE_TARGETS)
    names.update(ticket.scope for ticket in held)
    services = (ticket for ticket in held if ticket.scope == SCOPE_SERVICES)
    names.update(
        f'{SCOPE_TARGETS}/{service.pool}'
        for service in _select_entries(services, Service)
    )
    return tuple(sorted(names))


def _get_scope(ticket: Ticket) -> str:
    return ticket.scope


def _select_entries(
    tickets: Iterable[Ticket], kind: type[_EntryT]
) -> Iterator[_EntryT]:
    for ticket in tickets:
        for entry in ticket.state:
            if isinstance(entry, kind):
                yield entry


def _check_rules(configuration: Configuration) -> Iterator[Fault]:
    for index, rule in enumerate(configuration.rules):
        references = (
            ('tier', rule.tier, configuration.tiers),
            ('workspace', rule.workspace, configuration.workspaces),
            ('service', rule.service, configuration.services),
        )
        for key, name, known in references:
            if name != ANY and name not in known:
                yield Fault(
                    f'scope rules, state[{index}].{key}',
                    f'no {key} {name} is in force',
                    f'create it with a ticket of scope {key}s or mend the rule',
                )


def _check_services(configuration: Configuration) -> Iterator[Fault]:
    kinds = {
        (target.pool, target.kind) for target in configuration.targets.values()
    }
    for name, service in configuration.services.items():
        if (service.pool, service.kind) not in kinds:
            yield Fault(
                f'scope services, service {name}',
                f'pool {service.pool} has no target of kind '
                f'{service.kind.value}',
                f'create one with a ticket of scope targets/{service.pool}',
            )


def _check_targets(
    tickets: Iterable[Ticket],
    configuration: Configuration,
) -> Iterator[Fault]:
    for target in _select_entries(tickets, Target):
        effective = configuration.targets[target.name]
        if effective.pool != target.pool:
            yield Fault(
                f'scope targets/{target.pool}, target {target.name}',
                f'stands in pool {effective.pool} too, which counts',
                'give it another name or take it out of one pool',
            )
