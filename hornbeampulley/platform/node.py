"""Main program of the node on each machine of the platform."""

import os
import sys

from hornbeampulley.platform._start_signals import handle_start_signals

SETTINGS_VARIABLE = 'HORNBEAMPULLEY_NODE_FILE'
EXIT_USAGE = 2


def main() -> int:
    """Run the node with the settings file named by the environment.

    Returns
    -------
    int
        Exit code of the process.
    """
    handle_start_signals()
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.stderr.write(
            f'{SETTINGS_VARIABLE} is not set; set it to the path of the '
            'settings file\n',
        )
        return EXIT_USAGE
    # Imports take long, so they come after the handlers of signals. Nothing that
    # they create is garbage, so the collector need not search it now or later.
    import gc

    gc.disable()
    from hornbeampulley.platform._program import run_platform_node

    gc.freeze()
    gc.enable()
    return run_platform_node(path)


if __name__ == '__main__':
    # Everything is closed and logged. Skipping the interpreter's cleanup saves
    # time that a slow host may not have within the grace time.
    os._exit(main())
