"""The end of a body of lines."""

import json
from typing import Any


class LineTail:
    """The last line of a body that comes in chunks."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes.

        Parameters
        ----------
        chunk : bytes
            Any part of the body.
        """
        ended = b''.join(self._pieces[-1:]).endswith(b'\n')
        start = chunk.rstrip(b'\n').rfind(b'\n') + 1
        if start or ended:
            self._pieces.clear()
        self._pieces.append(chunk[start:])

    def read_last(self) -> dict[str, Any]:
        """Return the last line.

        Returns
        -------
        dict
            Empty if it is not a JSON object.
        """
        try:
            document = json.loads(b''.join(self._pieces))
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}
