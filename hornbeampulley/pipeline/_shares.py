"""A home's share of the targets when it schedules without a scheduler."""

import dataclasses

from hornbeampulley.configuration import Configuration, Target


def limit_to_share(
    configuration: Configuration,
    entry_count: int,
) -> Configuration:
    """Reduce the slots of each target to the share of one home.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    entry_count : int
        Number of entries that share the targets; at least 1.

    Returns
    -------
    Configuration
        A copy in which each target has its share of slots, at least 1.
    """
    targets = {
        name: _divide_slots(target, max(entry_count, 1))
        for name, target in configuration.targets.items()
    }
    return dataclasses.replace(configuration, targets=targets)


def _divide_slots(target: Target, entry_count: int) -> Target:
    return dataclasses.replace(
        target,
        slots=max(target.slots // entry_count, 1),
    )
