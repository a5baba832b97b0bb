"""The queries behind the functions for operators."""

import functools
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

import trio

from hornbeampulley import wire
from hornbeampulley._porcelain_kinds import (
    Drain,
    Explanation,
    NotReachedError,
    Place,
    Status,
    Unreached,
)
from hornbeampulley.clock import to_seconds
from hornbeampulley.errors import WireError
from hornbeampulley.identity import RequestId
from hornbeampulley.membership import Role
from hornbeampulley.settings import Settings

DAEMONS: Final = (Role.ENTRY, Role.SCHEDULER, Role.AGENT)
MAX_QUERIES: Final = 16
_Report = TypeVar('_Report')


class Asker:
    """Asks the daemons of this host and of others.

    Parameters
    ----------
    settings : Settings
        Of this host; the ports are the same on every host.
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
        """Ask daemons for their state.

        Parameters
        ----------
        all_hosts : bool
            Whether to ask every host in the directory of this host's agent.

        Returns
        -------
        Status
            Of the daemons asked.
        """
        status = await self._read_hosts((self._address,))
        if not all_hosts:
            return status
        addresses = {
            member.address
            for process in status.processes
            for member in process.members
        }
        return await self._read_hosts(sorted(addresses | {self._address}))

    async def explain(self, request_id: RequestId) -> Explanation:
        """Ask the home of a request and the schedulers about it.

        Parameters
        ----------
        request_id : RequestId
            Its id.

        Returns
        -------
        Explanation
            Their words.

        Raises
        ------
        NotReachedError
            If this host's agent does not answer.
        """
        agent = await self._ask_status(self._find_place(Role.AGENT))
        places = [
            Place(Role(member.role), member.address, member.peer_port)
            for member in agent.members
            if member.incarnation == request_id.incarnation
            or member.role == Role.SCHEDULER.value
        ]
        gather = _Gathering(
            functools.partial(self._explain_at, str(request_id))
        )
        await gather.run(places)
        return Explanation(
            str(request_id),
            next(iter(_select(gather.reports, Role.ENTRY)), None),
            tuple(
                report
                for report in _select(gather.reports, Role.SCHEDULER)
                if report.decisions
            ),
            tuple(gather.unreached),
        )

    async def drain(self, role: Role, timeout_ms: float) -> Drain:
        """Let a daemon of this host finish its work and end.

        Parameters
        ----------
        role : Role
            Which daemon.
        timeout_ms : float
            Longest time to wait for its end.

        Returns
        -------
        Drain
            Whether it has ended.

        Raises
        ------
        NotReachedError
            If it does not answer.
        """
        place = self._find_place(role)
        incarnation = (await self._ask_status(place)).incarnation
        await self._start_drain(place, incarnation)
        is_gone = False
        with trio.move_on_after(to_seconds(timeout_ms)):
            await self._querier.wait_gone(
                place.address,
                place.port,
                incarnation,
            )
            is_gone = True
        return Drain(str(place), incarnation, is_gone)

    async def _start_drain(self, place: Place, incarnation: str) -> None:
        # A daemon without work can end before its reply is on the wire.
        try:
            text = await self._querier.ask(
                place.address,
                place.port,
                'drain',
                incarnation,
            )
        except (OSError, wire.NoReplyError):
            return
        try:
            wire.read_process_report(text)
        except wire.QueryError as error:
            raise NotReachedError(f'{place}: {error}') from error

    async def _read_hosts(self, addresses: Iterable[str]) -> Status:
        places = [
            Place(role, address, self._ports[role])
            for address in addresses
            for role in DAEMONS
        ]
        gather = _Gathering(self._ask_status)
        await gather.run(places)
        return Status(
            tuple(sorted(gather.reports, key=_get_order)),
            tuple(sorted(gather.unreached, key=_get_place)),
        )

    async def _ask_status(self, place: Place) -> wire.ProcessReport:
        return await self._ask(place, wire.read_process_report, 'status')

    async def _explain_at(
        self,
        request_id: str,
        place: Place,
    ) -> wire.RequestReport:
        read = wire.read_request_report
        return await self._ask(place, read, 'explain', request_id)

    async def _ask(
        self,
        place: Place,
        read: Callable[[str], _Report],
        command: str,
        argument: str = '',
    ) -> _Report:
        try:
            text = await self._querier.ask(
                place.address,
                place.port,
                command,
                argument,
            )
            return read(text)
        except OSError as error:
            raise NotReachedError(
                f'{place} cannot be reached ({error}); check that it runs',
            ) from error
        except (wire.QueryError, WireError) as error:
            raise NotReachedError(f'{place}: {error}') from error

    def _find_place(self, role: Role) -> Place:
        return Place(role, self._address, self._ports[role])


class _Gathering:
    """Asks many places at once, but a bounded number."""

    def __init__(self, ask: Callable[[Place], Awaitable[_Report]]) -> None:
        self.reports: list[_Report] = []
        self.unreached: list[Unreached] = []
        self._ask = ask
        self._limiter = trio.CapacityLimiter(MAX_QUERIES)

    async def run(self, places: Iterable[Place]) -> None:
        async with trio.open_nursery() as nursery:
            for place in places:
                nursery.start_soon(self._ask_one, place)

    async def _ask_one(self, place: Place) -> None:
        try:
            async with self._limiter:
                self.reports.append(await self._ask(place))
        except NotReachedError as error:
            self.unreached.append(Unreached(str(place), str(error)))


def _select(
    reports: Iterable[wire.RequestReport],
    role: Role,
) -> tuple[wire.RequestReport, ...]:
    return tuple(report for report in reports if report.role == role.value)


def _get_order(report: wire.ProcessReport) -> tuple[str, str]:
    return report.address, report.role


def _get_place(unreached: Unreached) -> str:
    return unreached.place
