"""Sends requests to targets over pooled connections."""

import dataclasses
import functools
import logging
from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import Outcome, TargetSignals
from hornbeampulley.http1 import (
    Connection,
    ConnectionPool,
    ConnectionSettings,
    open_connection,
)
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.logs import log_event
from hornbeampulley.node._attempts import Attempt
from hornbeampulley.node._calls import Call
from hornbeampulley.node._exchanges import Exchange
from hornbeampulley.node._knowledge import TargetNotice
from hornbeampulley.node._load_reports import LoadNews
from hornbeampulley.node._run_checks import RunChecker
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._target_signals import SignalStore
from hornbeampulley.node.dialect import Dialect, ResponseMetadata
from hornbeampulley.routing import TargetRecord

# Short timeout, since the caller of a broken stream waits for it to resume.
_PROBE_SETTINGS: Final = ConnectionSettings(connect_timeout_ms=250)
_log = logging.getLogger(__name__)


class Sender:
    """Sends requests to targets and reports load and failures of these.

    Parameters
    ----------
    connections : ConnectionPool
        Pool of connections to targets.
    store_view : StoreView
        Tells whether a target leaves.
    dialect : Dialect
        Reads and writes the headers.
    clock : Clock
        Monotonic clock.
    signals : SignalStore
        What targets have said of themselves.
    report : callable
        Called with a target, its load and whether it is down.
    report_signals : callable
        Called with what a target has newly said of itself.

    Attributes
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        store_view: StoreView,
        dialect: Dialect,
        clock: Clock,
        signals: SignalStore,
        report: Callable[..., None],
        report_signals: Callable[[TargetSignals], None],
    ) -> None:
        self._connections = connections
        self._store_view = store_view
        self._dialect = dialect
        self.clock = clock
        self._signals = signals
        self._run_checker = RunChecker(
            connections, dialect, store_view.find_target
        )
        self._report = report
        self._load_news = LoadNews(clock)
        self._report_signals = report_signals

    async def send(
        self,
        call: Call,
        target: TargetRecord,
        on_first_part: Callable[[float], None],
    ) -> Attempt:
        """Send a request to a target, unless it is known to leave.

        Parameters
        ----------
        call : Call
            Request to send.
        target : TargetRecord
            Target that gets the request.
        on_first_part : callable
            Called with the time in ms to the first part of a stream.

        Returns
        -------
        Attempt
            Result of the attempt.
        """
        notice = self._get_notice(target)
        if not notice.is_open:
            return _reject_leaving(call, target, notice)
        try:
            connection = await self._connections.acquire(
                target.name, target.endpoint, call.metadata.request_id
            )
        except NotConnectedError as error:
            self._connections.close_idle(target.name)
            self._report(target.name, None, is_down=True)
            return Attempt(Outcome.NOT_SENT, f'not connected: {error}')
        # The target may have begun to leave while the connection was opened.
        notice = self._get_notice(target)
        if not notice.is_open:
            connection.close()
            return _reject_leaving(call, target, notice)
        if not await self._may_resume(call, connection, target):
            return Attempt(
                Outcome.NOT_SENT,
                'the target is not known to be the run of its record',
            )
        exchange = Exchange(
            self._dialect,
            self.clock,
            call,
            on_first_part,
            functools.partial(self._learn, call, target),
            functools.partial(self._run_checker.check, target, call),
        )
        try:
            return await self._run(call, exchange, connection, target, notice)
        finally:
            if not exchange.is_connection_returned:
                connection.close()

    async def _may_resume(
        self, call: Call, connection: Connection, target: TargetRecord
    ) -> bool:
        """Tell whether a stream may go on at the end of a connection.

        A target may have started as another software version under its old
        name, before this host knows it. The connection is closed if not.
        """
        if call.resumes_after is None or not call.is_model:
            return True
        may_resume = False
        try:
            may_resume = await self._run_checker.is_same_run(
                connection, target, call
            )
        finally:
            if not may_resume:
                connection.close()
        return may_resume

    def _get_notice(self, target: TargetRecord) -> TargetNotice:
        """Return what the store and the target itself have told of it."""
        notice = self._store_view.get_notice(target)
        reason = self._signals.find_reason_to_avoid(target)
        if notice.is_open and reason:
            return dataclasses.replace(notice, state=reason)
        return notice

    def _learn(
        self,
        call: Call,
        target: TargetRecord,
        metadata: ResponseMetadata,
        sent_ms: float,
    ) -> None:
        """Keep to what a target says of itself, and tell the others."""
        if metadata.is_other_target:
            return
        known = call.known_slowness
        if self._load_news.is_news(target.name, metadata, known):
            self._report(target.name, metadata)
        signals = self._signals.learn(target, metadata, sent_ms)
        if signals is not None:
            self._report_signals(signals)

    async def _run(
        self,
        call: Call,
        exchange: Exchange,
        connection: Connection,
        target: TargetRecord,
        notice: TargetNotice,
    ) -> Attempt:
        try:
            attempt = await exchange.run(connection, target, notice)
        except ResponseBrokenError as error:
            return await self._classify_failure(exchange, target, error)
        metadata = exchange.metadata
        if metadata is not None and metadata.running is not None:
            is_usual = metadata.slowness is None
            if is_usual and (metadata.queued or metadata.is_rejection):
                self._report(target.name, metadata)
        if attempt.outcome is not Outcome.DONE:
            # The request may be sent to this target once more.
            connection.answered_ids.add(call.metadata.request_id)
        self._connections.release(target.name, connection, exchange.keep_alive)
        exchange.is_connection_returned = True
        return attempt

    async def _classify_failure(
        self,
        exchange: Exchange,
        target: TargetRecord,
        error: ResponseBrokenError,
    ) -> Attempt:
        """Distinguish a crash of the target from a broken connection.

        The target counts as crashed if a new connection can't be opened.
        """
        outcome = Outcome.FAILED
        try:
            probe = await open_connection(
                target.endpoint, _PROBE_SETTINGS, self.clock
            )
        except NotConnectedError:
            outcome = Outcome.CRASHED
            self._connections.close_idle(target.name)
        else:
            probe.close()
        return exchange.make_attempt(outcome, f'broken: {error}')


def _reject_leaving(
    call: Call, target: TargetRecord, notice: TargetNotice
) -> Attempt:
    log_event(
        _log,
        'target_leaving',
        request=call.name,
        target=target.name,
        target_state=notice.state,
        target_age_ms=round(notice.age_ms),
    )
    return Attempt(Outcome.NOT_SENT, f'the target is {notice.state}')
