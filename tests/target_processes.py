"""Targets that are processes, which can be killed and started again."""

import json
import signal
import subprocess
import sys
from typing import Final

import trio

from tests.nodes import BACKEND_PORT

# Number of the address of the first one.
FIRST_ADDRESS: Final = 200
FRAMINGS: Final = ('chunks', 'close')


class TargetProcess:
    """A target that is a process, with its entry in the store.

    Parameters
    ----------
    nodes : Processes
        Nodes that use it.
    number : int
        Number of its address and first name.
    events : int
        Number of events of a stream.
    pause_ms : float
        Delay before each event, and within a plain answer.
    framing : str, optional
        One of `FRAMINGS`; chosen by its number if not given.
    service : str
        Name of its service.

    Attributes
    ----------
    service, name : str
        Name of its service, and its instance id.
    version : str
        Software version.
    is_running : bool
        Whether it accepts connections and has an entry.
    """

    def __init__(
        self,
        nodes,
        number,
        events,
        pause_ms,
        framing='',
        service='engines',
    ):
        self.service = service
        self.name = f'process-{number}'
        self.version = 'v1'
        self.is_running = False
        self._store = nodes.fleet.store
        self._log_path = nodes.folder / f'process-{number}.log'
        self._address = nodes.fleet.address(FIRST_ADDRESS + number)
        framing = framing or FRAMINGS[number % len(FRAMINGS)]
        self._options = [str(events), str(pause_ms), framing]
        self._sequence = 0
        self._born = 0
        self._process = None
        self._former = set()

    async def start(self):
        """Start the process and write its entry."""
        command = [sys.executable, '-m', 'standins.killable', self._address]
        command += [str(BACKEND_PORT), *self._options, self.name, self.version]
        with self._log_path.open('ab') as log:
            self._process = await trio.lowlevel.open_process(
                command, stdout=subprocess.PIPE, stderr=log
            )
        line = await self._process.stdout.receive_some()
        self._born = json.loads(line)['born']
        self._sequence = 0
        self.is_running = True
        self.register()

    def register(self):
        """Write its entry and remove those of its former names."""
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': f'{self._address}:{BACKEND_PORT}',
            'zone': 'a',
            'version': self.version,
            'slots': 4,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        self._store.put(f'servers/{self.name}', entry)
        for name in self._former:
            self._store.delete(f'servers/{name}')

    def remove(self):
        """Remove its entry, as the store does after some silence."""
        self._store.delete(f'servers/{self.name}')

    def rename(self, name, version):
        """Take another name and software version from the next start on."""
        self._former.add(self.name)
        self.name = name
        self.version = version

    async def kill(self):
        """Kill the process and wait for its end."""
        self.is_running = False
        self._process.send_signal(signal.SIGKILL)
        await self._process.wait()

    def end(self):
        """Kill the process if there is one."""
        if self._process is not None:
            self._process.kill()
