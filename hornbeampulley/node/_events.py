"""Splits a stream of server-sent events into complete events."""

import re
from typing import Final

from hornbeampulley.http1.errors import ResponseBrokenError

MAX_EVENT_BYTES: Final = 1 << 20
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Buffers the incomplete event at the end of a stream.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event that has one.
    count : int
        Number of complete events so far.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.count = 0
        self._buffer = b''
        self._fault = ''
        self._is_resumed = False

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event that is not yet complete."""
        return self._buffer

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the events that they complete.

        What comes after the first fault is dropped; call `check` after the
        events before it were passed on.

        Parameters
        ----------
        received : bytes
            The next bytes of the stream.

        Returns
        -------
        bytes
            The complete events, unchanged; empty if there are none.
        """
        self._buffer += received
        end = 0
        for match in _EVENT_END.finditer(self._buffer):
            event = self._buffer[end : match.end()]
            if self._is_resumed and not self._is_in_order(event):
                self._fault = (
                    'a resumed stream does not go on after the last event'
                )
                break
            self._count_event(event)
            end = match.end()
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES and not self._fault:
            self._fault = (
                f'an event of a stream is longer than {MAX_EVENT_BYTES} bytes'
            )
        if self._fault:
            self._buffer = b''
        return whole

    def check(self) -> None:
        """Check the bytes that were fed last.

        Raises
        ------
        ResponseBrokenError
            If an event exceeds `MAX_EVENT_BYTES`, as it may never end, or does
            not follow the last one in a stream that was resumed.
        """
        if self._fault:
            raise ResponseBrokenError(
                f'{self._fault}; look at the log of the target',
            )

    def reset(self) -> None:
        """Discard the incomplete event, before another stream is resumed."""
        self._buffer = b''
        self._fault = ''
        self._is_resumed = self.count > 0

    def _is_in_order(self, event: bytes) -> bool:
        """Tell whether an event is one, and comes after the last one."""
        found = _EVENT_ID.search(event)
        if found is None:
            return event.startswith(b':')
        return _is_later(found[1], self.last_id)

    def _count_event(self, event: bytes) -> None:
        self.count += 1
        found = _EVENT_ID.search(event)
        if found is not None:
            self.last_id = found[1]


def _is_later(event_id: bytes, last_id: bytes | None) -> bool:
    """Tell whether an id may follow; only numbers can be compared."""
    if last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
