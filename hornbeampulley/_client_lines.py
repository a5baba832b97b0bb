"""Extraction of the last line of a streamed body."""

import json
from typing import Any


class LastLineBuffer:
    """Keeps the last line of a body that arrives in chunks."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def feed(self, chunk: bytes) -> None:
        """Add the next chunk.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the body; need not end at a line end.
        """
        ended = b''.join(self._pieces[-1:]).endswith(b'\n')
        start = chunk.rstrip(b'\n').rfind(b'\n') + 1
        if start or ended:
            self._pieces.clear()
        self._pieces.append(chunk[start:])

    def parse_last(self) -> dict[str, Any]:
        """Parse the last line as JSON.

        Returns
        -------
        dict
            The object; empty if the line is not a JSON object.
        """
        try:
            document = json.loads(b''.join(self._pieces))
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}
