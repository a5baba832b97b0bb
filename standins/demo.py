"""Demo of a fleet on loopback with a killed entry and a change ticket."""

import argparse
import contextlib
import dataclasses
import functools
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from typing import Any, Final

import trio

from hornbeampulley import porcelain
from hornbeampulley.client import Client
from hornbeampulley.clock import MS_PER_SECOND, to_seconds
from hornbeampulley.settings import Settings, read_settings
from hornbeampulley.timeline import Timeline, merge_logs
from standins import example
from standins._demo_orders import (
    CONSULT,
    Order,
    OrderResult,
    Tally,
    Waves,
    compose_orders,
    send_order,
)
from standins._demo_report import print_table, print_timeline
from standins.launcher import (
    CALLER_PORT,
    DAEMONS,
    PLATFORM_PORT,
    TARGET_PORT,
    LocalFleet,
    wait_until,
)

HOSTS: Final = 3
ENGINES: Final = (1, 2)
SERVICE: Final = 11
ENGINE_SLOTS: Final = 2
DEMO_TIMEOUT_MS: Final = 60_000
KILL_AFTER_MS: Final = 700
TICKET_AFTER_MS: Final = 1000
KILLED: Final = 1
LIVE_PROCESSES: Final = HOSTS * len(DAEMONS) - 1
MOVED_TIER: Final = 'urgent'


@dataclasses.dataclass(frozen=True, slots=True)
class RunningFleet:
    """A fleet that is ready to serve.

    Attributes
    ----------
    fleet : LocalFleet
        The processes of the fleet.
    addresses : tuple of str
        Addresses of the hosts.
    service : str
        Address of the plain service.
    """

    fleet: LocalFleet
    addresses: tuple[str, ...]
    service: str

    @property
    def seeds(self) -> tuple[str, ...]:
        """Base URLs of the entries."""
        return tuple(
            f'http://{address}:{CALLER_PORT}' for address in self.addresses
        )

    async def read_counters(self) -> dict[str, Any]:
        """Read from the service how often it ran each call."""
        url = f'http://{self.service}:{TARGET_PORT}/counters'
        return dict((await self.fleet.request('GET', url)).read_json())

    async def count_calls(self, body: str) -> int:
        """Return how often the service ran the call with this body."""
        counters = await self.read_counters()
        return int(counters['calls_by_body'].get(body, 0))


async def start_fleet(fleet: LocalFleet) -> RunningFleet:
    """Start the platform, targets and hosts, and wait until they serve.

    Parameters
    ----------
    fleet : LocalFleet
        A fleet with no process started.

    Returns
    -------
    RunningFleet
        The fleet, once each host lists the entries of all hosts.
    """
    fleet.start_platform()
    platform = f'http://{fleet.platform_address}:{PLATFORM_PORT}/hosts'
    await fleet.wait_listening(platform)
    slots = str(ENGINE_SLOTS)
    engines = {
        f'engine-{number}': fleet.start_target(
            'engine', number, '--slots', slots
        )
        for number in ENGINES
    }
    service = fleet.start_target('service', SERVICE)
    addresses = tuple(
        fleet.start_host(number + 1, f'zone-{"abc"[number]}')
        for number in range(HOSTS)
    )
    await example.publish_example(
        fleet,
        engines,
        {f'service-{SERVICE}': service},
        ENGINE_SLOTS,
    )
    for address in addresses:
        await fleet.wait_entries(address, example.WORKSPACE, HOSTS)
    return RunningFleet(fleet, addresses, service)


async def run_demo(folder: pathlib.Path) -> bool:
    """Run the demo and print its report.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.

    Returns
    -------
    bool
        Whether all answers were complete and correct and no other fault
        was found.
    """
    fleet = LocalFleet(folder)
    try:
        with trio.fail_after(to_seconds(DEMO_TIMEOUT_MS)):
            started = await start_fleet(fleet)
            return await _run_scenario(started)
    finally:
        fleet.stop()


async def serve_demo(folder: pathlib.Path) -> None:
    """Start the fleet and keep it running until interrupted.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.
    """
    fleet = LocalFleet(folder)
    try:
        started = await start_fleet(fleet)
        print(f'entries: {" ".join(started.seeds)}')
        print(f'workspaces: {example.WORKSPACE} {example.SMALL_WORKSPACE}')
        print(f'settings and logs: {folder}')
        print(f'export ENTRY={started.seeds[0]}')
        print('ends at Ctrl-C', flush=True)
        await trio.sleep_forever()
    finally:
        fleet.stop()


async def _run_scenario(started: RunningFleet) -> bool:
    fleet = started.fleet
    tally = Tally()
    waves = compose_orders()
    print(f'{HOSTS} hosts, {len(ENGINES)} engines and 1 service are up')
    async with _open_clients(started) as clients, trio.open_nursery() as tasks:
        send = functools.partial(_start_orders, tasks, clients, started, tally)
        send(waves.first)
        await trio.sleep(to_seconds(KILL_AFTER_MS))
        fleet.send_signal(f'host-{KILLED}-entry', signal.SIGKILL)
        open_count = len(waves.first) - len(tally.served)
        print(f'killed the entry of host-{KILLED}; {open_count} requests open')
        await trio.sleep(to_seconds(TICKET_AFTER_MS))
        await _move_tier(started)
        send(waves.second)
    timeline = merge_logs(fleet.read_logs())
    served = tuple(
        _add_tier(timeline, served)
        for served in sorted(tally.served, key=_get_number)
    )
    print_table(served, _name_hosts(started))
    print_timeline(timeline, _choose_traced(served).request_id)
    return await _report_faults(started, served, waves)


