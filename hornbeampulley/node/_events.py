"""Cuts a stream of events into whole events."""

import re
from typing import Final

from hornbeampulley.http1.errors import ResponseBrokenError

MAX_EVENT_BYTES: Final = 1 << 20
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Holds back the part of an event that has not ended.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last whole event.
    count : int
        Whole events so far.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.count = 0
        self._buffer = b''

    @property
    def incomplete(self) -> bytes:
        """The part that has not ended."""
        return self._buffer

    def feed(self, received: bytes) -> bytes:
        """Take bytes and return the whole events that they complete.

        Parameters
        ----------
        received : bytes
            The next bytes of the stream.

        Returns
        -------
        bytes
            Unchanged; empty if no event has ended.

        Raises
        ------
        ResponseBrokenError
            If an event is too long, as it may have no end.
        """
        self._buffer += received
        end = 0
        for match in _EVENT_END.finditer(self._buffer):
            self._count_event(self._buffer[end : match.end()])
            end = match.end()
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._buffer = b''
            raise ResponseBrokenError(
                f'an event of a stream is longer than {MAX_EVENT_BYTES} bytes; '
                'look at the log of the target',
            )
        return whole

    def reset(self) -> None:
        """Drop the part that has not ended, as another stream goes on."""
        self._buffer = b''

    def _count_event(self, event: bytes) -> None:
        self.count += 1
        found = _EVENT_ID.search(event)
        if found is not None:
            self.last_id = found[1]
