"""Tests of nodes as real processes that are killed, paused and restarted."""

import os
import signal
import sys

import trio

from hornbeampulley.platform.node import SETTINGS_VARIABLE
from tests.nodes import STORE_PORT, Fleet, wait_until

NODES = 3
CALLERS = 6
CALLS = 25
# Ends of requests that promise that they have not run.
REFUSALS = (429, 503)
SETTINGS = """
[host]
name = host-{number}
address = {address}
availability_zone = a

[listen]
callers = {address}:8221
readiness = {address}:8224
directory = {address}:8220
peers = {address}:8229

[store]
address = {store}

[peers]
seeds = {seeds}
"""


class Processes:
    """Nodes as processes, before the store and the backends of a fleet."""

    def __init__(self, fleet, folder):
        self.fleet = fleet
        self.folder = folder
        self.running = {}

    def address(self, number):
        return self.fleet.address(10 + number)

    async def start(self, number):
        """Start a node, in place of one that has ended."""
        path = self.folder / f'node-{number}.ini'
        seeds = [f'{self.address(one)}:8229' for one in range(NODES)]
        text = SETTINGS.format(
            number=number,
            address=self.address(number),
            store=f'{self.fleet.address(1)}:{STORE_PORT}',
            seeds=', '.join(seeds),
        )
        path.write_text(text)
        with (self.folder / f'node-{number}.log').open('ab') as log:
            self.running[number] = await trio.lowlevel.open_process(
                [sys.executable, '-m', 'hornbeampulley.platform.node'],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
            )

    def signal(self, number, which):
        """Send a signal to a node."""
        self.running[number].send_signal(which)

    async def replace(self, number):
        """Kill a node and start another in its place."""
        self.signal(number, signal.SIGKILL)
        await self.running[number].wait()
        await self.start(number)

    def end(self):
        """End all nodes."""
        for process in self.running.values():
            process.kill()

    async def call(self, number, path, request_id):
        """Send a request to a node; 0 stands for no whole answer."""
        try:
            with trio.move_on_after(6):
                status, _, _ = await self.fleet.call_at(
                    self.address(number),
                    path,
                    body=b'x',
                    request_id=request_id,
                )
                return status
        except (OSError, trio.BrokenResourceError):
            # The node is down; a caller would go elsewhere.
            await trio.sleep(0.05)
        return 0

    async def wait_served(self, number):
        """Wait until a node serves again."""
        served = []

        async def ask():
            while not served:
                if await self.call(number, '/look/a', b'%032x' % 1) == 200:
                    served.append(number)

        with trio.fail_after(30):
            await ask()


def run_processes(scenario, folder):
    """Run a scenario against a store, backends and nodes as processes."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.start_store()
            for service in ('engines', 'ledger'):
                fleet.add_backend(f'{service}-1', service)
                fleet.add_backend(f'{service}-2', service)
            nodes = Processes(fleet, folder)
            try:
                for number in range(NODES):
                    await nodes.start(number)
                for number in range(NODES):
                    await nodes.wait_served(number)
                await scenario(nodes)
            finally:
                nodes.end()
            nursery.cancel_scope.cancel()

    trio.run(main)


def count_runs(nodes, request_id):
    backends = nodes.fleet.backends.values()
    return sum(one.runs[request_id] for one in backends)


def check_ends(nodes, ends):
    """Check that each booking ran as often as its caller was told."""
    assert len(ends) == CALLERS * CALLS
    assert 200 in ends.values()
    for request_id, status in ends.items():
        runs = count_runs(nodes, request_id)
        assert runs <= 1, request_id
        if status == 200:
            assert runs == 1, request_id
        if status in REFUSALS:
            assert runs == 0, request_id


async def book_all(nodes, ends, caller):
    """Book at the nodes in turn, each booking under its own id."""
    for number in range(CALLS):
        request_id = b'%016x' % (caller * CALLS + number)
        node = (caller + number) % NODES
        ends[request_id] = await nodes.call(node, '/once/a', request_id)


def test_no_booking_runs_twice_while_nodes_are_killed_and_paused(tmp_path):
    async def scenario(nodes):
        ends = {}
        async with trio.open_nursery() as nursery:
            for caller in range(CALLERS):
                nursery.start_soon(book_all, nodes, ends, caller)
            for number in range(NODES):
                await wait_until(lambda: len(ends) > 20 * number)  # noqa: B023
                nodes.signal((number + 1) % NODES, signal.SIGSTOP)
                await nodes.replace(number)
                nodes.signal((number + 1) % NODES, signal.SIGCONT)
        check_ends(nodes, ends)
        for number in range(NODES):
            await nodes.wait_served(number)

    run_processes(scenario, tmp_path)


def test_all_are_told_to_end_in_turn_while_requests_come(tmp_path):
    async def scenario(nodes):
        ends = {}
        async with trio.open_nursery() as nursery:
            for caller in range(CALLERS):
                nursery.start_soon(book_all, nodes, ends, caller)
            for number in range(NODES):
                nodes.signal(number, signal.SIGTERM)
                await nodes.running[number].wait()
                assert nodes.running[number].returncode == 0
                await nodes.start(number)
                await nodes.wait_served(number)
        check_ends(nodes, ends)

    run_processes(scenario, tmp_path)
