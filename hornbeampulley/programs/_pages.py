"""Formats reports as text lines for the command line."""

from collections.abc import Iterable, Iterator

from returns.result import Success

from hornbeampulley import porcelain, wire
from hornbeampulley.views import PoolState


def format_check_lines(report: porcelain.CheckReport) -> Iterator[str]:
    """Format the result of a ticket check.

    Parameters
    ----------
    report : CheckReport
        The files that were checked.

    Yields
    ------
    str
        One line for each ticket, fault and warning.
    """
    for check in report.checks:
        if isinstance(check.outcome, Success):
            ticket = check.outcome.unwrap()
            yield f'{check.path}: ticket {ticket.number} of {ticket.scope}: ok'
            continue
        for fault in check.outcome.failure():
            yield f'{check.path}: fault: {fault}'
    for warning in report.warnings:
        yield f'warning: {warning}'


def format_status_lines(status: porcelain.Status) -> Iterator[str]:
    """Format the status of processes.

    Parameters
    ----------
    status : Status
        Reports of the processes.

    Yields
    ------
    str
        State, tickets and pools of each process, then unreachable ones.
    """
    for process in status.processes:
        condition = 'draining' if process.draining else 'running'
        yield (
            f'{process.host} {process.role} {process.incarnation} '
            f'{process.availability_zone} {process.address}: '
            f'{condition}, load {process.load}'
        )
        yield from _format_ticket_lines(process)
        for pool in process.pools:
            yield from _format_pool_lines(pool)
    yield from _format_unreached_lines(status.unreached)


def format_explanation_lines(
    explanation: porcelain.Explanation,
) -> Iterator[str]:
    """Format the explanation of a request.

    Parameters
    ----------
    explanation : Explanation
        Reports of the home entry and the schedulers on a request.

    Yields
    ------
    str
        The report of the home, then those of the schedulers.
    """
    yield f'request {explanation.request_id}'
    yield _format_home_line(explanation.home)
    for scheduler in explanation.schedulers:
        yield f'  scheduler {scheduler.host} {scheduler.incarnation}:'
        for decision in scheduler.decisions:
            yield f'    {decision}'
    yield from _format_unreached_lines(explanation.unreached)


def _format_ticket_lines(process: wire.ProcessReport) -> Iterator[str]:
    for ticket in process.tickets:
        age = 'not yet known to be newest'
        if ticket.age_ms is not None:
            age = f'known to be newest {ticket.age_ms:.0f} ms ago'
        yield f'  ticket {ticket.number} of {ticket.scope}, {age}'
    for conflict in process.conflicts:
        yield f'  conflict: {conflict}'


def _format_pool_lines(pool: PoolState) -> Iterator[str]:
    waiting = ', '.join(
        f'{count} of {tier}' for tier, count in pool.waiting.items()
    )
    yield (
        f'  pool {pool.pool}: {pool.running} running; '
        f'waiting: {waiting or "none"}'
    )
    for target in pool.targets:
        leaving = ', leaving' if target.is_leaving else ''
        yield (
            f'    target {target.name}: {target.health}{leaving}, '
            f'{target.running} running, limit {target.limit}'
        )


def _format_home_line(home: wire.RequestReport | None) -> str:
    if home is None:
        return (
            '  home: its process is gone; the outcome is unknown unless a '
            'repeat of the id is answered with ran: no'
        )
    state = home.state or 'not held (never sent, or its answer is dropped)'
    target = f', target {home.target}' if home.target else ''
    return (
        f'  home {home.host} {home.incarnation}: {state}, '
        f'ran {home.ran}{target}'
    )


def _format_unreached_lines(
    unreached: Iterable[porcelain.UnreachableProcess],
) -> Iterator[str]:
    for process in unreached:
        yield f'{process.place}: no answer: {process.problem}'
