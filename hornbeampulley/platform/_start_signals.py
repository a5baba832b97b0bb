"""Handling of signals while the process starts.

Imported before all else, so it imports as little as possible itself.
"""

import os
import signal


def handle_start_signals() -> None:
    """Handle signals until the node, once it runs, has receivers for them.

    SIGHUP is ignored, since the settings are read later than this. SIGTERM and
    SIGINT end the process at once with exit code 0, since nothing has begun that
    would have to be finished.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_process)
    signal.signal(signal.SIGINT, _end_process)


def _end_process(*_ignored: object) -> None:
    os._exit(0)
