"""Main program of the node on each machine of the platform."""

import os
import pathlib
import sys
from typing import Final

from hornbeampulley.node import Adapter, run_node
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.platform._headers import PlatformDialect
from hornbeampulley.platform._store import StoreClient

SETTINGS_VARIABLE: Final = 'HORNBEAMPULLEY_NODE_FILE'
EXIT_USAGE: Final = 2


def main() -> int:
    """Run the node with the settings file named by the environment.

    Returns
    -------
    int
        Exit code of the process.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.stderr.write(
            f'{SETTINGS_VARIABLE} is not set; set it to the path of the '
            'settings file\n',
        )
        return EXIT_USAGE
    adapter = Adapter(PlatformDialect(), PlatformDecoder(), StoreClient)
    return run_node(pathlib.Path(path), adapter)


if __name__ == '__main__':
    # Everything is closed and logged. Skipping the interpreter's cleanup saves
    # time that a slow host may not have within the grace time.
    os._exit(main())
