"""Sends requests to targets over kept connections."""

from collections.abc import Callable
from typing import Final

from hornbeampulley.clock import Clock
from hornbeampulley.decisions import Outcome
from hornbeampulley.http1 import (
    Channel,
    ChannelPool,
    ChannelSettings,
    open_channel,
)
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.node._calls import Call
from hornbeampulley.node._exchanges import Attempt, Exchange
from hornbeampulley.node.dialect import Dialect
from hornbeampulley.routing import TargetRecord

# Short, since the caller of a stream that broke waits for it to go on.
_PROBE: Final = ChannelSettings(connect_timeout_ms=250)


class Sender:
    """Sends requests to targets.

    Parameters
    ----------
    channels : ChannelPool
        Connections to targets.
    dialect : Dialect
        Names of headers.
    clock : Clock
        Time.
    report : callable
        Called with a target, its load and whether it is down.

    Attributes
    ----------
    clock : Clock
        Time.
    """

    def __init__(
        self,
        channels: ChannelPool,
        dialect: Dialect,
        clock: Clock,
        report: Callable[..., None],
    ) -> None:
        self._channels = channels
        self._dialect = dialect
        self.clock = clock
        self._report = report

    async def send(
        self,
        call: Call,
        target: TargetRecord,
        note_first: Callable[[float], None],
    ) -> Attempt:
        """Send a request to a target.

        Parameters
        ----------
        call : Call
            The request.
        target : TargetRecord
            Where it goes.
        note_first : callable
            Called with the time to the first part of a stream.

        Returns
        -------
        Attempt
            What became of it.
        """
        try:
            channel = await self._channels.take(target.name, target.endpoint)
        except NotConnectedError as error:
            self._channels.forget(target.name)
            self._report(target.name, None, is_down=True)
            return Attempt(Outcome.NOT_SENT, f'not connected: {error}')
        exchange = Exchange(self._dialect, self.clock, call, note_first)
        try:
            return await self._run(exchange, channel, target)
        finally:
            if not exchange.is_done:
                channel.close()

    async def _run(
        self,
        exchange: Exchange,
        channel: Channel,
        target: TargetRecord,
    ) -> Attempt:
        try:
            attempt = await exchange.run(channel, target)
        except ResponseBrokenError as error:
            return await self._explain_break(exchange, target, error)
        facts = exchange.facts
        if facts is not None and facts.running is not None:
            if facts.queued or facts.is_rejection:
                self._report(target.name, (facts.running, facts.queued))
        self._channels.give_back(target.name, channel, exchange.keep_alive)
        exchange.is_done = True
        return attempt

    async def _explain_break(
        self,
        exchange: Exchange,
        target: TargetRecord,
        error: ResponseBrokenError,
    ) -> Attempt:
        """Tell a crash of the target from a broken connection."""
        outcome = Outcome.FAILED
        try:
            probe = await open_channel(target.endpoint, _PROBE, self.clock)
        except NotConnectedError:
            outcome = Outcome.CRASHED
            self._channels.forget(target.name)
        else:
            probe.close()
        return exchange.form_attempt(outcome, f'broken: {error}')
