"""The entry process: serves callers over HTTP and dispatches to targets.

The entry that a request id belongs to is the home of the request.
"""

import functools
import logging
from typing import Final

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from hornbeampulley import wire
from hornbeampulley.clock import to_seconds
from hornbeampulley.identity import Ledger, LedgerLimits
from hornbeampulley.logs import log_event
from hornbeampulley.membership import Role
from hornbeampulley.pipeline import (
    CallerInterface,
    Forwarder,
    Home,
    TargetClient,
)
from hornbeampulley.programs._entry_reports import (
    describe_entry,
    explain_request,
)
from hornbeampulley.programs._execution_queries import ExecutionQueries
from hornbeampulley.programs._fleet import Fleet, follow_agent
from hornbeampulley.programs._process import Process, run_daemon
from hornbeampulley.programs._queries import Subject, answer_query
from hornbeampulley.programs._scheduler_links import SchedulerLinks
from hornbeampulley.wire.generated.peer import ttypes

TICK_MS: Final = 100.0
DEREGISTRATION_WAIT_MS: Final = 1500.0
MAX_BACKLOG: Final = 1024
# Long, since a request may wait in the socket while the host is overloaded.
KEEP_ALIVE_S: Final = 75.0
_log = logging.getLogger(__name__)


def main() -> None:
    """Run the entry."""
    run_daemon(Role.ENTRY, serve_entry)


async def serve_entry(process: Process, drain: trio.Event) -> None:
    """Serve callers until drained.

    Parameters
    ----------
    process : Process
        Identity, settings and metrics of this process.
    drain : trio.Event
        Set to start the shutdown.
    """
    settings = process.settings
    fleet = Fleet(process)
    limits = LedgerLimits(
        max_open=settings.limits.max_open_requests,
        retention_ms=settings.limits.retention_ms,
    )
    home = Home(
        Ledger(process.incarnation, limits),
        fleet,
        TargetClient(settings.host.address),
        process.metrics,
    )
    subject = Subject(
        process,
        drain,
        functools.partial(describe_entry, home, fleet),
        functools.partial(explain_request, home),
    )
    links = SchedulerLinks(process, fleet, home)
    async with trio.open_nursery() as background:
        background.start_soon(_tick, home)
        background.start_soon(links.run)
        background.start_soon(
            follow_agent,
            process,
            fleet,
            process.make_hello(settings.ports.entry_peer),
            functools.partial(_make_heartbeat, home),
            links.refresh,
        )
        background.start_soon(
            wire.serve_links,
            settings.host.address,
            settings.ports.entry_peer,
            functools.partial(_serve_operator, subject),
            fleet.is_listed,
        )
        await _serve_callers(process, home, links, drain)
        background.cancel_scope.cancel()


async def _serve_operator(
    subject: Subject,
    stream: trio.SocketStream,
) -> None:
    hello = subject.process.make_hello(
        subject.process.settings.ports.entry_peer
    )
    link = wire.Link(stream, hello, hybrid=subject.process.hybrid)
    await link.run(functools.partial(_handle_operator_message, subject))


def _handle_operator_message(
    subject: Subject, link: wire.Link, message: object
) -> None:
    if isinstance(message, ttypes.Query):
        link.send(answer_query(subject, message))


async def _serve_callers(
    process: Process,
    home: Home,
    links: SchedulerLinks,
    drain: trio.Event,
) -> None:
    settings = process.settings
    fleet = links.fleet
    forwarder = Forwarder(
        fleet.find_entry_url,
        ExecutionQueries(process, fleet).ask,
        settings.host.address,
    )
    closing = trio.Event()
    async with trio.open_nursery() as requests:
        interface = CallerInterface(
            home,
            fleet,
            forwarder,
            requests,
            settings.limits.max_body_bytes,
        )
        requests.start_soon(
            functools.partial(
                serve,
                interface,
                _make_config(process),
                shutdown_trigger=closing.wait,
                mode='asgi',
            ),
        )
        await drain.wait()
        log_event(_log, 'drain_started', open=home.open_count)
        with trio.move_on_after(to_seconds(settings.limits.drain_timeout_ms)):
            home.is_draining = True
            await trio.sleep(to_seconds(DEREGISTRATION_WAIT_MS))
            await home.drain()
        log_event(_log, 'drain_ended', open=home.open_count)
        closing.set()


def _make_config(process: Process) -> Config:
    settings = process.settings
    config = Config()
    config.bind = [f'{settings.host.address}:{settings.ports.caller}']
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn')
    config.backlog = MAX_BACKLOG
    config.h11_max_incomplete_size = 32 * 1024
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.include_server_header = False
    config.graceful_timeout = to_seconds(settings.limits.drain_timeout_ms)
    return config


async def _tick(home: Home) -> None:
    while True:
        home.tick()
        await trio.sleep(to_seconds(TICK_MS))


def _make_heartbeat(home: Home, _link: wire.Link) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(home.open_count, home.is_draining)


if __name__ == '__main__':
    main()
