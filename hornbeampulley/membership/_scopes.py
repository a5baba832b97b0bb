"""Validation of change tickets, by scope."""

import dataclasses
import functools
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, TypeVar

from hornbeampulley.configuration import (
    RoutingRule,
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.membership._fields import (
    FaultList,
    Field,
    FieldError,
    IntegerReader,
    NumberReader,
    make_choice_reader,
    read_address,
    read_entry,
    read_flag,
    read_label,
    read_name,
    read_name_or_any,
    read_path,
)
from hornbeampulley.registry import Registry

SCOPE_SERVICES: Final = 'services'
SCOPE_TARGETS: Final = 'targets'
Entry = Tier | Workspace | Service | RoutingRule | Target
_EntryT = TypeVar('_EntryT')
_read_fraction: Final = NumberReader(0, 1)
_read_kind: Final = make_choice_reader(ServiceKind)
_read_count: Final = IntegerReader(1, 1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class UncheckedState:
    """The state of a ticket, decoded from JSON but not yet validated.

    Attributes
    ----------
    scope : str
        Scope as the ticket gives it.
    entries : list
        Decoded JSON of the key ``state``.
    faults : FaultList
        Faults found are added to it.
    """

    scope: str
    entries: list[object]
    faults: FaultList

    @property
    def pool(self) -> str:
        """Name of the pool: the part of the scope after the slash."""
        return self.scope.partition('/')[2]

    def format_place(self, index: int) -> str:
        """Format the position of an entry for messages.

        Parameters
        ----------
        index : int
            Index of the entry in the list.

        Returns
        -------
        str
            Such as ``scope tiers, state[2]``.
        """
        return f'scope {self.scope}, state[{index}]'


Checker = Callable[[UncheckedState], tuple[Entry, ...]]
scopes: Final[Registry[Checker]] = Registry('scope')
"""Maps the part of a scope before the slash to its checker."""


def _list_fields(*fields: Field) -> dict[str, Field]:
    return {field.name: field for field in fields}


_TIER: Final = _list_fields(
    Field('name', read_name, required=True),
    Field('rank', IntegerReader(0, 99), required=True),
    Field('headroom', _read_fraction),
    Field('floor', _read_fraction),
)
_WORKSPACE: Final = _list_fields(
    Field('name', read_name, required=True),
    Field('share', NumberReader(0.001, 1_000_000)),
)
_SERVICE: Final = _list_fields(
    Field('name', read_name, required=True),
    Field('pool', read_name, required=True),
    Field('kind', _read_kind),
    Field('repeatable', read_flag),
    Field('output_tokens', _read_count),
    Field('path', read_path),
)
_RULE: Final = _list_fields(
    Field('workspace', read_name_or_any, required=True),
    Field('service', read_name_or_any, required=True),
    Field('tier', read_name, required=True),
)
_TARGET: Final = _list_fields(
    Field('name', read_name, required=True),
    Field('address', read_address, required=True),
    Field('port', IntegerReader(1, 65535), required=True),
    Field('availability_zone', read_name, required=True),
    Field('kind', _read_kind),
    Field('slots', IntegerReader(1, 100_000)),
    Field('generation', read_label),
    Field('checks_fencing', read_flag),
    Field('cache_blocks', IntegerReader(0, 1_000_000_000)),
    Field('model', read_label),
)


@scopes.register('tiers')
def check_tiers(state: UncheckedState) -> tuple[Entry, ...]:
    """Check the tiers: unique names and ranks, sums of shares up to 1.

    Parameters
    ----------
    state : UncheckedState
        The entries to check.

    Returns
    -------
    tuple of Tier
        The valid entries.
    """
    _check_not_empty(state)
    tiers = _build_entries(state, _TIER, Tier)
    _check_duplicates(state, 'name', (tier.name for tier in tiers))
    _check_duplicates(state, 'rank', (tier.rank for tier in tiers))
    _check_total(state, 'headroom', sum(tier.headroom for tier in tiers))
    _check_total(state, 'floor', sum(tier.floor for tier in tiers))
    return tiers


@scopes.register('workspaces')
def check_workspaces(state: UncheckedState) -> tuple[Entry, ...]:
    """Check the workspaces: unique names.

    Parameters
    ----------
    state : UncheckedState
        The entries to check.

    Returns
    -------
    tuple of Workspace
        The valid entries.
    """
    _check_not_empty(state)
    workspaces = _build_entries(state, _WORKSPACE, Workspace)
    _check_duplicates(state, 'name', (entry.name for entry in workspaces))
    return workspaces


@scopes.register(SCOPE_SERVICES)
def check_services(state: UncheckedState) -> tuple[Entry, ...]:
    """Check the services: unique names.

    Parameters
    ----------
    state : UncheckedState
        The entries to check.

    Returns
    -------
    tuple of Service
        The valid entries.
    """
    _check_not_empty(state)
    services = _build_entries(state, _SERVICE, Service)
    _check_duplicates(state, 'name', (service.name for service in services))
    return services


@scopes.register('rules')
def check_rules(state: UncheckedState) -> tuple[Entry, ...]:
    """Check the routing rules: unique pairs of workspace and service.

    Parameters
    ----------
    state : UncheckedState
        The entries to check.

    Returns
    -------
    tuple of RoutingRule
        The valid entries.
    """
    _check_not_empty(state)
    rules = _build_entries(state, _RULE, RoutingRule)
    pairs = (f'{rule.workspace} and {rule.service}' for rule in rules)
    _check_duplicates(state, 'workspace and service', pairs)
    return rules


@scopes.register(SCOPE_TARGETS)
def check_targets(state: UncheckedState) -> tuple[Entry, ...]:
    """Check the targets of a pool: unique names, unique address and port.

    An empty list is valid: it removes the pool.

    Parameters
    ----------
    state : UncheckedState
        The entries to check.

    Returns
    -------
    tuple of Target
        The valid entries.
    """
    try:
        pool = read_name(state.pool)
    except FieldError as error:
        state.faults.add('scope', f'pool {error.problem}', error.remedy)
        return ()

    build = functools.partial(Target, pool=pool)
    targets = _build_entries(state, _TARGET, build)
    _check_duplicates(state, 'name', (target.name for target in targets))
    _check_duplicates(
        state,
        'address and port',
        (f'{target.address} {target.port}' for target in targets),
    )
    return targets


def _build_entries(
    state: UncheckedState,
    fields: dict[str, Field],
    build: Callable[..., _EntryT],
) -> tuple[_EntryT, ...]:
    found = (
        read_entry(entry, state.format_place(index), fields, state.faults)
        for index, entry in enumerate(state.entries)
    )
    return tuple(build(**values) for values in found if values is not None)


def _check_not_empty(state: UncheckedState) -> None:
    if not state.entries:
        state.faults.add(
            f'scope {state.scope}, state',
            'is an empty list',
            'write the whole state, with at least one entry',
        )


def _check_duplicates(
    state: UncheckedState, key: str, names: Iterable[object]
) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            state.faults.add(
                f'scope {state.scope}, state',
                f'{key} {name} stands {count} times',
                'keep one',
            )


def _check_total(state: UncheckedState, key: str, total: float) -> None:
    if total > 1:
        state.faults.add(
            f'scope {state.scope}, state',
            f'the values of {key} add up to {total:g}',
            'let them add up to 1 at most',
        )
