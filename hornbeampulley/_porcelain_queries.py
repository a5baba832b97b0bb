"""Queries to daemons for the functions for operators."""

import functools
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

import trio

from hornbeampulley import wire
from hornbeampulley._porcelain_kinds import (
    DaemonEndpoint,
    DrainResult,
    Explanation,
    Status,
    UnreachableError,
    UnreachableProcess,
)
from hornbeampulley.clock import to_seconds
from hornbeampulley.errors import WireError
from hornbeampulley.identity import RequestId
from hornbeampulley.membership import Role
from hornbeampulley.settings import Settings

DAEMONS: Final = (Role.ENTRY, Role.SCHEDULER, Role.AGENT)
MAX_QUERIES: Final = 16
_Report = TypeVar('_Report')


class DaemonClient:
    """Queries the daemons of this host and of other hosts.

    Parameters
    ----------
    settings : Settings
        Settings of this host; the ports are the same on every host.
    """

    def __init__(self, settings: Settings) -> None:
        host = settings.host
        self._address = host.address
        self._querier = wire.Querier(host.name, host.address)
        self._ports = {
            Role.ENTRY: settings.ports.entry_peer,
            Role.SCHEDULER: settings.ports.scheduler_peer,
            Role.AGENT: settings.ports.agent_peer,
        }

    async def read_status(self, all_hosts: bool) -> Status:
        """Query daemons for their state.

        Parameters
        ----------
        all_hosts : bool
            Whether to query every host in the directory of this host's
            agent.

        Returns
        -------
        Status
            State of the daemons.
        """
        status = await self._query_hosts((self._address,))
        if not all_hosts:
            return status
        addresses = {
            member.address
            for process in status.processes
            for member in process.members
        }
        return await self._query_hosts(sorted(addresses | {self._address}))

    async def explain(self, request_id: RequestId) -> Explanation:
        """Query the home of a request and the schedulers about it.

        The home is the entry that alone dispatches the request.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.

        Returns
        -------
        Explanation
            Reports of the home and the schedulers.

        Raises
        ------
        UnreachableError
            If this host's agent does not answer.
        """
        agent = await self._query_status(self._get_local_daemon(Role.AGENT))
        daemons = [
            DaemonEndpoint(Role(member.role), member.address, member.peer_port)
            for member in agent.members
            if member.incarnation == request_id.incarnation
            or member.role == Role.SCHEDULER.value
        ]
        query = _ParallelQuery(
            functools.partial(self._query_request, str(request_id))
        )
        await query.run(daemons)
        return Explanation(
            str(request_id),
            next(iter(_filter_by_role(query.reports, Role.ENTRY)), None),
            tuple(
                report
                for report in _filter_by_role(query.reports, Role.SCHEDULER)
                if report.decisions
            ),
            tuple(query.unreached),
        )

    async def drain(self, role: Role, timeout_ms: float) -> DrainResult:
        """Drain a daemon of this host: it finishes its work and exits.

        Parameters
        ----------
        role : Role
            Kind of daemon.
        timeout_ms : float
            Maximum time to wait for it to exit, in ms.

        Returns
        -------
        DrainResult
            Whether it has exited.

        Raises
        ------
        UnreachableError
            If the daemon does not answer.
        """
        daemon = self._get_local_daemon(role)
        incarnation = (await self._query_status(daemon)).incarnation
        await self._start_drain(daemon, incarnation)
        is_gone = False
        with trio.move_on_after(to_seconds(timeout_ms)):
            await self._querier.wait_until_ended(
                daemon.address,
                daemon.port,
                incarnation,
            )
            is_gone = True
        return DrainResult(str(daemon), incarnation, is_gone)

    async def _start_drain(
        self, daemon: DaemonEndpoint, incarnation: str
    ) -> None:
        # A daemon without open work can exit before its reply is sent.
        try:
            text = await self._querier.ask(
                daemon.address,
                daemon.port,
                'drain',
                incarnation,
            )
        except (OSError, wire.NoReplyError):
            return
        try:
            wire.read_process_report(text)
        except wire.QueryError as error:
            raise UnreachableError(f'{daemon}: {error}') from error

    async def _query_hosts(self, addresses: Iterable[str]) -> Status:
        daemons = [
            DaemonEndpoint(role, address, self._ports[role])
            for address in addresses
            for role in DAEMONS
        ]
        query = _ParallelQuery(self._query_status)
        await query.run(daemons)
        return Status(
            tuple(sorted(query.reports, key=_get_report_order)),
            tuple(sorted(query.unreached, key=_get_unreached_order)),
        )

    async def _query_status(self, daemon: DaemonEndpoint) -> wire.ProcessReport:
        return await self._query(daemon, wire.read_process_report, 'status')

    async def _query_request(
        self,
        request_id: str,
        daemon: DaemonEndpoint,
    ) -> wire.RequestReport:
        read = wire.read_request_report
        return await self._query(daemon, read, 'explain', request_id)

    async def _query(
        self,
        daemon: DaemonEndpoint,
        read: Callable[[str], _Report],
        command: str,
        argument: str = '',
    ) -> _Report:
        try:
            text = await self._querier.ask(
                daemon.address,
                daemon.port,
                command,
                argument,
            )
            return read(text)
        except OSError as error:
            raise UnreachableError(
                f'{daemon} cannot be reached ({error}); check that it runs',
            ) from error
        except (wire.QueryError, WireError) as error:
            raise UnreachableError(f'{daemon}: {error}') from error

    def _get_local_daemon(self, role: Role) -> DaemonEndpoint:
        return DaemonEndpoint(role, self._address, self._ports[role])


class _ParallelQuery:
    """Queries many daemons in parallel, up to `MAX_QUERIES` at a time."""

    def __init__(
        self, query: Callable[[DaemonEndpoint], Awaitable[_Report]]
    ) -> None:
        self.reports: list[_Report] = []
        self.unreached: list[UnreachableProcess] = []
        self._query = query
        self._limiter = trio.CapacityLimiter(MAX_QUERIES)

    async def run(self, daemons: Iterable[DaemonEndpoint]) -> None:
        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                nursery.start_soon(self._query_one, daemon)

    async def _query_one(self, daemon: DaemonEndpoint) -> None:
        try:
            async with self._limiter:
                self.reports.append(await self._query(daemon))
        except UnreachableError as error:
            self.unreached.append(UnreachableProcess(str(daemon), str(error)))


def _filter_by_role(
    reports: Iterable[wire.RequestReport],
    role: Role,
) -> tuple[wire.RequestReport, ...]:
    return tuple(report for report in reports if report.role == role.value)


def _get_report_order(report: wire.ProcessReport) -> tuple[str, str]:
    return report.address, report.role


def _get_unreached_order(unreached: UnreachableProcess) -> str:
    return unreached.place
