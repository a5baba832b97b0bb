"""Measures memory and processor time of the daemons as real processes.

Run as ``python -m bench.daemons``; a fleet of three hosts on loopback does
nothing for a while, then answers short calls of a plain service one by one.
"""

import json
import pathlib
import tempfile
from typing import Final

import trio

from bench.takeover import start
from hornbeampulley.clock import to_seconds
from standins.example import WORKSPACE
from standins.launcher import CALLER_PORT, LocalFleet

IDLE_MS: Final = 10_000.0
CALLS: Final = 300
TICK_MS: Final = 10.0
KB_PER_MB: Final = 1024
_USER_TIME: Final = 13
_SYSTEM_TIME: Final = 14


def read_memory_mb(number: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f'/proc/{number}/status').read_text()
    line = next(one for one in text.splitlines() if one.startswith('VmRSS'))
    return int(line.split()[1]) / KB_PER_MB


def read_cpu_ms(number: int) -> float:
    """Return the processor time of a process in ms."""
    fields = pathlib.Path(f'/proc/{number}/stat').read_text().split()
    ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
    return ticks * TICK_MS


class Usage:
    """Processor time of all daemons since a moment.

    Parameters
    ----------
    fleet : LocalFleet
        Its daemons run.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._numbers = {
            name: process.pid
            for name, process in sorted(fleet.processes.items())
            if name.startswith('host-')
        }
        self._before = self._read()

    def list_lines(self, units: float, unit: str) -> list[str]:
        """Return lines of a table: time a unit, and memory now."""
        spent = self._read()
        return [
            f'| {name} | {(spent[name] - self._before[name]) / units:.2f} '
            f'{unit} | {read_memory_mb(number):.1f} MB |'
            for name, number in self._numbers.items()
        ]

    def _read(self) -> dict[str, float]:
        return {
            name: read_cpu_ms(number) for name, number in self._numbers.items()
        }


async def call_service(fleet: LocalFleet, address: str) -> None:
    """Make short calls one by one."""
    url = f'http://{address}:{CALLER_PORT}/v1/requests'
    headers = {
        'Hornbeam-Workspace': WORKSPACE,
        'Hornbeam-Service': 'status',
    }
    body = json.dumps({'order': 'x'}).encode()
    for _ in range(CALLS):
        await fleet.request('POST', url, body, headers)


async def measure(folder: pathlib.Path) -> None:
    """Run both parts and print a table of each."""
    fleet = LocalFleet(folder)
    try:
        address = await start(fleet)
        idle = Usage(fleet)
        await trio.sleep(to_seconds(IDLE_MS))
        seconds = to_seconds(IDLE_MS)
        print('\n'.join(idle.list_lines(seconds, 'ms a second, idle')))
        busy = Usage(fleet)
        await call_service(fleet, address)
        print('\n'.join(busy.list_lines(CALLS, 'ms a call')))
    finally:
        fleet.stop()


def main() -> None:
    """Measure in a folder that is removed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(measure, pathlib.Path(folder))


if __name__ == '__main__':
    main()
