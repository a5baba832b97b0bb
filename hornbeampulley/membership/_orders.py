"""Orders to targets, as a pure function of the tickets in force."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from hornbeampulley.configuration import Configuration, Target
from hornbeampulley.membership._buckets import TokenBucket
from hornbeampulley.membership._scopes import SCOPE_TARGETS

NEVER_EXPIRES_MS: Final = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Bounds on orders.

    Attributes
    ----------
    lease_ms : float
        Age of the configuration up to which a target that does not check
        fencing numbers may be ordered.
    retry_ms : float
        Time after which an order without effect is issued again.
    loads_per_second : float
        Loads that the weight store allows all schedulers together.
    burst_loads : float
        Loads that may start at once.
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
        The model.
    fencing_number : int
        Number of the ticket that asks for it.
    valid_ms : float
        How long the order may wait to be sent; infinite for a target that
        checks the fencing number.
    """

    target: str
    model: str
    fencing_number: int
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredOrder:
    """An order that is not issued now.

    Attributes
    ----------
    target : str
        Name of the target.
    reason : str
        ``stale_configuration``, ``newer_order`` or ``weight_store_rate``.
    """

    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says about itself.

    Attributes
    ----------
    target : str
        Name of the target.
    model : str
        The model it serves or loads.
    fencing_number : int
        Highest number it has taken; 0 if it does not say.
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
    """Gives the orders of one scheduler.

    Parameters
    ----------
    settings : OrderSettings
        The bounds.
    get_age_ms : callable
        Takes a scope and the current time and returns the time since the
        service confirmed its ticket, such as ``TicketGossip.get_confirmed_age_ms``.
    now_ms : float
        The current time.
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
        """Divide the weight store's rate among the schedulers.

        Parameters
        ----------
        schedulers : int
            How many live schedulers are known.
        now_ms : float
            The current time.
        """
        rate = self._settings.loads_per_second / max(schedulers, 1)
        self._bucket.set_rate(rate, now_ms)

    def record_report(self, report: TargetReport) -> None:
        """Take what a target says about itself.

        Parameters
        ----------
        report : TargetReport
            The report; only reported targets are issued orders.
        """
        self._reports[report.target] = report

    def plan(
        self,
        configuration: Configuration,
        owned: Iterable[str],
        now_ms: float,
    ) -> tuple[LoadModel | DeferredOrder, ...]:
        """Compare what targets serve with what the tickets ask for.

        Parameters
        ----------
        configuration : Configuration
            The tickets in force.
        owned : iterable of str
            Names of the targets of the shards owned now.
        now_ms : float
            The current time.

        Returns
        -------
        tuple of LoadModel or DeferredOrder
            In order of the targets' names.
        """
        mine = set(owned)
        self._forget_others(mine)
        planned: list[LoadModel | DeferredOrder] = []
        for name in sorted(mine & configuration.targets.keys()):
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

    def _forget_others(self, mine: set[str]) -> None:
        for table in (self._reports, self._issued):
            for name in table.keys() - mine:
                table.pop(name)


def _get_scope(target: Target) -> str:
    return f'{SCOPE_TARGETS}/{target.pool}'