@contextlib.asynccontextmanager
async def _open_clients(
    started: RunningFleet,
) -> AsyncIterator[dict[str, Client]]:
    # Callers try the entries of their own availability zone first.
    first, *others = started.seeds
    big = Client((first, *others), example.WORKSPACE)
    small = Client((*others, first), example.SMALL_WORKSPACE)
    async with big, small:
        yield {client.workspace: client for client in (big, small)}


def _start_orders(
    tasks: trio.Nursery,
    clients: dict[str, Client],
    started: RunningFleet,
    tally: Tally,
    orders: tuple[Order, ...],
) -> None:
    for order in orders:
        client = clients[order.workspace]
        tasks.start_soon(send_order, client, order, started.count_calls, tally)


async def _move_tier(started: RunningFleet) -> None:
    """Publish a change ticket and wait until all live processes apply it."""
    rule = {
        'workspace': example.WORKSPACE,
        'service': 'consult',
        'tier': MOVED_TIER,
    }
    await started.fleet.publish_ticket(2, 'rules', [rule, *example.RULES])
    start_s = trio.current_time()
    settings = read_settings(started.fleet.folder / f'host-{HOSTS}-entry.ini')
    has_ticket = functools.partial(_has_ticket, settings)
    await wait_until(
        functools.partial(trio.to_thread.run_sync, has_ticket),
        'ticket 2',
    )
    took_ms = round((trio.current_time() - start_s) * MS_PER_SECOND)
    print(
        f'ticket 2 moved consultations of {example.WORKSPACE} to tier '
        f'{MOVED_TIER}; in force at every live process after {took_ms} ms',
    )


def _has_ticket(settings: Settings) -> bool:
    processes = porcelain.read_status(settings, all_hosts=True).processes
    numbers = [
        ticket.number
        for process in processes
        for ticket in process.tickets
        if ticket.scope == 'rules'
    ]
    return len(numbers) >= LIVE_PROCESSES and min(numbers) == 2


def _choose_traced(served: tuple[OrderResult, ...]) -> OrderResult:
    """Return the request to trace: the most often sent one that ran."""
    return max(served, key=lambda each: (each.ran == 'yes', each.attempts))


def _get_number(served: OrderResult) -> int:
    return served.order.number


def _add_tier(timeline: Timeline, served: OrderResult) -> OrderResult:
    for event in timeline.filter_request(served.request_id).events:
        if event.name == 'request_answered':
            return dataclasses.replace(served, tier=event.pairs['tier'])
    return served


def _name_hosts(started: RunningFleet) -> dict[str, str]:
    return {
        url: f'host-{number + 1}' for number, url in enumerate(started.seeds)
    }


async def _report_faults(
    started: RunningFleet,
    served: tuple[OrderResult, ...],
    waves: Waves,
) -> bool:
    order_count = len(waves.first + waves.second)
    counters = await started.read_counters()
    faults = [
        f'request {each.order.number} is not whole and right: {each.note}'
        for each in served
        if not each.is_correct
    ]
    faults += _find_repeated(counters)
    faults += _find_wrong_tier(served, waves)
    if len(served) != order_count:
        faults.append(f'{len(served)} of {order_count} requests ended')
    for fault in faults:
        print(f'FAULT {fault}')
    whole = sum(each.is_correct for each in served)
    bookings = len(counters['calls_by_body'])
    print(f'{whole} of {order_count} answers whole and right')
    print(f'{bookings} bookings, {len(_find_repeated(counters))} run twice')
    return not faults


def _find_wrong_tier(
    served: tuple[OrderResult, ...], waves: Waves
) -> list[str]:
    return [
        f'request {each.order.number} ran in tier {each.tier} after ticket 2'
        for each in served
        if each.order in waves.second
        and each.order.workspace == example.WORKSPACE
        and each.order.service == CONSULT
        and each.tier != MOVED_TIER
    ]


def _find_repeated(counters: dict[str, Any]) -> list[str]:
    return [
        f'{name} {text} ran {count} times'
        for name in ('calls_by_id', 'calls_by_body')
        for text, count in counters[name].items()
        if count > 1
    ]


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.demo',
        description='Runs a small fleet on loopback.',
    )
    parser.add_argument(
        '--serve',
        action='store_true',
        help='keep the fleet up until interrupted',
    )
    return parser.parse_args()


def main() -> int:
    """Run the demo; return 0 if no fault was found."""
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory(prefix='hornbeam-') as name:
        folder = pathlib.Path(name)
        if not arguments.serve:
            return int(not trio.run(run_demo, folder))
        try:
            trio.run(serve_demo, folder)
        except KeyboardInterrupt:
            print('ended')
    return 0


if __name__ == '__main__':
    sys.exit(main())
