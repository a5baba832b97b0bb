"""Measures the delay of short requests through the loss of a scheduler.

Run as ``python -m bench.takeover``; real processes on loopback, three hosts.
A request is sent every `PAUSE_MS` while the schedulers that own the pool are
killed, then frozen.
"""

import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
from typing import Final

import trio

from hornbeampulley.clock import MS_PER_SECOND, to_seconds
from standins.example import SMALL_WORKSPACE, publish_example
from standins.launcher import (
    CALLER_PORT,
    PLATFORM_PORT,
    LocalFleet,
)

PAUSE_MS: Final = 20.0
BEFORE: Final = 100
AFTER: Final = 250
HOSTS: Final = 3
ENGINES: Final = 3
ENTRY: Final = 1
PROMPT: Final = 'is the tine aligned '


@dataclasses.dataclass(frozen=True, slots=True)
class Delays:
    """Delays of requests in milliseconds.

    Attributes
    ----------
    name : str
        What was done meanwhile.
    amounts_ms : tuple of float
        One a request, sorted.
    failures : int
        Requests that were not answered with status 200.
    """

    name: str
    amounts_ms: tuple[float, ...]
    failures: int

    def __str__(self) -> str:
        """Return the delays as a line of a table."""
        count = len(self.amounts_ms)
        middle = self.amounts_ms[count // 2]
        late = self.amounts_ms[int(count * 0.99)]
        longest = self.amounts_ms[-1]
        return (
            f'| {self.name} | {count} | {middle:.0f} | {late:.0f} | '
            f'{longest:.0f} | {self.failures} |'
        )


class Prober:
    """Sends short requests of the top tier to one entry."""

    def __init__(self, fleet: LocalFleet, address: str) -> None:
        self._fleet = fleet
        self._url = f'http://{address}:{CALLER_PORT}/v1/requests'
        self._amounts_ms: list[float] = []
        self._failures = 0

    async def probe(self, name: str, count: int) -> Delays:
        """Send a number of requests, one every `PAUSE_MS`."""
        self._amounts_ms = []
        self._failures = 0
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._send, number)
                await trio.sleep(to_seconds(PAUSE_MS))
        return Delays(name, tuple(sorted(self._amounts_ms)), self._failures)

    async def _send(self, number: int) -> None:
        body = json.dumps({'prompt': f'{PROMPT}{number}', 'max_tokens': 1})
        headers = {
            'Hornbeam-Workspace': SMALL_WORKSPACE,
            'Hornbeam-Service': 'consult',
        }
        started = trio.current_time()
        reply = await self._fleet.request(
            'POST',
            self._url,
            body.encode(),
            headers,
        )
        elapsed = trio.current_time() - started
        self._amounts_ms.append(elapsed * MS_PER_SECOND)
        self._failures += reply.status != 200


async def start(fleet: LocalFleet) -> str:
    """Start the fleet and return the address of the entry to be used."""
    fleet.start_platform()
    url = f'http://{fleet.platform_address}:{PLATFORM_PORT}/hosts'
    await fleet.wait_listening(url)
    engines = {
        f'engine-{number}': fleet.start_target('engine', number)
        for number in range(1, ENGINES + 1)
    }
    services = {'service-11': fleet.start_target('service', 11)}
    addresses = [
        fleet.start_host(number, f'zone-{number}')
        for number in range(1, HOSTS + 1)
    ]
    await publish_example(fleet, engines, services)
    for address in addresses:
        await fleet.wait_entries(address, SMALL_WORKSPACE, HOSTS)
    return addresses[ENTRY - 1]


def find_owner(fleet: LocalFleet) -> str:
    """Return the name of the process that handed out the last lease."""
    newest = ('', '')
    for path in fleet.folder.glob('*-scheduler.log'):
        leases = [
            line.split('hlc=')[1]
            for line in path.read_text().splitlines()
            if 'event=lease_sent' in line
        ]
        if leases:
            newest = max(newest, (leases[-1], path.stem))
    return newest[1]


async def measure(folder: pathlib.Path) -> None:
    """Run the three parts and print a table."""
    fleet = LocalFleet(folder)
    try:
        prober = Prober(fleet, await start(fleet))
        print(
            '| meanwhile | requests | p50 ms | p99 ms | longest ms | failed |'
        )
        print('| --- | --- | --- | --- | --- | --- |')
        print(await prober.probe('nothing', BEFORE))
        fleet.send_signal(find_owner(fleet), signal.SIGKILL)
        print(await prober.probe('owner killed', AFTER))
        frozen = find_owner(fleet)
        fleet.send_signal(frozen, signal.SIGSTOP)
        print(await prober.probe('owner frozen', AFTER))
        fleet.send_signal(frozen, signal.SIGCONT)
        print(await prober.probe('frozen one woken', AFTER))
    finally:
        fleet.stop()


def main() -> None:
    """Measure in a folder that is removed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(measure, pathlib.Path(folder))


if __name__ == '__main__':
    sys.exit(main())
