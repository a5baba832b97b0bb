"""The command line for operators."""

import abc
import dataclasses
import json
import sys
from collections.abc import Iterable
from typing import Any, Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Type
from returns.result import Success

from hornbeampulley import porcelain
from hornbeampulley.errors import HornbeamError, RequestIdError, SettingsError
from hornbeampulley.logs import format_pairs
from hornbeampulley.membership import Role
from hornbeampulley.programs._pages import (
    format_check_lines,
    format_explanation_lines,
    format_status_lines,
)
from hornbeampulley.settings import Settings, read_settings

EXIT_OK: Final = 0
EXIT_PROBLEM: Final = 1
EXIT_USAGE: Final = 2
DRAIN_MARGIN_MS: Final = 5000.0
DRAINED_ROLES: Final = tuple(role.value for role in porcelain.DAEMONS)
_JSON: Final = option('json', description='Write JSON.')
_SETTINGS: Final = option(
    'settings',
    description='Settings file of a process of this host.',
    flag=False,
)


class UsageError(HornbeamError):
    """The arguments of a command are invalid."""


_USAGE_ERRORS: Final = (
    UsageError,
    SettingsError,
    RequestIdError,
    porcelain.UnreadableFileError,
)


class OperatorCommand(Command):
    """Base of all commands: prints errors and turns them into exit codes."""

    def handle(self) -> int:
        """Run the command.

        Returns
        -------
        int
            The exit code.
        """
        try:
            return self.operate()
        except HornbeamError as error:
            self.io.error_output.write_line(str(error), type=Type.RAW)
            is_usage = isinstance(error, _USAGE_ERRORS)
            return EXIT_USAGE if is_usage else EXIT_PROBLEM

    @abc.abstractmethod
    def operate(self) -> int:
        """Carry out the command.

        Returns
        -------
        int
            The exit code.
        """

    def load_settings(self) -> Settings:
        """Read the file of the option ``--settings``.

        Returns
        -------
        Settings
            Validated settings.

        Raises
        ------
        UsageError
            If the option is missing.
        SettingsError
            If the file has faults; lists all of them.
        """
        path = self.option('settings')
        if not path:
            raise UsageError('--settings is missing; name a settings file')
        return read_settings(path)

    def show(self, content: Any, lines: Iterable[str]) -> None:
        """Print JSON if ``--json`` is given, else text lines.

        Parameters
        ----------
        content : object
            Data to print as JSON.
        lines : iterable of str
            The same data as readable text.
        """
        if self.option('json'):
            lines = (json.dumps(content),)
        for line in lines:
            self.io.output.write_line(line, type=Type.RAW)


class TicketCheckCommand(OperatorCommand):
    """Lists every fault of change tickets."""

    name = 'ticket check'
    description = 'Lists every fault of change tickets.'
    help = (
        'Exits with 0 if all is well, 1 if a name points to nothing in the '
        'files given, 2 if a ticket has a fault.'
    )
    arguments = [
        argument('files', 'Files that hold a ticket each.', multiple=True),
    ]
    options = [_JSON]

    def operate(self) -> int:
        """Check the ticket files."""
        report = porcelain.check_tickets(self.argument('files'))
        content = {
            'tickets': [_describe_check(check) for check in report.checks],
            'warnings': list(map(dataclasses.asdict, report.warnings)),
        }
        self.show(content, format_check_lines(report))
        if not report.is_good:
            return EXIT_USAGE
        return EXIT_PROBLEM if report.warnings else EXIT_OK


class StatusCommand(OperatorCommand):
    """Shows the state of processes."""

    name = 'status'
    description = "Shows the state of this host's processes, or of all."
    help = 'Exits with 1 if a process does not answer or tickets conflict.'
    options = [
        _SETTINGS,
        option('all', description="Ask every host of the agent's directory."),
        _JSON,
    ]

    def operate(self) -> int:
        """Query the processes."""
        status = porcelain.read_status(
            self.load_settings(),
            self.option('all'),
        )
        self.show(dataclasses.asdict(status), format_status_lines(status))
        return EXIT_OK if status.is_good else EXIT_PROBLEM


