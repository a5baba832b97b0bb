"""Contents of an entry's reports to operators."""

from typing import Any

from hornbeampulley.identity import RequestId
from hornbeampulley.pipeline import Home
from hornbeampulley.programs._fleet import Fleet
from hornbeampulley.programs._queries import list_tickets


def describe_entry(home: Home, fleet: Fleet) -> dict[str, Any]:
    """Describe the state of an entry.

    Parameters
    ----------
    home : Home
        Requests of this entry.
    fleet : Fleet
        View of the fleet: configuration and processes.

    Returns
    -------
    dict
        Fields of a ``ProcessReport``.
    """
    numbers = fleet.configuration.numbers
    return {
        'load': home.open_count,
        'tickets': list_tickets(numbers, fleet.fresh_age_ms),
    }


def explain_request(home: Home, request_id: str) -> dict[str, Any]:
    """Describe the state and outcome of a request at its home entry.

    Parameters
    ----------
    home : Home
        Requests of this entry.
    request_id : str
        Id of the request.

    Returns
    -------
    dict
        Fields of a ``RequestReport``.

    Raises
    ------
    RequestIdError
        If the id is malformed.
    """
    parsed = RequestId.parse(request_id)
    state = home.ledger.find_state(parsed)
    request = home.find(request_id)
    call = request.call if request else None
    return {
        'state': state.value if state else '',
        'ran': home.ledger.find_executed(parsed, home.clock.now()).value,
        'target': call.target.name if call else '',
    }
