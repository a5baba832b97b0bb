"""Runs a node as a process until it receives a signal to end."""

import logging
import os
import pathlib
import secrets
import signal
import sys
import time
from collections.abc import AsyncIterator
from typing import Final

import trio

from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import SettingsError
from hornbeampulley.logs import KeyValueFormatter, LogOrigin, log_event
from hornbeampulley.node._adapters import Adapter, Identity
from hornbeampulley.node._drain import drain_node
from hornbeampulley.node._log_output import BoundedHandler, install_handler
from hornbeampulley.node._node import ROLE, Node
from hornbeampulley.node._settings import NodeSettings
from hornbeampulley.node._settings_file import SettingsFile
from hornbeampulley.timeline import HybridClock

EXIT_SETTINGS: Final = 2
CHECK_SETTINGS_MS: Final = 1000.0
REPORT_LIMITS_MS: Final = 1000.0
_INCARNATION_BYTES: Final = 8
_STANDARD_OUTPUT: Final = 1
_log = logging.getLogger(__name__)


def run_node(path: pathlib.Path, adapter: Adapter) -> int:
    """Run a node.

    Parameters
    ----------
    path : pathlib.Path
        Path of the settings file.
    adapter : Adapter
        Adapter for the platform.

    Returns
    -------
    int
        Exit code of the process.
    """
    settings_file = SettingsFile(path)
    try:
        settings = settings_file.read()
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_SETTINGS
    identity = Identity(
        secrets.token_hex(_INCARNATION_BYTES),
        int(Clock(time.time).now()),
    )
    handler = _set_up_logging(settings, identity)
    trio.run(_serve, settings, identity, adapter, settings_file, handler)
    return 0


def _set_up_logging(
    settings: NodeSettings, identity: Identity
) -> BoundedHandler:
    hybrid = HybridClock(Clock(time.time).now)
    origin = LogOrigin(ROLE, settings.host.name, identity.incarnation)
    formatter = KeyValueFormatter(origin, lambda: hybrid.tick().encode())
    handler = BoundedHandler(
        _STANDARD_OUTPUT, Clock(), settings.limits.warning_lines_per_s
    )
    install_handler(handler, formatter, settings.logs.level)
    return handler


async def _serve(
    settings: NodeSettings,
    identity: Identity,
    adapter: Adapter,
    settings_file: SettingsFile,
    handler: BoundedHandler,
) -> None:
    log_event(
        _log,
        'process_started',
        zone=settings.host.availability_zone,
        process=os.getpid(),
        store=settings.store.address,
    )
    with (
        trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as ends,
        trio.open_signal_receiver(signal.SIGHUP) as reloads,
    ):
        async with trio.open_nursery() as nursery:
            node = Node(settings, identity, adapter, nursery)
            node.start()
            nursery.start_soon(_watch_settings, node, settings_file, reloads)
            nursery.start_soon(_report_limits, node, handler)
            await _wait_for_signal(ends)
            await drain_node(node)
            nursery.cancel_scope.cancel()
        log_event(_log, 'process_ended')


async def _wait_for_signal(signals: AsyncIterator[int]) -> None:
    number = await anext(signals)
    log_event(_log, 'signal_received', number=number)


async def _watch_settings(
    node: Node, settings_file: SettingsFile, signals: AsyncIterator[int]
) -> None:
    """Reload changed settings; check the file periodically and on SIGHUP."""
    while True:
        with trio.move_on_after(to_seconds(CHECK_SETTINGS_MS)):
            number = await anext(signals)
            log_event(_log, 'signal_received', number=number)
        if settings_file.has_changed():
            _reload(node, settings_file)


def _reload(node: Node, settings_file: SettingsFile) -> None:
    try:
        settings = settings_file.read()
    except SettingsError as error:
        log_event(
            _log,
            'settings_refused',
            severity=logging.WARNING,
            error=error,
        )
        return
    node.apply_settings(settings)


async def _report_limits(node: Node, handler: BoundedHandler) -> None:
    while True:
        await trio.sleep(to_seconds(REPORT_LIMITS_MS))
        node.client_limits.reports.write()
        lost = handler.reset_lost()
        if lost:
            node.counters.count_lost_lines(lost)
            log_event(_log, 'lines_lost', count=lost)
