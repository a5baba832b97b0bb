"""Plans the orders to targets from the tickets in force."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from hornbeampulley.configuration import Configuration, Target
from hornbeampulley.membership._buckets import TokenBucket
from hornbeampulley.membership._scopes import SCOPE_TARGETS

NEVER_EXPIRES_MS: Final = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Limits on the orders to targets.

    Attributes
    ----------
    lease_ms : float
        Highest age of the configuration at which orders may be sent to a
        target that does not check fencing numbers.
    retry_ms : float
        Time after which an order that had no effect is issued again.
    loads_per_second : float
        Rate of model loads that the weight store allows, for all schedulers
        together.
    burst_loads : float
        Number of loads that may start at once.
    """

    lease_ms: float = 5000
    retry_ms: float = 30_000
    loads_per_second: float = 1
    burst_loads: float = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Order to a target to load a model.

    Attributes
    ----------
    target : str
        Name of the target.
    model : str
        Name of the model.
    fencing_number : int
        Number of the ticket that requires the model.
    valid_ms : float
        How long the order may wait before it is sent; infinite for a target
        that checks the fencing number.
    """

    target: str
    model: str
    fencing_number: int
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredOrder:
    """An order that must not be issued yet.

    Attributes
    ----------
    target : str
        Name of the target.
    reason : str
        ``stale_configuration`` (the configuration is older than the lease),
        ``newer_order`` (the target has accepted a higher fencing number) or
        ``weight_store_rate`` (the rate limit is reached).
    """

    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """State of a target, as the target reports it.

    Attributes
    ----------
    target : str
        Name of the target.
    model : str
        Model that it serves or loads.
    fencing_number : int
        Highest fencing number that it has accepted; 0 if it reports none.
    """

    target: str
    model: str
    fencing_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _IssuedOrder:
    model: str
    fencing_number: int
    moment_ms: float


GetAge = Callable[[str, float], float]


class OrderPlanner:
    """Plans the orders of one scheduler.

    Parameters
    ----------
    settings : OrderSettings
        Limits on the orders.
    get_age_ms : callable
        Takes a scope and the current time and returns the time since the
        configuration service last confirmed the scope's ticket, in ms, as
        ``TicketGossip.get_confirmed_age_ms`` does.
    now_ms : float
        The current time, in ms.
    """

    def __init__(
        self,
        settings: OrderSettings,
        get_age_ms: GetAge,
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._get_age_ms = get_age_ms
        self._reports: dict[str, TargetReport] = {}
        self._issued: dict[str, _IssuedOrder] = {}
        self._bucket = TokenBucket(
            settings.loads_per_second,
            settings.burst_loads,
            now_ms,
        )

    def set_share(self, schedulers: int, now_ms: float) -> None:
        """Set this scheduler's share of the weight store's rate.

        Parameters
        ----------
        schedulers : int
            Number of live schedulers, which share the rate equally.
        now_ms : float
            The current time, in ms.
        """
        rate = self._settings.loads_per_second / max(schedulers, 1)
        self._bucket.set_rate(rate, now_ms)

    def record_report(self, report: TargetReport) -> None:
        """Record the state that a target reports.

        Parameters
        ----------
        report : TargetReport
            Its state; targets without a report get no orders.
        """
        self._reports[report.target] = report

    def plan(
        self,
        configuration: Configuration,
        owned: Iterable[str],
        now_ms: float,
    ) -> tuple[LoadModel | DeferredOrder, ...]:
        """Plan orders to the targets that do not serve the configured model.

        Parameters
        ----------
        configuration : Configuration
            Configuration built from the tickets in force.
        owned : iterable of str
            Names of the targets of the shards owned now.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        tuple of LoadModel or DeferredOrder
            Sorted by the names of the targets.
        """
        owned_names = set(owned)
        self._drop_unowned(owned_names)
        planned: list[LoadModel | DeferredOrder] = []
        for name in sorted(owned_names & configuration.targets.keys()):
            target = configuration.targets[name]
            number = configuration.numbers.get(_get_scope(target), 0)
            if self._is_order_due(target, number, now_ms):
                planned.append(self._decide(target, number, now_ms))
        return tuple(planned)

    def _is_order_due(self, target: Target, number: int, now_ms: float) -> bool:
        report = self._reports.get(target.name)
        if not target.model or report is None or report.model == target.model:
            return False
        issued = self._issued.get(target.name)
        if issued is None:
            return True
        if (issued.model, issued.fencing_number) != (target.model, number):
            return True
        return now_ms - issued.moment_ms >= self._settings.retry_ms

    def _decide(
        self,
        target: Target,
        number: int,
        now_ms: float,
    ) -> LoadModel | DeferredOrder:
        if self._reports[target.name].fencing_number > number:
            return DeferredOrder(target.name, 'newer_order')
        valid_ms = self._get_validity_ms(target, now_ms)
        if valid_ms <= 0:
            return DeferredOrder(target.name, 'stale_configuration')
        if not self._bucket.take(now_ms):
            return DeferredOrder(target.name, 'weight_store_rate')
        self._issued[target.name] = _IssuedOrder(target.model, number, now_ms)
        return LoadModel(target.name, target.model, number, valid_ms)

    def _get_validity_ms(self, target: Target, now_ms: float) -> float:
        if target.checks_fencing:
            return NEVER_EXPIRES_MS
        age_ms = self._get_age_ms(_get_scope(target), now_ms)
        return self._settings.lease_ms - age_ms

    def _drop_unowned(self, owned_names: set[str]) -> None:
        for table in (self._reports, self._issued):
            for name in table.keys() - owned_names:
                table.pop(name)


def _get_scope(target: Target) -> str:
    return f'{SCOPE_TARGETS}/{target.pool}'
