"""Runs the node with the adapter for the platform."""

import pathlib

from hornbeampulley.node import Adapter, run_node
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.platform._headers import PlatformDialect
from hornbeampulley.platform._store import StoreClient


def run_platform_node(path: str) -> int:
    """Run a node on the platform.

    Parameters
    ----------
    path : str
        Path of the settings file.

    Returns
    -------
    int
        Exit code of the process.
    """
    adapter = Adapter(PlatformDialect(), PlatformDecoder(), StoreClient)
    return run_node(pathlib.Path(path), adapter)
