"""Splits a stream of server-sent events into complete events."""

import re
from typing import Final

from hornbeampulley.http1.errors import ResponseBrokenError

MAX_EVENT_BYTES: Final = 1 << 20
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]+)')


class EventSplitter:
    """Buffers the incomplete event at the end of a stream.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event that has one, or of the event after which
        the target was asked to go on.
    count : int
        Number of complete events so far.
    is_place_known : bool
        Whether another target can go on after the last event, as it has an id.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.count = 0
        self.is_place_known = True
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
            found = _EVENT_ID.search(event)
            event_id = found[1] if found else None
            if not self._is_in_order(event, event_id):
                self._fault = 'an event does not come after the one before it'
                break
            self._count(event, event_id)
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
            not come after the one before it.
        """
        if self._fault:
            raise ResponseBrokenError(
                f'{self._fault}; look at the log of the target',
            )

    def reset(self, resumes_after: bytes | None) -> None:
        """Discard the incomplete event, before another target answers.

        Parameters
        ----------
        resumes_after : bytes or None
            Id of the event after which the target was asked to go on; None if
            it was asked for the whole stream.
        """
        self._buffer = b''
        self._fault = ''
        self.last_id = resumes_after
        self._is_resumed = resumes_after is not None

    def _count(self, event: bytes, event_id: bytes | None) -> None:
        self.count += 1
        if event_id is not None:
            self.last_id = event_id
            self.is_place_known = True
        elif not event.startswith(b':'):
            self.is_place_known = False

    def _is_in_order(self, event: bytes, event_id: bytes | None) -> bool:
        """Tell whether an event comes after the last one.

        What goes on in a stream has an id, as its place is not known otherwise.
        """
        if event_id is None:
            return event.startswith(b':') or not self._is_resumed
        return _is_later(event_id, self.last_id)


def _is_later(event_id: bytes, last_id: bytes | None) -> bool:
    """Tell whether an id may follow; only numbers can be compared."""
    if last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return _make_order(event_id) > _make_order(last_id)
    return event_id != last_id


def _make_order(digits: bytes) -> tuple[int, bytes]:
    """Return what orders numbers of any length as their values do."""
    stripped = digits.lstrip(b'0')
    return len(stripped), stripped
