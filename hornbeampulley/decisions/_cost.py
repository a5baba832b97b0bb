"""Cost estimates from measured rates, output lengths and call times.

Rates are kept per target; output lengths and call times per service.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from hornbeampulley.decisions._capacity import Capacities
from hornbeampulley.decisions._events import Release, Reserve
from hornbeampulley.decisions._requests import Request

DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.05
DEFAULT_STEP_MS: Final = 20.0
DEFAULT_CALL_MS: Final = 50.0
DEFAULT_OUTPUT_TOKENS: Final = 200
FULL_WEIGHT_TOKENS: Final = 512
MIN_PREFILL_MS_PER_TOKEN: Final = 0.001
OUTPUT_QUANTILE: Final = 0.6
QUANTILE_STEP: Final = 0.05
RATE_WEIGHT: Final = 0.1
POOL_WEIGHT: Final = 0.02
MEAN_PRICE_WEIGHT: Final = 0.02
LOAD_SLOWDOWN: Final = 0.2
# Quantile over the targets that counts as the best rate: at most this share of
# the targets is faster.
BEST_QUANTILE: Final = 0.1
MIN_PRICE_MS: Final = 0.1


@dataclasses.dataclass(slots=True)
class Rates:
    """Speed of a target, or the average speed of a pool.

    Attributes
    ----------
    prefill_ms_per_token : float
        Time to prefill one prompt token.
    step_ms : float
        Time to produce one output token.
    relative_call_time : float
        Duration of plain calls relative to the pool's average.
    """

    prefill_ms_per_token: float = DEFAULT_PREFILL_MS_PER_TOKEN
    step_ms: float = DEFAULT_STEP_MS
    relative_call_time: float = 1


def smooth(old: float, sample: float, weight: float) -> float:
    """Update an exponentially weighted moving average with a sample."""
    return old + weight * (sample - old)


class CostModel:
    """Estimates the cost of requests from those that have completed.

    A price is a cost in ms at the pool's average rates, so that work on
    targets of different speeds can be compared.

    Attributes
    ----------
    mean_price_ms : float
        Moving average of the prices of leased requests.
    capacities : Capacities
        What each target can do now.
    """

    def __init__(self) -> None:
        self._pool = Rates()
        self._targets: dict[str, Rates] = {}
        self._lengths: dict[str, float] = {}
        self._calls: dict[str, float] = {}
        self._best_rates: Rates | None = None
        self._samples = 0
        self._prefills = 0
        self.mean_price_ms = MIN_PRICE_MS
        self.capacities = Capacities()

    def set_initial_length(self, service: str, output_tokens: int) -> None:
        """Set the configured output length, unless one is known already."""
        self._lengths.setdefault(service, float(max(output_tokens, 1)))

    @property
    def best_rates(self) -> Rates:
        """Rates of the fastest targets; the pool's if none are known."""
        return self._best_rates or self._pool

    def refresh_best_rates(self, targets: Iterable[str]) -> None:
        """Recompute the rates of the fastest targets.

        Parameters
        ----------
        targets : iterable of str
            Names of the targets that currently accept leases.
        """
        known = [
            self._targets[name] for name in targets if name in self._targets
        ]
        if not known:
            self._best_rates = None
            return
        index = int(len(known) * BEST_QUANTILE)
        prefills = sorted(rates.prefill_ms_per_token for rates in known)
        steps = sorted(rates.step_ms for rates in known)
        self._best_rates = Rates(prefills[index], steps[index])

    def estimate_output(self, reserve: Reserve) -> float:
        """Return the output tokens for the price; at most the usual length."""
        length = self._lengths.get(reserve.service, DEFAULT_OUTPUT_TOKENS)
        bound = reserve.expected_tokens or reserve.output_tokens
        return min(length, bound) if bound else length

    def estimate_hinted_output(self, reserve: Reserve) -> float:
        """Return the output tokens to reserve time for.

        This is the caller's hint, within its bound, or else the usual length.
        """
        if not reserve.expected_tokens:
            return self.estimate_output(reserve)
        bound = reserve.output_tokens or reserve.expected_tokens
        return min(reserve.expected_tokens, bound)

    def estimate_price(self, reserve: Reserve, cached_tokens: int = 0) -> float:
        """Return the estimated price of a request in ms."""
        if not reserve.prompt_tokens:
            return self._get_call_time(reserve.service)
        return self._compute_token_price(
            reserve.prompt_tokens - cached_tokens,
            self.estimate_output(reserve),
        )

    def record_price(self, price_ms: float) -> None:
        """Update the mean price with that of a leased request."""
        self.mean_price_ms = smooth(
            self.mean_price_ms, price_ms, MEAN_PRICE_WEIGHT
        )

    def compute_actual_price(self, request: Request, release: Release) -> float:
        """Return the price in ms of the work that a request has taken."""
        if not request.reserve.prompt_tokens:
            return max(release.duration_ms, MIN_PRICE_MS)
        prefilled = request.uncached_tokens if release.first_token_ms else 0
        return self._compute_token_price(prefilled, release.output_tokens)

    def estimate_prefill_price(self, tokens: float) -> float:
        """Return the price in ms of prefilling prompt tokens."""
        return tokens * self._pool.prefill_ms_per_token

    def get_prefill_rate(self, target: str) -> float:
        """Return a target's present ms per prompt token."""
        slowness = self.capacities.get(target).slowness
        return self._get_rates(target).prefill_ms_per_token * slowness

    def estimate_first_token(self, target: str, reserve: Reserve) -> float:
        """Return the time in ms to the first token on an idle target.

        No prompt token is assumed to be cached.
        """
        rates = self._get_rates(target)
        prefill_ms = reserve.prompt_tokens * rates.prefill_ms_per_token
        return self.capacities.get(target).stretch(prefill_ms + rates.step_ms)

    def estimate_running_first_token(self, request: Request) -> float:
        """Return the expected time in ms to a running request's first token.

        It includes the prefill that was queued when the request was leased.
        """
        rates = self._get_rates(request.target)
        prefill_ms = request.uncached_tokens * rates.prefill_ms_per_token
        return request.queued_prefill_ms + prefill_ms + rates.step_ms

    def infer_cached_tokens(
        self, request: Request, first_token_ms: float
    ) -> int:
        """Infer the cached prompt tokens from the delay of the first token.

        Parameters
        ----------
        request : Request
            The request.
        first_token_ms : float
            Delay from dispatch to the first token.

        Returns
        -------
        int
            Tokens that the target, at its measured rate, had no time to
            prefill.
        """
        rates = self._get_rates(request.target)
        busy_ms = first_token_ms - request.queued_prefill_ms - rates.step_ms
        busy_ms /= self.capacities.get(request.target).slowness
        cached_tokens = (
            request.reserve.prompt_tokens - busy_ms / rates.prefill_ms_per_token
        )
        return int(min(max(cached_tokens, 0), request.expected_cached))

    def estimate_duration(
        self,
        target: str,
        reserve: Reserve,
        cached_tokens: float,
        load: float,
    ) -> float:
        """Return the expected time to complete a request on a target.

        Parameters
        ----------
        target : str
            Name of the target.
        reserve : Reserve
            Reservation of the request.
        cached_tokens : float
            Prompt tokens expected in the target's cache.
        load : float
            Share of the target's limit in use.

        Returns
        -------
        float
            Milliseconds from dispatch to the last token.
        """
        rates = self._get_rates(target)
        slowdown = 1 + LOAD_SLOWDOWN * load
        if not reserve.prompt_tokens:
            return (
                self._get_call_time(reserve.service)
                * rates.relative_call_time
                * slowdown
            )
        prefill_ms = (
            reserve.prompt_tokens - cached_tokens
        ) * rates.prefill_ms_per_token
        capacity = self.capacities.get(target)
        step_ms = capacity.estimate_step(load)
        if step_ms is None:
            step_ms = rates.step_ms * slowdown
        decode_ms = self.estimate_hinted_output(reserve) * step_ms
        return capacity.stretch(prefill_ms + decode_ms)

    def get_relative_time(self, target: str) -> float:
        """Return a target's time for some work relative to the pool's average.

        Values above 1 mean that the target is slower than the average.
        """
        rates = self._get_rates(target)
        prefill = rates.prefill_ms_per_token / self._pool.prefill_ms_per_token
        return (
            rates.relative_call_time
            * (prefill + rates.step_ms / self._pool.step_ms)
            / 2
        )

    def get_relative_step(self, target: str, load: float) -> float | None:
        """Return the time for a token by fill, relative to the pool's average.

        None if it was not measured.
        """
        step_ms = self.capacities.get(target).estimate_step(load)
        return None if step_ms is None else step_ms / self._pool.step_ms

    def update(self, request: Request, release: Release) -> None:
        """Update rates and lengths from a completed request."""
        self._samples += 1
        rates = self._get_or_add_rates(request.target)
        if request.reserve.prompt_tokens:
            self._update_step_rate(rates, request, release)
        elif release.duration_ms > 0:
            self._update_call_time(rates, request.reserve.service, release)

    def update_prefill_rate(
        self, request: Request, first_token_ms: float
    ) -> None:
        """Update the prefill rates from the delay of a first token."""
        self._prefills += 1
        rates = self._get_or_add_rates(request.target)
        tokens = request.uncached_tokens
        if not tokens:
            return
        busy_ms = first_token_ms - request.queued_prefill_ms - rates.step_ms
        busy_ms /= self.capacities.get(request.target).slowness
        sample = max(busy_ms / tokens, MIN_PREFILL_MS_PER_TOKEN)
        # A short prompt gives an inaccurate sample, so it weighs less.
        weight = min(tokens / FULL_WEIGHT_TOKENS, 1)
        rates.prefill_ms_per_token = smooth(
            rates.prefill_ms_per_token,
            sample,
            RATE_WEIGHT * weight,
        )
        self._pool.prefill_ms_per_token = smooth(
            self._pool.prefill_ms_per_token,
            sample,
            max(POOL_WEIGHT, 1 / self._prefills) * weight,
        )

    def start_trial(self, target: str, ceiling: int) -> None:
        """Forget the rates of a target that was slow when last measured."""
        self._targets.pop(target, None)
        self.capacities.start_trial(target, ceiling)

    def remove_target(self, target: str) -> None:
        """Discard the rates of a removed target."""
        self._targets.pop(target, None)
        self.capacities.remove(target)

    def _update_step_rate(
        self,
        rates: Rates,
        request: Request,
        release: Release,
    ) -> None:
        streaming_ms = release.duration_ms - release.first_token_ms
        streamed = release.output_tokens - release.first_tokens
        if streamed > 0 and streaming_ms > 0:
            sample = streaming_ms / streamed
            pool_weight = self._compute_pool_weight()
            self._pool.step_ms = smooth(
                self._pool.step_ms,
                sample,
                pool_weight,
            )
            rates.step_ms = smooth(rates.step_ms, sample, RATE_WEIGHT)
        self._update_length(request.reserve.service, release.output_tokens)

    def _update_call_time(
        self,
        rates: Rates,
        service: str,
        release: Release,
    ) -> None:
        expected = self._get_call_time(service)
        rates.relative_call_time = smooth(
            rates.relative_call_time,
            release.duration_ms / max(expected, MIN_PRICE_MS),
            RATE_WEIGHT,
        )
        self._calls[service] = smooth(
            expected,
            release.duration_ms,
            self._compute_pool_weight(),
        )

    def _update_length(self, service: str, output_tokens: int) -> None:
        length = self._lengths.get(service, float(DEFAULT_OUTPUT_TOKENS))
        if output_tokens > length:
            length *= 1 + QUANTILE_STEP * OUTPUT_QUANTILE
        else:
            length *= 1 - QUANTILE_STEP * (1 - OUTPUT_QUANTILE)
        self._lengths[service] = max(length, 1)

    def _compute_pool_weight(self) -> float:
        return max(POOL_WEIGHT, 1 / self._samples)

    def _get_or_add_rates(self, target: str) -> Rates:
        if target not in self._targets:
            self._targets[target] = dataclasses.replace(self._pool)
        return self._targets[target]

    def _get_rates(self, target: str) -> Rates:
        return self._targets.get(target, self._pool)

    def _get_call_time(self, service: str) -> float:
        return self._calls.get(service, DEFAULT_CALL_MS)

    def _compute_token_price(self, prefilled: float, produced: float) -> float:
        prefill_ms = prefilled * self._pool.prefill_ms_per_token
        return prefill_ms + max(produced, 1) * self._pool.step_ms
