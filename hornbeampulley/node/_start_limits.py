"""Bounds on the starts of targets that may be cold."""

import dataclasses

from hornbeampulley.configuration import Configuration, StartLimit, Target
from hornbeampulley.node._settings import BoundSettings
from hornbeampulley.node._store_view import StoreView


def limit_starts(
    configuration: Configuration, store_view: StoreView, bounds: BoundSettings
) -> Configuration:
    """Limit the starts of the targets of pools that name a rate while cold.

    Parameters
    ----------
    configuration : Configuration
        Configuration made from the routing table and the targets.
    store_view : StoreView
        Tells until when targets are cold.
    bounds : BoundSettings
        Overage and slack that operators accept.

    Returns
    -------
    Configuration
        The same one if the settings accept no overage.
    """
    if not bounds.cold_overage:
        return configuration
    targets = {
        name: _limit_target(target, store_view, bounds)
        for name, target in configuration.targets.items()
    }
    return dataclasses.replace(configuration, targets=targets)


def _limit_target(
    target: Target, store_view: StoreView, bounds: BoundSettings
) -> Target:
    pool = store_view.table.pools.get(target.pool)
    if pool is None or not pool.cold_per_s:
        return target
    record = store_view.targets.records[target.name]
    limit = StartLimit(
        pool.cold_per_s,
        pool.cold_per_s * bounds.cold_overage + bounds.cold_slack,
        store_view.find_cold_end(record, pool.cold_ms),
    )
    return dataclasses.replace(target, starts=limit)
