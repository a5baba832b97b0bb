"""The demo: a small fleet on loopback, a killed entry and a change ticket."""

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
    Served,
    Tally,
    Waves,
    compose_orders,
    send_order,
)
from standins._demo_report import print_table, print_time_line
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
GIVE_UP_MS: Final = 60_000
KILL_AFTER_MS: Final = 700
TICKET_AFTER_MS: Final = 1000
KILLED: Final = 1
LIVE_PROCESSES: Final = HOSTS * len(DAEMONS) - 1
MOVED_TIER: Final = 'urgent'


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A fleet that serves.

    Attributes
    ----------
    fleet : LocalFleet
        Its processes.
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
        """Read how often the service ran each call."""
        url = f'http://{self.service}:{TARGET_PORT}/counters'
        return dict((await self.fleet.request('GET', url)).read_json())

    async def count_calls(self, body: str) -> int:
        """Count the calls of a body that the service ran."""
        counters = await self.read_counters()
        return int(counters['calls_by_body'].get(body, 0))


async def start_fleet(fleet: LocalFleet) -> Started:
    """Start the platform, targets and hosts, and wait until they serve.

    Parameters
    ----------
    fleet : LocalFleet
        Not started.

    Returns
    -------
    Started
        Every host lists every entry.
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
    return Started(fleet, addresses, service)


async def run_demo(folder: pathlib.Path) -> bool:
    """Run the demo and print its report.

    Parameters
    ----------
    folder : pathlib.Path
        Takes settings and logs.

    Returns
    -------
    bool
        Whether each answer was whole and right.
    """
    fleet = LocalFleet(folder)
    try:
        with trio.fail_after(to_seconds(GIVE_UP_MS)):
            started = await start_fleet(fleet)
            return await _play(started)
    finally:
        fleet.stop()


async def serve_demo(folder: pathlib.Path) -> None:
    """Start the fleet and keep it up until interrupted.

    Parameters
    ----------
    folder : pathlib.Path
        Takes settings and logs.
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


async def _play(started: Started) -> bool:
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
    line = merge_logs(fleet.read_logs())
    served = tuple(
        _add_tier(line, served)
        for served in sorted(tally.served, key=_get_number)
    )
    print_table(served, _name_hosts(started))
    print_time_line(line, _choose_shown(served).request_id)
    return await _judge(started, served, waves)


@contextlib.asynccontextmanager
async def _open_clients(started: Started) -> AsyncIterator[dict[str, Client]]:
    # Callers ask the entries of their own availability zone first.
    first, *others = started.seeds
    big = Client((first, *others), example.WORKSPACE)
    small = Client((*others, first), example.SMALL_WORKSPACE)
    async with big, small:
        yield {client.workspace: client for client in (big, small)}


def _start_orders(
    tasks: trio.Nursery,
    clients: dict[str, Client],
    started: Started,
    tally: Tally,
    orders: tuple[Order, ...],
) -> None:
    for order in orders:
        client = clients[order.workspace]
        tasks.start_soon(send_order, client, order, started.count_calls, tally)


async def _move_tier(started: Started) -> None:
    """Apply a change ticket and wait until every live host has it."""
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


def _choose_shown(served: tuple[Served, ...]) -> Served:
    """Return a request that was repeated, if there is one."""
    return max(served, key=lambda each: (each.ran == 'yes', each.attempts))


def _get_number(served: Served) -> int:
    return served.order.number


def _add_tier(line: Timeline, served: Served) -> Served:
    for event in line.filter_request(served.request_id).events:
        if event.name == 'request_answered':
            return dataclasses.replace(served, tier=event.pairs['tier'])
    return served


def _name_hosts(started: Started) -> dict[str, str]:
    return {
        url: f'host-{number + 1}' for number, url in enumerate(started.seeds)
    }


async def _judge(
    started: Started,
    served: tuple[Served, ...],
    waves: Waves,
) -> bool:
    order_count = len(waves.first + waves.second)
    counters = await started.read_counters()
    faults = [
        f'request {each.order.number} is not whole and right: {each.note}'
        for each in served
        if not each.is_right
    ]
    faults += _find_doubled(counters)
    faults += _find_unmoved(served, waves)
    if len(served) != order_count:
        faults.append(f'{len(served)} of {order_count} requests ended')
    for fault in faults:
        print(f'FAULT {fault}')
    whole = sum(each.is_right for each in served)
    bookings = len(counters['calls_by_body'])
    print(f'{whole} of {order_count} answers whole and right')
    print(f'{bookings} bookings, {len(_find_doubled(counters))} run twice')
    return not faults


def _find_unmoved(served: tuple[Served, ...], waves: Waves) -> list[str]:
    return [
        f'request {each.order.number} ran in tier {each.tier} after ticket 2'
        for each in served
        if each.order in waves.second
        and each.order.workspace == example.WORKSPACE
        and each.order.service == CONSULT
        and each.tier != MOVED_TIER
    ]


def _find_doubled(counters: dict[str, Any]) -> list[str]:
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
    """Run the demo; 0 if each answer was whole and right."""
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
