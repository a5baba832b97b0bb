"""The settings file, read again when it has changed."""

import contextlib
import logging
import pathlib

from hornbeampulley.logs import log_event
from hornbeampulley.node._settings import NodeSettings, read_node_settings

_log = logging.getLogger(__name__)


class SettingsFile:
    """Reads the settings and notices later changes of their file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._content = b''

    def read(self) -> NodeSettings:
        """Read and check the settings.

        Returns
        -------
        NodeSettings
            The settings.

        Raises
        ------
        SettingsError
            If the file can't be read or is faulty.
        """
        # Before the settings, so that a change between the two is noticed.
        with contextlib.suppress(OSError):
            self._content = self._path.read_bytes()
        return read_node_settings(self._path)

    def has_changed(self) -> bool:
        """Compare the file with what was read last.

        Returns
        -------
        bool
            Whether its content differs; False if it can't be read.
        """
        try:
            return self._path.read_bytes() != self._content
        except OSError as error:
            log_event(
                _log,
                'settings_unreadable',
                severity=logging.WARNING,
                error=error,
            )
        return False
