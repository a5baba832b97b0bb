"""Runs the node's main program and sends it a signal at a stage of its start.

Usage: `python -m tests.start_stages SIGNAL STAGE SETTINGS CHANGED`. A stage is an
audit event of the interpreter, with or without its first argument, as in
`import trio` or `socket.bind`; the signal is sent when it comes first. The stage
`every` is all events from the first import that is not of `EARLY_MODULES` to the
first `socket.bind`. If the file CHANGED exists, it replaces the file SETTINGS before
the signal. Signal 0 is none.
"""

import os
import runpy
import sys

MAIN_MODULE = 'hornbeampulley.platform.node'
MAIN_FILE = 'hornbeampulley/platform/node.py'
EVERY = 'every'
LAST_EVENT = 'socket.bind'
REACHED = b'stage reached\n'
# All that may be imported before signals are handled.
EARLY_MODULES = frozenset(
    ('signal', 'enum', 'hornbeampulley.platform._start_signals')
)


class Stage:
    """Sends the signal at the stage.

    Attributes
    ----------
    is_watching : bool
        Whether the main program has begun and the stage is still to come.
    is_late : bool
        Whether an import has begun before which signals have to be handled.
    is_reached : bool
        Whether a signal was sent.
    """

    def __init__(self, number, stage, settings, changed):
        self.number = number
        self.stage = stage
        self.settings = settings
        self.changed = changed
        self.is_watching = False
        self.is_late = False
        self.is_reached = False

    def notice(self, event, values):
        """Compare an audit event with the stage."""
        first = str(values[0]) if values else ''
        if event == 'exec' and MAIN_FILE in first:
            self.is_watching = True
        elif self.is_watching and self.matches(event, first):
            # What is done here raises events too.
            self.is_watching = False
            self.send()
            self.is_watching = self.stage == EVERY and event != LAST_EVENT

    def matches(self, event, first):
        """Tell whether an event belongs to the stage."""
        if event == 'import' and first not in EARLY_MODULES:
            self.is_late = True
        if self.stage == EVERY:
            return self.is_late
        return self.stage in {event, f'{event} {first}'}

    def send(self):
        """Replace the settings if asked to, and raise the signal."""
        if os.path.exists(self.changed):
            os.replace(self.changed, self.settings)
        if not self.is_reached:
            self.is_reached = True
            os.write(sys.stderr.fileno(), REACHED)
        os.kill(os.getpid(), self.number)


def main(number, stage, settings, changed):
    """Run the main program as `python -m` does."""
    sys.addaudithook(Stage(int(number), stage, settings, changed).notice)
    runpy.run_module(MAIN_MODULE, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main(*sys.argv[1:])
