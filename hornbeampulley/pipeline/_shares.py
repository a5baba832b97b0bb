"""A home's share of the targets when it schedules alone."""

import dataclasses

from hornbeampulley.configuration import Configuration, Target


def limit_to_share(
    configuration: Configuration,
    entry_count: int,
) -> Configuration:
    """Return the configuration with each target cut to one home's share.

    Parameters
    ----------
    configuration : Configuration
        In force.
    entry_count : int
        Entries that share the targets; at least 1.

    Returns
    -------
    Configuration
        The same but for the slots of its targets, at least 1 each.
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
