"""Starts the daemons and stand-ins as processes on loopback addresses."""

import dataclasses
import functools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final

import httpcore
import trio

from hornbeampulley.clock import to_seconds

CALLER_PORT: Final = 8470
PLATFORM_PORT: Final = 9100
CONTROL_PORT: Final = 9101
TARGET_PORT: Final = 9200
READY_MS: Final = 15_000
POLL_MS: Final = 50
DAEMONS: Final = ('agent', 'scheduler', 'entry')
_FIRST_NETWORK: Final = 20
_NETWORKS: Final = 200


class NotReadyError(Exception):
    """The processes did not become ready in time; see their logs."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict
        Headers; names in lower case.
    body : bytes
        The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class LocalFleet:
    """Processes on a part of 127.0.0.0/8 that no other local fleet uses.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings files and logs.
    can_silence : bool
        Whether ``silence`` is available for daemons.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        can_silence: bool = False,
    ) -> None:
        self.folder = folder
        self._wrapper = ('standins.silencer',) if can_silence else ()
        self.network = _find_network()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._hosts: list[dict[str, str]] = []
        self._http = httpcore.AsyncConnectionPool(max_connections=200)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f'{self.network}.0.1'

    def start_platform(self, *options: str) -> None:
        """Start the platform stand-in (configuration and host list)."""
        self._start_module(
            'platform',
            'standins.platform',
            '--address',
            self.platform_address,
            '--port',
            str(PLATFORM_PORT),
            '--control-port',
            str(CONTROL_PORT),
            *options,
        )

    def start_target(self, kind: str, number: int, *options: str) -> str:
        """Start a target stand-in and add it to the host list.

        Parameters
        ----------
        kind : str
            ``engine`` or ``service``.
        number : int
            Number of the target, unique in this fleet.
        *options : str
            Command-line options of the stand-in.

        Returns
        -------
        str
            Its address.
        """
        address = f'{self.network}.2.{number}'
        name = f'{kind}-{number}'
        self._start_module(
            name,
            f'standins.{kind}',
            '--address',
            address,
            '--port',
            str(TARGET_PORT),
            *options,
        )
        self._add_host(name, address, 'target')
        return address

    def add_host(self, number: int, availability_zone: str) -> str:
        """Write the settings of an entry host and add it to the host list.

        Parameters
        ----------
        number : int
            Number of the host, unique in this fleet.
        availability_zone : str
            Availability zone of the host.

        Returns
        -------
        str
            Its address.
        """
        address = f'{self.network}.1.{number}'
        name = f'host-{number}'
        self._add_host(name, address, 'entry', availability_zone)
        for daemon in DAEMONS:
            path = self.folder / f'{name}-{daemon}.ini'
            path.write_text(self._format_settings(name, daemon, address))
        return address

    def start_daemon(self, number: int, daemon: str) -> None:
        """Start one daemon of a host added before."""
        name = f'host-{number}-{daemon}'
        self._start_module(
            name,
            *self._wrapper,
            f'hornbeampulley.programs.{daemon}',
            '--settings',
            str(self.folder / f'{name}.ini'),
        )

    def start_host(self, number: int, availability_zone: str) -> str:
        """Add a host and start its three daemons."""
        address = self.add_host(number, availability_zone)
        for daemon in DAEMONS:
            self.start_daemon(number, daemon)
        return address

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process started here."""
        self.processes[name].send_signal(number)

    def silence(self, name: str) -> None:
        """Make all open connections of a daemon silent permanently."""
        self.send_signal(name, signal.SIGUSR1)

    async def restart(self, name: str) -> None:
        """Kill a process started here and start it again."""
        self.processes[name].kill()
        await self.wait_exit(name)
        self._start_command(name)

    def kill_host(self, number: int) -> None:
        """Kill all daemons of a host at once."""
        for daemon in DAEMONS:
            self.send_signal(f'host-{number}-{daemon}', signal.SIGKILL)

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end and return its exit code."""
        process = self.processes[name]
        return await trio.to_thread.run_sync(process.wait)

    async def publish_hosts(self) -> None:
        """Publish the host list."""
        await self.control('PUT', '/hosts', {'hosts': self._hosts})

    async def mark_leaving(self, name: str) -> None:
        """Publish the host list with a host marked as leaving."""
        for host in self._hosts:
            if host['name'] == name:
                host['state'] = 'leaving'
        await self.publish_hosts()

    async def publish_ticket(
        self,
        number: int,
        scope: str,
        state: list[dict[str, Any]],
    ) -> None:
        """Publish a change ticket."""
        ticket = {'ticket': number, 'scope': scope, 'state': state}
        await self.control('PUT', f'/config/tickets/{scope}', ticket)

    async def control(self, method: str, path: str, document: Any) -> HttpReply:
        """Make a request to the control port of the platform."""
        url = f'http://{self.platform_address}:{CONTROL_PORT}{path}'
        return await self.request(method, url, json.dumps(document).encode())

    async def request(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Make an HTTP request and read the complete response."""
        response = await self._http.request(
            method,
            url,
            headers=list((headers or {}).items()),
            content=body,
        )
        decoded = {
            name.decode().lower(): text.decode()
            for name, text in response.headers
        }
        return HttpReply(response.status, decoded, response.content)

    async def wait_listening(self, url: str) -> None:
        """Wait until an HTTP server answers, with any status."""
        await wait_until(functools.partial(self._is_answering, url), url)

    async def wait_entries(
        self,
        address: str,
        workspace: str,
        count: int,
    ) -> None:
        """Wait until an entry lists exactly ``count`` entries."""
        url = f'http://{address}:{CALLER_PORT}/v1/entries?workspace={workspace}'
        await wait_until(
            functools.partial(self._lists_entries, url, count), url
        )

    def read_logs(self) -> Iterator[list[str]]:
        """Read the logs of all daemons."""
        for path in sorted(self.folder.glob('*.log')):
            yield path.read_text().splitlines()

    def stop(self) -> None:
        """Kill all processes started here and wait for their end."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    async def _is_answering(self, url: str) -> bool:
        try:
            await self.request('GET', url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return True

    async def _lists_entries(self, url: str, count: int) -> bool:
        try:
            reply = await self.request('GET', url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return len(reply.read_json().get('entries', ())) == count

    def _add_host(
        self,
        name: str,
        address: str,
        role: str,
        availability_zone: str = 'zone-a',
    ) -> None:
        self._hosts.append(
            {
                'name': name,
                'address': address,
                'availability_zone': availability_zone,
                'role': role,
                'state': 'live',
            },
        )

    def _format_settings(self, name: str, daemon: str, address: str) -> str:
        host = next(host for host in self._hosts if host['name'] == name)
        return '\n'.join(
            (
                '[host]',
                f'name = {name}',
                f'address = {address}',
                f'availability_zone = {host["availability_zone"]}',
                '[platform]',
                f'address = {self.platform_address}',
                f'port = {PLATFORM_PORT}',
                '[logs]',
                f'file = {self.folder / f"{name}-{daemon}.log"}',
                '',
            ),
        )

    def _start_module(self, name: str, *arguments: str) -> None:
        self._commands[name] = [sys.executable, '-m', *arguments]
        self._start_command(name)

    def _start_command(self, name: str) -> None:
        with (self.folder / f'{name}.err').open('ab') as errors:
            self.processes[name] = subprocess.Popen(
                self._commands[name],
                stdout=errors,
                stderr=errors,
            )


def _find_network() -> str:
    """Return the prefix of a /16 network that no other local fleet uses."""
    for number in range(_NETWORKS):
        second_octet = _FIRST_NETWORK + (os.getpid() + number) % _NETWORKS
        network = f'127.{second_octet}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.0.1', PLATFORM_PORT))
            except OSError:
                continue
        return network
    raise NotReadyError('all networks for fleets are in use; end some fleets')


async def wait_until(
    check: Callable[[], Awaitable[bool]],
    what: str,
) -> None:
    """Poll a check until it returns true.

    Parameters
    ----------
    check : async callable
        Returns whether the condition holds.
    what : str
        Description of the condition for the error message.

    Raises
    ------
    NotReadyError
        If the check is still false after ``READY_MS``.
    """
    for _ in range(READY_MS // POLL_MS):
        if await check():
            return
        await trio.sleep(to_seconds(POLL_MS))
    raise NotReadyError(f'{what} is not ready; read the logs')
