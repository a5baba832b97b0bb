"""Start-up shared by all daemons: settings, logs, signals and identity."""

import argparse
import dataclasses
import logging
import os
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from hornbeampulley.clock import Clock
from hornbeampulley.errors import SettingsError
from hornbeampulley.logs import LogOrigin, configure_logs, log_event
from hornbeampulley.membership import Role
from hornbeampulley.metrics import Metrics, open_metrics
from hornbeampulley.settings import Settings, read_settings
from hornbeampulley.timeline import HybridClock
from hornbeampulley.wire.generated.peer import ttypes

EXIT_SETTINGS: Final = 2
EXIT_CUT_OFF: Final = 3
_INCARNATION_BYTES: Final = 8
_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One run of a program.

    Attributes
    ----------
    role : Role
        Role of the process.
    incarnation : str
        Random unique name of this run of the process.
    settings : Settings
        Settings of the process.
    hybrid : HybridClock
        Hybrid logical clock for the events of the process.
    started_ms : int
        Wall time of the start, in ms.
    metrics : Metrics
        Client of the metrics server.
    """

    role: Role
    incarnation: str
    settings: Settings
    hybrid: HybridClock
    started_ms: int
    metrics: Metrics = dataclasses.field(default_factory=Metrics)

    def make_hello(self, peer_port: int = 0) -> ttypes.Hello:
        """Make the hello message of this process.

        Parameters
        ----------
        peer_port : int
            Port on which the process listens for peers; 0 if it does not.

        Returns
        -------
        ttypes.Hello
            The first message on each link.
        """
        is_entry = self.role is Role.ENTRY
        return ttypes.Hello(
            role=self.role.value,
            host=self.settings.host.name,
            incarnation=self.incarnation,
            availability_zone=self.settings.host.availability_zone,
            address=self.settings.host.address,
            caller_port=self.settings.ports.caller if is_entry else 0,
            peer_port=peer_port,
            process_number=os.getpid(),
        )


def make_process(role: Role, settings: Settings) -> Process:
    """Make the process of this run, with a new identity.

    Parameters
    ----------
    role : Role
        Role of the process.
    settings : Settings
        Settings of the process.

    Returns
    -------
    Process
        Process with a new incarnation.
    """
    wall = Clock(time.time)
    return Process(
        role,
        secrets.token_hex(_INCARNATION_BYTES),
        settings,
        HybridClock(wall.now),
        int(wall.now()),
        open_metrics(
            settings.metrics.statsd_address,
            settings.metrics.statsd_port,
            f'hornbeam.{role.value}',
        ),
    )


def run_daemon(
    role: Role,
    serve: Callable[[Process, trio.Event], Awaitable[None]],
) -> None:
    """Run a daemon until a signal ends it; does not return.

    Parameters
    ----------
    role : Role
        Role of the process.
    serve : async callable
        Serves until the event is set and the open work is done.
    """
    parser = argparse.ArgumentParser(
        prog=f'hornbeam-{role.value}',
        description=f'The {role.value} process of hornbeampulley.',
    )
    parser.add_argument('--settings', required=True, help='INI file')
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_SETTINGS)
    process = make_process(role, settings)
    configure_logs(
        LogOrigin(role.value, settings.host.name, process.incarnation),
        lambda: process.hybrid.tick().encode(),
        settings.logs.level,
        settings.logs.file,
    )
    sys.exit(trio.run(_serve_until_signal, process, serve))


async def _serve_until_signal(
    process: Process,
    serve: Callable[[Process, trio.Event], Awaitable[None]],
) -> int:
    drain = trio.Event()
    log_event(_log, 'process_started', role=process.role.value)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, drain, nursery.cancel_scope)
        await serve(process, drain)
        nursery.cancel_scope.cancel()
        log_event(_log, 'process_ended')
        return 0
    log_event(_log, 'process_cut_off')
    return EXIT_CUT_OFF


async def _watch_signals(drain: trio.Event, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log_event(_log, 'signal_received', number=number)
            if drain.is_set():
                scope.cancel()
            drain.set()
