"""How long a waiting request yields to others during an overload.

Within a tier, short requests go before long ones, and requests that can meet
their objective before those that can't. Under twice the load that the targets
carry, both rules would leave out the largest prompts, so both are bounded by a
share of the time that a request has until its objective.
"""

from typing import Final

from hornbeampulley.decisions._requests import Request

OVERTAKE_FACTOR: Final = 3.0
# With a larger share, large requests spend all of their time behind others.
OVERTAKE_SHARE: Final = 0.1
# With 0, a prompt whose prefill takes most of the objective stands behind all
# others from its arrival on; with 0.8, most requests begin too late.
FRESH_SHARE: Final = 0.5
# A caller that returns at the time it was told goes before those that came
# within this share of its objective.
RETURN_LEAD_SHARE: Final = 0.5


def compute_overtake_time(request: Request) -> float:
    """Compute how long requests that arrive later may overtake a request.

    Parameters
    ----------
    request : Request
        A waiting request.

    Returns
    -------
    float
        Time in ms after its arrival: ``OVERTAKE_FACTOR`` times its price, and
        at most ``OVERTAKE_SHARE`` of the time until its objective.
    """
    if request.is_return:
        return -RETURN_LEAD_SHARE * _compute_allowed(request)
    by_price_ms = OVERTAKE_FACTOR * request.price_ms
    if not request.reserve.objective_ms:
        return by_price_ms
    return min(by_price_ms, OVERTAKE_SHARE * _compute_allowed(request))


def find_fresh_end(request: Request) -> float:
    """Find the time until which a request counts as fresh.

    Parameters
    ----------
    request : Request
        A waiting request with an objective.

    Returns
    -------
    float
        Latest start in ms that meets the objective, but at least
        ``FRESH_SHARE`` of the time from its arrival until the objective.
    """
    fair_ms = request.arrived_ms + FRESH_SHARE * _compute_allowed(request)
    return max(request.objective_start_ms, fair_ms)


def _compute_allowed(request: Request) -> float:
    return max(request.reserve.objective_ms - request.arrived_ms, 0)
