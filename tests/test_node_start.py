"""Tests of changes and signals while a node starts, as a process."""

import contextlib
import os
import signal
import socket
import subprocess
import sys

import pytest

from hornbeampulley.platform.node import SETTINGS_VARIABLE
from tests.node_processes import SETTINGS
from tests.nodes import Fleet
from tests.start_stages import EVERY, REACHED

# Time from SIGTERM to SIGKILL on the platform.
GRACE_S = 8
# For the interpreter, all imports and the first gossip, beside load.
START_S = 30
GOSSIP_PORT = 7600
NO_SIGNAL = 0
MAX_DATAGRAM_BYTES = 65_536
SETTINGS_READ = 'open settings'
WAKEUP_OPENED = 'socket.__new__'
ADDRESS_BOUND = 'socket.bind'
STAGES = (
    'import hornbeampulley.node',
    'import trio',
    'import hornbeampulley.node._node',
    'import hornbeampulley.platform._store',
    SETTINGS_READ,
    WAKEUP_OPENED,
    ADDRESS_BOUND,
)


class Start:
    """A node that gets a signal at a stage of its start.

    Its settings name no seed but itself; the changed ones name an address at
    which the test listens for gossip.
    """

    def __init__(self, folder):
        fleet = Fleet(None)
        self.own = fleet.address(10)
        self.store = fleet.address(1)
        self.settings = folder / 'node.ini'
        self.changed = folder / 'changed.ini'
        self.seed = socket.socket(type=socket.SOCK_DGRAM)
        self.seed.bind((fleet.address(11), GOSSIP_PORT))
        self.seed.settimeout(1)
        self.settings.write_text(self.make_settings(self.own))

    def make_settings(self, seed):
        return SETTINGS.format(
            number=0,
            address=self.own,
            store=f'{self.store}:1',
            seeds=f'{seed}:8229',
        )

    def change_settings(self):
        """Let the settings change when the stage is reached."""
        host, _port = self.seed.getsockname()
        self.changed.write_text(self.make_settings(host))

    def run(self, number, stage):
        """Start the process, which sends itself a signal at a stage."""
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.start_stages',
                str(int(number)),
                f'open {self.settings}' if stage == SETTINGS_READ else stage,
                str(self.settings),
                str(self.changed),
            ],
            env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )


@pytest.fixture
def start(tmp_path):
    made = Start(tmp_path)
    yield made
    made.seed.close()


def wait_for_line(process, text=REACHED):
    """Read the process's output up to a line with a text."""
    for line in process.stdout:
        if text in line:
            return
    pytest.fail(f'ended with {process.wait()} before {text}')


def kill(process):
    process.kill()
    process.wait()
    process.stdout.close()


def wait_for_gossip(start, process):
    """Wait until the node sends gossip to the seed of the changed settings."""
    for _ in range(START_S):
        assert process.poll() is None
        with contextlib.suppress(TimeoutError):
            assert start.seed.recv(MAX_DATAGRAM_BYTES)
            return
    pytest.fail('the changed settings were not applied')


# A change of the settings after they were read, and before the node began to watch
# their file, was never applied.
@pytest.mark.parametrize('stage', [SETTINGS_READ, WAKEUP_OPENED, ADDRESS_BOUND])
def test_settings_that_change_while_the_node_starts_are_read(start, stage):
    start.change_settings()
    process = start.run(NO_SIGNAL, stage)
    try:
        wait_for_line(process)
        wait_for_gossip(start, process)
    finally:
        kill(process)


# SIGTERM in the imports ended the process by the signal, before its handlers were set.
@pytest.mark.parametrize('stage', [EVERY, *STAGES])
def test_sigterm_at_any_stage_of_the_start_ends_with_0(start, stage):
    process = start.run(signal.SIGTERM, stage)
    try:
        wait_for_line(process)
        assert process.wait(GRACE_S) == 0
    finally:
        kill(process)


# SIGHUP before the handlers were set ended the process; the settings that it told of
# were not read.
@pytest.mark.parametrize('stage', [EVERY, *STAGES])
def test_settings_are_read_after_sighup_at_any_stage(start, stage):
    start.change_settings()
    process = start.run(signal.SIGHUP, stage)
    try:
        wait_for_line(process)
        wait_for_gossip(start, process)
        process.send_signal(signal.SIGTERM)
        assert process.wait(GRACE_S) == 0
    finally:
        kill(process)


# SIGTERM once more while a node drained ended it by the signal, with what was open.
def test_more_signals_do_not_end_a_node_that_drains(start):
    process = start.run(signal.SIGTERM, ADDRESS_BOUND)
    try:
        wait_for_line(process, b'event=drain_started')
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            process.send_signal(number)
        wait_for_line(process, b'event=drain_ended')
        assert process.wait(GRACE_S) == 0
    finally:
        kill(process)