class ExplainCommand(OperatorCommand):
    """Tells why a request waited, ran or was refused."""

    name = 'explain'
    description = 'Tells why a request waited, ran or was refused.'
    help = 'Exits with 1 if no process knows of the request.'
    arguments = [argument('id', 'Id of the request.')]
    options = [_SETTINGS, _JSON]

    def operate(self) -> int:
        """Query the home entry of the request and the schedulers."""
        explanation = porcelain.explain_request(
            self.load_settings(),
            self.argument('id'),
        )
        self.show(
            dataclasses.asdict(explanation),
            format_explanation_lines(explanation),
        )
        return EXIT_OK if explanation.is_known else EXIT_PROBLEM


class TimeLineCommand(OperatorCommand):
    """Merges logs in causal order."""

    name = 'timeline'
    description = 'Merges logs of several processes in causal order.'
    help = 'Exits with 1 if there is no event to show.'
    arguments = [argument('files', 'Logs of processes.', multiple=True)]
    options = [
        option('request', description='Id of a request.', flag=False),
        _JSON,
    ]

    def operate(self) -> int:
        """Merge the log files."""
        time_line = porcelain.merge_log_files(
            self.argument('files'),
            self.option('request') or '',
        )
        content = {
            'events': [event.pairs for event in time_line.events],
            'broken_lines': time_line.broken_lines,
        }
        self.show(content, map(format_pairs, content['events']))
        if time_line.broken_lines:
            self.io.error_output.write_line(
                f'{time_line.broken_lines} lines were not understood and are '
                'left out; name logs of this system only',
                type=Type.RAW,
            )
        return EXIT_OK if time_line.events else EXIT_PROBLEM


class DrainCommand(OperatorCommand):
    """Lets a process of this host finish its work and end."""

    name = 'drain'
    description = 'Lets a process of this host finish its work and end.'
    help = 'Exits with 1 if the process has not ended in the time given.'
    options = [
        _SETTINGS,
        option('role', description='entry, scheduler or agent.', flag=False),
        option(
            'timeout-ms',
            description='Longest time to wait; by default a little more than '
            'the drain_timeout_ms of the settings.',
            flag=False,
        ),
        _JSON,
    ]

    def operate(self) -> int:
        """Request the drain and wait until the process has exited."""
        settings = self.load_settings()
        drain = porcelain.drain_process(
            settings,
            self._read_role(),
            self._read_timeout_ms(settings),
        )
        outcome = 'ended' if drain.is_gone else 'still runs; ask its status'
        line = f'{drain.place}, {drain.incarnation}: {outcome}'
        self.show(dataclasses.asdict(drain), (line,))
        return EXIT_OK if drain.is_gone else EXIT_PROBLEM

    def _read_role(self) -> Role:
        role = self.option('role')
        if role not in DRAINED_ROLES:
            raise UsageError(
                f'--role is {role!r}; use one of {", ".join(DRAINED_ROLES)}',
            )
        return Role(role)

    def _read_timeout_ms(self, settings: Settings) -> float:
        text = self.option('timeout-ms')
        if text is None:
            return settings.limits.drain_timeout_ms + DRAIN_MARGIN_MS
        if not text.isdecimal():
            raise UsageError(f'--timeout-ms is {text!r}; write an integer')
        return float(text)


COMMANDS: Final = (
    TicketCheckCommand,
    StatusCommand,
    ExplainCommand,
    TimeLineCommand,
    DrainCommand,
)


def make_application() -> Application:
    """Build the command line application.

    Returns
    -------
    Application
        Has all commands; raises exceptions instead of exiting.
    """
    application = Application('hornbeam')
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def run(arguments: list[str]) -> int:
    """Run the command line.

    Parameters
    ----------
    arguments : list of str
        Program name and arguments, as in ``sys.argv``.

    Returns
    -------
    int
        0 if all is well, 1 if a problem was found, 2 for bad usage.
    """
    try:
        return make_application().run(ArgvInput(arguments))
    except CleoError as error:
        sys.stderr.write(f'{error}; hornbeam list shows the commands\n')
        return EXIT_USAGE


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run(sys.argv))


def _describe_check(check: porcelain.TicketCheck) -> dict[str, Any]:
    if isinstance(check.outcome, Success):
        ticket = check.outcome.unwrap()
        found = {'scope': ticket.scope, 'number': ticket.number, 'faults': []}
    else:
        faults = check.outcome.failure()
        found = {'faults': list(map(dataclasses.asdict, faults))}
    return {'file': str(check.path), **found}


if __name__ == '__main__':
    main()
