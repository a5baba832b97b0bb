"""Which requests can still be served in time.

The pattern: unlike targets, some several times as fast as others, under
requests of which a few are many times as large as most. Whether there is time
is judged by the fastest targets, so that a large request does not count as lost
while they can serve it.
"""

from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._messages import Reserve


class Fit:
    """Compares the time that requests have with that which targets need.

    Parameters
    ----------
    cost : CostModel
        Learnt rates.
    """

    def __init__(self, cost: CostModel) -> None:
        self._cost = cost

    def find_timely_start(self, reserve: Reserve) -> float:
        """Return when a request must start to meet its objective.

        Parameters
        ----------
        reserve : Reserve
            The request.

        Returns
        -------
        float
            Moment in ms; 0 if it has no objective.
        """
        if not reserve.objective_ms:
            return 0
        if not reserve.prompt_tokens:
            return reserve.objective_ms - self._cost.price(reserve)
        return reserve.objective_ms - self._find_best_begin(reserve)

    def find_latest_start(self, reserve: Reserve) -> float:
        """Return when a request must start to be of use.

        Parameters
        ----------
        reserve : Reserve
            The request.

        Returns
        -------
        float
            Moment in ms at which an answer of the usual length can still meet
            the deadline, and its first token a caller that has not left; 0 if
            it has neither limit.
        """
        limits: list[float] = []
        if reserve.deadline_ms:
            tokens = self._cost.expect_output(reserve)
            whole_ms = self._find_best_whole(reserve, tokens)
            limits.append(reserve.deadline_ms - whole_ms)
        if reserve.begin_by_ms:
            first_ms = self._find_best_begin(reserve)
            limits.append(reserve.begin_by_ms - first_ms)
        return min(limits, default=0)

    def _find_best_begin(self, reserve: Reserve) -> float:
        best = self._cost.best
        prefill_ms = reserve.prompt_tokens * best.prefill_ms_per_token
        return prefill_ms + best.step_ms

    def _find_best_whole(self, reserve: Reserve, tokens: float) -> float:
        if not reserve.prompt_tokens:
            return self._cost.price(reserve)
        best = self._cost.best
        prefill_ms = reserve.prompt_tokens * best.prefill_ms_per_token
        return prefill_ms + max(tokens, 1) * best.step_ms
