"""Checks that a target that has ended an answer by closing its connection runs.

The kernel closes the connections of a process that is killed in the same way as
those of one that has finished. So the end of a connection shows that an answer
without a length or chunks is whole only if its target has not died with it.
"""

import enum
import logging
from collections.abc import Callable
from typing import Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.http1 import Connection, ConnectionPool, exchange
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.logs import log_event
from hornbeampulley.node._calls import Call
from hornbeampulley.node.dialect import Dialect
from hornbeampulley.routing import TargetRecord

MAX_TRIES: Final = 2
# Until the next try; a process that ends closes all its sockets by then.
PAUSE_MS: Final = 20.0
ANSWER_MS: Final = 250.0
# A socket that is accepted while its process ends is closed by then.
SETTLE_MS: Final = 5.0
MAX_REPORT_BYTES: Final = 1 << 20
_log = logging.getLogger(__name__)


class Finding(enum.Enum):
    """What a check has found at the address of a target."""

    SAME_RUN = 'same_run'
    OTHER_RUN = 'other_run'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'


_NOT_RUNNING: Final = frozenset((Finding.OTHER_RUN, Finding.UNREACHABLE))


class RunChecker:
    """Asks targets whether they still run.

    Parameters
    ----------
    connections : ConnectionPool
        Opens connections to targets.
    dialect : Dialect
        Makes the question and reads its answer.
    find_record : callable
        Returns what is known of a target by its name.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        dialect: Dialect,
        find_record: Callable[[str], TargetRecord | None],
    ) -> None:
        self._connections = connections
        self._dialect = dialect
        self._find_record = find_record

    async def check(self, target: TargetRecord, call: Call) -> None:
        """Check that the run of a target that has just answered goes on.

        A target that accepts connections without an answer counts as running.

        Parameters
        ----------
        target : TargetRecord
            The target, as it was known when it got the request.
        call : Call
            The request that it answered.

        Raises
        ------
        ResponseBrokenError
            If the target can't be reached, or has started anew.
        """
        finding = await self._find(target, call.is_model)
        _log_finding(finding, target, call)
        if finding in _NOT_RUNNING:
            raise ResponseBrokenError(
                'an answer without a length ended when its target did '
                f'({finding.value}); look at the log of the target',
            )

    async def is_same_run(
        self, connection: Connection, target: TargetRecord, call: Call
    ) -> bool:
        """Tell whether a connection leads to the run of a record.

        Parameters
        ----------
        connection : Connection
            A connection to a model engine that can be used after this.
        target : TargetRecord
            What is known of the target.
        call : Call
            The request that is to be sent, for the log.

        Returns
        -------
        bool
            False also if there is no answer.
        """
        uses = connection.uses
        finding = await self._ask(connection, target)
        # The next failure without an id is that of the next request.
        connection.uses = uses
        if finding is not Finding.SAME_RUN:
            _log_finding(finding, target, call)
        return finding is Finding.SAME_RUN and connection.is_reusable

    async def _find(self, target: TargetRecord, is_model: bool) -> Finding:
        finding = await self._try_once(target, is_model)
        for _ in range(MAX_TRIES - 1):
            if finding in {Finding.SAME_RUN, Finding.OTHER_RUN}:
                break
            await trio.sleep(to_seconds(PAUSE_MS))
            finding = await self._try_once(target, is_model)
        return finding

    async def _try_once(self, target: TargetRecord, is_model: bool) -> Finding:
        try:
            connection = await self._connections.open(target.endpoint)
        except NotConnectedError:
            return Finding.UNREACHABLE
        ask = self._ask if is_model else self._listen
        try:
            finding = await ask(connection, target)
        finally:
            connection.close()
        if finding is Finding.SAME_RUN and self._has_new_run(target):
            return Finding.OTHER_RUN
        return finding

    def _has_new_run(self, target: TargetRecord) -> bool:
        """Tell whether another run of a target is known by now."""
        known = self._find_record(target.name)
        return known is not None and 0 < target.born_ms < known.born_ms

    async def _ask(
        self, connection: Connection, target: TargetRecord
    ) -> Finding:
        """Ask a model engine when it started."""
        question = self._dialect.make_run_question(target)
        try:
            head, body = await exchange(
                connection, question, MAX_REPORT_BYTES, ANSWER_MS
            )
        except ResponseBrokenError:
            return Finding.SILENT
        if self._dialect.is_other_run(head, body, target):
            return Finding.OTHER_RUN
        return Finding.SAME_RUN

    async def _listen(
        self, connection: Connection, _target: TargetRecord
    ) -> Finding:
        """Tell whether a plain service keeps a new connection open."""
        await trio.sleep(to_seconds(SETTLE_MS))
        return Finding.SILENT if connection.has_input else Finding.SAME_RUN


def _log_finding(finding: Finding, target: TargetRecord, call: Call) -> None:
    log_event(
        _log,
        'run_checked',
        request=call.name,
        target=target.name,
        born_ms=target.born_ms,
        finding=finding.value,
    )
