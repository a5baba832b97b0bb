"""Checks which requests can still be served in time, and by which targets.

Some targets of a pool are several times as fast as others, and a few requests
are many times as large as most. The remaining time is therefore compared with
the fastest targets, so that a large request is not given up while these can
serve it; and it is not leased to a target that is too slow for it.
"""

from typing import Final

from hornbeampulley.decisions._cost import CostModel
from hornbeampulley.decisions._events import Reserve
from hornbeampulley.decisions._requests import Request
from hornbeampulley.decisions._targets import TargetState

# If no target is fast enough, those that take at most this many times as long
# as the best one are used.
NEARLY_BEST: Final = 1.4


class FeasibilityChecker:
    """Compares the time left for requests with the time that targets need.

    Parameters
    ----------
    cost : CostModel
        Estimates from measured rates.
    """

    def __init__(self, cost: CostModel) -> None:
        self._cost = cost

    def find_objective_start(self, reserve: Reserve) -> float:
        """Return the latest start at which a request meets its objective.

        Parameters
        ----------
        reserve : Reserve
            Reservation of the request.

        Returns
        -------
        float
            Time in ms; 0 if the request has no objective.
        """
        if not reserve.objective_ms:
            return 0
        if not reserve.prompt_tokens:
            return reserve.objective_ms - self._cost.estimate_price(reserve)
        return reserve.objective_ms - self._estimate_best_first_token(reserve)

    def find_latest_start(self, reserve: Reserve) -> float:
        """Return the latest start at which a request is still useful.

        Parameters
        ----------
        reserve : Reserve
            Reservation of the request.

        Returns
        -------
        float
            Latest time in ms at which an answer of the usual length can still
            meet the deadline and its first token can arrive before the caller
            disconnects; 0 if there is neither limit.
        """
        limits: list[float] = []
        if reserve.deadline_ms:
            tokens = self._cost.estimate_output(reserve)
            whole_ms = self._estimate_best_duration(reserve, tokens)
            limits.append(reserve.deadline_ms - whole_ms)
        if reserve.begin_by_ms:
            first_ms = self._estimate_best_first_token(reserve)
            limits.append(reserve.begin_by_ms - first_ms)
        return min(limits, default=0)

    def is_in_time(
        self,
        request: Request,
        target: TargetState,
        now_ms: float,
    ) -> bool:
        """Tell whether a target is fast enough for a request.

        Parameters
        ----------
        request : Request
            A waiting request.
        target : TargetState
            A target with a free slot.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if the request should wait for a faster target. For the best
            targets it is true even if no target is fast enough.
        """
        reserve = request.reserve
        if not reserve.prompt_tokens:
            return True
        starts_ms = now_ms + target.estimate_prefill_backlog(now_ms)
        return self._meets_first_token_limit(
            request, target.name, starts_ms, now_ms
        ) and self._meets_deadline(reserve, target, starts_ms, now_ms)

    def _meets_first_token_limit(
        self,
        request: Request,
        target: str,
        starts_ms: float,
        now_ms: float,
    ) -> bool:
        reserve = request.reserve
        limit_ms = reserve.begin_by_ms
        if now_ms <= request.objective_start_ms:
            limit_ms = reserve.objective_ms
        begin_ms = self._cost.estimate_first_token(target, reserve)
        if not limit_ms or starts_ms + begin_ms <= limit_ms:
            return True
        return begin_ms <= NEARLY_BEST * self._estimate_best_first_token(
            reserve
        )

    def _meets_deadline(
        self,
        reserve: Reserve,
        target: TargetState,
        starts_ms: float,
        now_ms: float,
    ) -> bool:
        # Without a hint of the caller, the length is too uncertain to make
        # the request wait for a faster target.
        if not reserve.deadline_ms or not reserve.expected_tokens:
            return True
        whole_ms = self._cost.estimate_duration(
            target.name,
            reserve,
            0,
            target.estimate_load(now_ms),
        )
        if starts_ms + whole_ms <= reserve.deadline_ms:
            return True
        tokens = self._cost.estimate_hinted_output(reserve)
        best_ms = self._estimate_best_duration(reserve, tokens)
        return whole_ms <= NEARLY_BEST * best_ms

    def _estimate_best_first_token(self, reserve: Reserve) -> float:
        best = self._cost.best_rates
        prefill_ms = reserve.prompt_tokens * best.prefill_ms_per_token
        return prefill_ms + best.step_ms

    def _estimate_best_duration(self, reserve: Reserve, tokens: float) -> float:
        if not reserve.prompt_tokens:
            return self._cost.estimate_price(reserve)
        best = self._cost.best_rates
        prefill_ms = reserve.prompt_tokens * best.prefill_ms_per_token
        return prefill_ms + max(tokens, 1) * best.step_ms
