"""Translates routing table and targets into a scheduler configuration."""

import itertools
from collections.abc import Iterable, Iterator
from typing import Final

from hornbeampulley.configuration import (
    ANY,
    Configuration,
    RoutingRule,
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.routing._table import CallKind, RoutingTable
from hornbeampulley.routing._targets import TargetRecord

# Length of the blocks in which cached prefixes are matched.
BLOCK_TOKENS: Final = 512
TIER_FLOOR = 0.1
# Floor of the tiers of less urgent routes in the most urgent workspace tier. A
# smaller one leaves them nearly nothing while the first route floods the pool.
ROUTE_FLOOR: Final = 0.3
ANONYMOUS = 'anonymous'


def get_service_name(route: str, pool: str) -> str:
    """Return the service name for a route and one of its pools.

    Parameters
    ----------
    route, pool : str
        Names of the route and the pool.

    Returns
    -------
    str
        Name of the service.
    """
    return f'{route}@{pool}'


def find_pool(service: str) -> str:
    """Return the pool of a service.

    Parameters
    ----------
    service : str
        Service name made by `get_service_name`.

    Returns
    -------
    str
        Name of the pool.
    """
    return service.rpartition('@')[2]


def get_tier_name(rank: int, route_rank: int | None = None) -> str:
    """Return the name of the tier for a rank.

    Parameters
    ----------
    rank : int
        Priority of the workspace, or of the route if the workspace has none;
        0 is the highest.
    route_rank : int or None
        Priority of the route, which orders requests of the same rank; None if
        it is the same.

    Returns
    -------
    str
        Name of the tier.
    """
    if route_rank is None or route_rank == rank:
        return f'tier-{rank}'
    return f'tier-{rank}-{route_rank}'


def make_configuration(
    table: RoutingTable,
    records: Iterable[TargetRecord],
) -> Configuration:
    """Make the configuration of the scheduler.

    Parameters
    ----------
    table : RoutingTable
        Routing table in force.
    records : iterable of TargetRecord
        Registered targets.

    Returns
    -------
    Configuration
        One tier for each rank, and one service for each pair of route and
        pool.
    """
    services = tuple(_list_services(table))
    return Configuration(
        tiers={tier.name: tier for tier in _list_tiers(table)},
        workspaces={name: Workspace(name) for name in table.workspaces},
        services={service.name: service for service in services},
        targets={
            record.name: _make_target(table, record) for record in records
        },
        rules=(RoutingRule(ANY, ANY, get_tier_name(0)),),
        numbers={'routing': table.version},
    )


def _list_tiers(table: RoutingTable) -> Iterator[Tier]:
    """List a tier for each rank, divided by the ranks of the routes.

    The tiers are divided only for ranks of workspaces. Without such ranks,
    the rank of a tier is that of its routes.
    """
    of_routes = {route.rank for route in table.routes}
    of_workspaces = {
        workspace.rank
        for workspace in table.workspaces.values()
        if workspace.rank is not None
    }
    whole = {(rank, rank) for rank in of_routes | of_workspaces | {0}}
    divided = set(itertools.product(of_workspaces, of_routes)) - whole
    first = min(of_workspaces, default=0)
    for place, (rank, route_rank) in enumerate(sorted(whole | divided)):
        is_in_first = rank == first and (rank, route_rank) in divided
        yield Tier(
            get_tier_name(rank, route_rank),
            place if divided else rank,
            floor=_choose_floor(place, is_in_first),
        )


def _choose_floor(place: int, is_in_first: bool) -> float:
    if not place:
        return 0
    return ROUTE_FLOOR if is_in_first else TIER_FLOOR


def _list_services(table: RoutingTable) -> Iterator[Service]:
    for route in table.routes:
        for split in route.splits:
            yield Service(
                get_service_name(route.name, split.pool),
                split.pool,
                _find_kind(table, split.pool),
                repeatable=route.kind is CallKind.IDEMPOTENT,
            )


def _find_kind(table: RoutingTable, pool: str) -> ServiceKind:
    spec = table.pools.get(pool)
    is_model = spec is not None and spec.engine is not None
    return ServiceKind.MODEL if is_model else ServiceKind.PLAIN


def _make_target(table: RoutingTable, record: TargetRecord) -> Target:
    return Target(
        record.name,
        record.pool,
        record.endpoint.address,
        record.endpoint.port,
        record.availability_zone,
        _find_kind(table, record.pool),
        record.slots,
        cache_blocks=_count_cache_blocks(table, record.pool),
        software=record.software,
    )


def _count_cache_blocks(table: RoutingTable, pool: str) -> int:
    spec = table.pools.get(pool)
    engine = spec.engine if spec is not None else None
    return engine.memory_tokens // BLOCK_TOKENS if engine is not None else 0
