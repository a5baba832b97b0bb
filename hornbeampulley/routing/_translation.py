"""Translates routing table and targets into a scheduler configuration."""

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


def get_tier_name(rank: int) -> str:
    """Return the name of the tier for a rank.

    Parameters
    ----------
    rank : int
        Priority; 0 is the highest.

    Returns
    -------
    str
        Name of the tier.
    """
    return f'tier-{rank}'


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
    ranks = {route.rank for route in table.routes}
    ranks |= {
        workspace.rank
        for workspace in table.workspaces.values()
        if workspace.rank is not None
    }
    for rank in sorted(ranks | {0}):
        yield Tier(get_tier_name(rank), rank, floor=TIER_FLOOR if rank else 0)


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
