"""Contents of a scheduler's reports to operators."""

from collections.abc import Iterable
from typing import Any

from hornbeampulley.decisions import Core
from hornbeampulley.programs._fleet import Fleet
from hornbeampulley.programs._queries import list_tickets


def describe_scheduler(cores: Iterable[Core], fleet: Fleet) -> dict[str, Any]:
    """Describe the state of a scheduler.

    Parameters
    ----------
    cores : iterable of Core
        Decision cores of the pools with a linked home.
    fleet : Fleet
        View of the fleet: configuration and processes.

    Returns
    -------
    dict
        Fields of a ``ProcessReport``.
    """
    pools = tuple(core.describe() for core in cores)
    numbers = fleet.configuration.numbers
    return {
        'load': len(pools),
        'pools': pools,
        'tickets': list_tickets(numbers, fleet.fresh_age_ms),
    }


def explain_decisions(
    cores: Iterable[Core],
    request_id: str,
) -> dict[str, Any]:
    """Collect the decisions of a scheduler about a request.

    Parameters
    ----------
    cores : iterable of Core
        Decision cores of all its pools.
    request_id : str
        Id of the request.

    Returns
    -------
    dict
        Fields of a ``RequestReport``.
    """
    lines = (line for core in cores for line in core.explain(request_id))
    return {'decisions': tuple(lines)}
