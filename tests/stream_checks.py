"""Checks of what callers receive of streams of numbered events."""

import dataclasses
import re
from typing import Final

# A whole event: its id, the number in its text, and its software version.
EVENT: Final = re.compile(rb'id: (\d+)\ndata: t(\d+)(@[\w.]+)?')
EVENT_END: Final = b'\n\n'
# Version of engines that were never released, whose events have no mark.
FIRST_MARK: Final = b'@v1'


@dataclasses.dataclass(frozen=True)
class ChunkedBody:
    """A body in chunked transfer coding, as far as it came.

    Attributes
    ----------
    content : bytes
        Decoded bytes, with those of a truncated chunk.
    is_ended : bool
        Whether the last chunk has come.
    is_valid : bool
        Whether the bytes are chunks and nothing follows the last one.
    """

    content: bytes
    is_ended: bool
    is_valid: bool


def decode_chunks(body):
    """Decode a chunked body that may be truncated anywhere."""
    content = b''
    while body:
        size, found, rest = body.partition(b'\r\n')
        digits = size.removesuffix(b'\r')
        try:
            length = int(digits, 16)
        except ValueError:
            is_valid = not digits and not found
            return ChunkedBody(content, is_ended=False, is_valid=is_valid)
        if not found:
            break
        content += rest[:length]
        end = rest[length : length + 2]
        if not b'\r\n'.startswith(end):
            return ChunkedBody(content, is_ended=False, is_valid=False)
        body = rest[length + 2 :]
        if not length and end == b'\r\n':
            return ChunkedBody(content, is_ended=True, is_valid=not body)
    return ChunkedBody(content, is_ended=False, is_valid=True)


@dataclasses.dataclass
class ReceivedStream:
    """What a caller has received of a stream in all its answers.

    Attributes
    ----------
    length : int
        Number of events of the whole stream.
    last : int
        Number of the last whole event.
    is_whole : bool
        Whether an answer looked complete.
    marks : set of bytes
        Software versions of the events.
    faults : list of str
        What was wrong.
    """

    length: int
    last: int = 0
    is_whole: bool = False
    marks: set[bytes] = dataclasses.field(default_factory=set)
    faults: list[str] = dataclasses.field(default_factory=list)

    def add(self, body):
        """Add the body of the first answer, or of one that goes on."""
        decoded = decode_chunks(body)
        if not decoded.is_valid:
            self.faults.append('no answer in HTTP')
        *events, tail = decoded.content.split(EVENT_END)
        for event in events:
            self._add_event(event)
        if len(self.marks) > 1:
            self.faults.append(f'joined from {sorted(self.marks)}')
        self._check_end(tail, is_ended=decoded.is_ended)

    def _add_event(self, event):
        found = EVENT.fullmatch(event)
        if not found or found[1] != found[2]:
            self.faults.append(f'no event: {event!r}')
            return
        number = int(found[1])
        if number != self.last + 1:
            self.faults.append(f'event {number} after event {self.last}')
        self.last = number
        self.marks.add(found[3] or FIRST_MARK)

    def _check_end(self, tail, *, is_ended):
        following = b'id: %d\ndata: t%d' % (self.last + 1, self.last + 1)
        if not (following.startswith(tail) or tail.startswith(following)):
            self.faults.append(f'part of another event: {tail!r}')
        if not is_ended:
            return
        self.is_whole = True
        if tail:
            self.faults.append(f'whole in the middle of an event: {tail!r}')
        if self.last != self.length:
            self.faults.append(f'whole after event {self.last}')
