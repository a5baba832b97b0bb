"""Orders of a scheduler to targets to load models."""

import functools
import json
import logging
from collections.abc import Iterator, Mapping
from typing import Final, Protocol

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import TargetError
from hornbeampulley.logs import log_event
from hornbeampulley.membership import (
    DeferredOrder,
    LoadModel,
    OrderPlanner,
    OrderSettings,
    TargetReport,
)
from hornbeampulley.pipeline import TargetClient
from hornbeampulley.programs._fleet import Fleet
from hornbeampulley.programs._process import Process

PLAN_INTERVAL_MS: Final = 500.0
ORDERS_PATH: Final = '/orders'
_log = logging.getLogger(__name__)


class OrderExpiredError(TargetError):
    """An order expired before it could be sent."""


class Pool(Protocol):
    """Part of the interface of a pool that orders use."""

    @property
    def is_used(self) -> bool:
        """Whether a home entry is linked to the pool."""


class Orders:
    """Sends orders to targets to load the models named by the tickets.

    Parameters
    ----------
    process : Process
        The running scheduler process.
    fleet : Fleet
        Fleet state, with the tickets in force and their age.
    pools : mapping
        Pools of this scheduler by name.
    """

    def __init__(
        self,
        process: Process,
        fleet: Fleet,
        pools: Mapping[str, Pool],
    ) -> None:
        self._fleet = fleet
        self._pools = pools
        self._clock = Clock(trio.current_time)
        self._client = TargetClient(process.settings.host.address)
        self._planner = OrderPlanner(
            OrderSettings(),
            self._get_age_ms,
            self._clock.now(),
        )

    def hear(self, report: TargetReport) -> None:
        """Record the report of a target on the model that it has loaded.

        Parameters
        ----------
        report : TargetReport
            Report read from the target.
        """
        self._planner.record_report(report)

    async def run(self) -> None:
        """Plan and send orders periodically, without end."""
        async with trio.open_nursery() as nursery:
            while True:
                self._start_orders(nursery)
                await trio.sleep(to_seconds(PLAN_INTERVAL_MS))

    def _start_orders(self, nursery: trio.Nursery) -> None:
        now_ms = self._clock.now()
        for planned in self._plan():
            if isinstance(planned, LoadModel):
                nursery.start_soon(self._send_order, planned, now_ms)
            else:
                _report_deferred(planned)

    def _plan(self) -> tuple[LoadModel | DeferredOrder, ...]:
        now_ms = self._clock.now()
        owned = set(self._list_owned()) - self._fleet.leaving
        if owned:
            self._planner.set_share(self._fleet.count_schedulers(), now_ms)
        return self._planner.plan(self._fleet.configuration, owned, now_ms)

    def _list_owned(self) -> Iterator[str]:
        used = (name for name, pool in self._pools.items() if pool.is_used)
        for name in used:
            for target in self._fleet.list_targets(name):
                yield target.name

    def _get_age_ms(self, _scope: str, _now_ms: float) -> float:
        return self._fleet.fresh_age_ms

    async def _send_order(self, order: LoadModel, planned_ms: float) -> None:
        target = self._fleet.configuration.targets.get(order.target)
        if target is None:
            return
        document = {'fencing': order.fencing_number, 'model': order.model}
        try:
            reply = await self._client.fetch(
                target,
                'POST',
                ORDERS_PATH,
                json.dumps(document).encode(),
                functools.partial(self._check_valid, order, planned_ms),
            )
        except TargetError as error:
            log_event(
                _log,
                'order_failed',
                severity=logging.WARNING,
                target=order.target,
                number=order.fencing_number,
                error=error,
            )
            return
        log_event(
            _log,
            'order_given',
            target=order.target,
            number=order.fencing_number,
            model=order.model,
            status=reply.status,
        )

    def _check_valid(self, order: LoadModel, planned_ms: float) -> None:
        if self._clock.now() - planned_ms >= order.valid_ms:
            raise OrderExpiredError(
                f'the order to target {order.target} waited longer than '
                f'{order.valid_ms:.0f} ms; it will be planned again',
            )


def _report_deferred(deferred: DeferredOrder) -> None:
    log_event(
        _log,
        'order_withheld',
        target=deferred.target,
        reason=deferred.reason,
    )
