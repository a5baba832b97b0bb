"""Hybrid logical clock, and a timeline of events in causal order."""

import dataclasses
import json
import re
from collections.abc import Callable, Iterable
from typing import Final

from hornbeampulley.errors import HornbeamError

MAX_COUNTER: Final = 999_999
# Remote timestamps further ahead of the wall clock are ignored, so that a peer
# with a wrong clock does not shift this one.
MAX_CLOCK_OFFSET_MS: Final = 3_600_000
_COUNTER_BITS: Final = 20
_COUNTER_MASK: Final = (1 << _COUNTER_BITS) - 1
_TIMESTAMP: Final = re.compile('([0-9]{14})[.]([0-9]{6})')
_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"=]*)(?:\s+|$)')


class TimestampError(HornbeamError):
    """A text is not a timestamp of a hybrid logical clock."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """A timestamp of a hybrid logical clock.

    Attributes
    ----------
    wall_ms : int
        Wall time in milliseconds since the epoch.
    counter : int
        Logical counter; orders the events within one millisecond.
    """

    wall_ms: int = 0
    counter: int = 0

    def encode(self) -> str:
        """Encode as text of fixed width, which sorts like the timestamps."""
        return f'{self.wall_ms:014d}.{self.counter:06d}'

    @classmethod
    def decode(cls, text: str) -> 'Timestamp':
        """Parse an encoded timestamp.

        Raises
        ------
        TimestampError
            If the text is malformed.
        """
        match = _TIMESTAMP.fullmatch(text)
        if not match:
            raise TimestampError(
                f'{text!r} is not a timestamp; send 14 digits of '
                'milliseconds, a dot and 6 digits',
            )
        return cls(int(match[1]), int(match[2]))

    def pack(self) -> int:
        """Pack into one integer, which sorts like the timestamps."""
        return (self.wall_ms << _COUNTER_BITS) | self.counter

    @classmethod
    def unpack(cls, packed: int) -> 'Timestamp':
        """Unpack a timestamp.

        Parameters
        ----------
        packed : int
            Integer returned by `pack`.

        Returns
        -------
        Timestamp
            The timestamp.
        """
        return cls(packed >> _COUNTER_BITS, packed & _COUNTER_MASK)

    def advance(self) -> 'Timestamp':
        """Return the next possible timestamp."""
        if self.counter < MAX_COUNTER:
            return Timestamp(self.wall_ms, self.counter + 1)
        return Timestamp(self.wall_ms + 1)


class HybridClock:
    """A hybrid logical clock.

    Its timestamps follow the wall clock. If one event causes another, in the
    same process or in a peer, the second has the later timestamp.

    Parameters
    ----------
    read_wall_ms : callable
        Returns the wall time in milliseconds since the epoch; may go back.
    """

    def __init__(self, read_wall_ms: Callable[[], float]) -> None:
        self._read_wall_ms = read_wall_ms
        self._last = Timestamp()

    def tick(self) -> Timestamp:
        """Return the timestamp of a local event, such as sending a message."""
        wall = Timestamp(int(self._read_wall_ms()))
        self._last = max(wall, self._last.advance())
        return self._last

    def observe(self, remote: Timestamp) -> Timestamp:
        """Return the timestamp of the receipt of a message.

        Parameters
        ----------
        remote : Timestamp
            Timestamp in the message.

        Returns
        -------
        Timestamp
            Later than ``remote``, unless ``remote`` is more than
            `MAX_CLOCK_OFFSET_MS` ahead of the wall clock.
        """
        limit_ms = self._read_wall_ms() + MAX_CLOCK_OFFSET_MS
        if remote.wall_ms <= limit_ms:
            self._last = max(self._last, remote)
        return self.tick()


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event of a log.

    Attributes
    ----------
    timestamp : Timestamp
        Timestamp of the event.
    pairs : dict
        All keys and values of the log line.
    """

    timestamp: Timestamp
    pairs: dict[str, str]

    @property
    def name(self) -> str:
        """Name of the event."""
        return self.pairs['event']

    @property
    def request(self) -> str | None:
        """Id of the request that the event concerns, if any."""
        return self.pairs.get('request')


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Merged events of several logs.

    Attributes
    ----------
    events : tuple of LoggedEvent
        Events in causal order.
    broken_lines : int
        Number of lines that could not be parsed.
    """

    events: tuple[LoggedEvent, ...]
    broken_lines: int = 0

    def filter_request(self, request: str) -> 'Timeline':
        """Return the timeline of one request.

        Parameters
        ----------
        request : str
            Id of the request.

        Returns
        -------
        Timeline
            Timeline with only the events of the request.
        """
        events = tuple(
            event for event in self.events if event.request == request
        )
        return Timeline(events, self.broken_lines)


def parse_pairs(line: str) -> dict[str, str] | None:
    """Parse a line of key=value pairs.

    Parameters
    ----------
    line : str
        One line of a log.

    Returns
    -------
    dict or None
        The pairs, or None if the line can't be parsed.
    """
    text = line.strip()
    pairs: dict[str, str] = {}
    position = 0
    while position < len(text):
        match = _PAIR.match(text, position)
        if not match:
            return None
        try:
            pairs[match[1]] = _unquote(match[2])
        except ValueError:
            return None
        position = match.end()
    return pairs


def parse_line(line: str) -> LoggedEvent | None:
    """Parse one line of a log.

    Parameters
    ----------
    line : str
        Line of a log.

    Returns
    -------
    LoggedEvent or None
        The event, or None if the line can't be parsed.
    """
    pairs = parse_pairs(line)
    if not pairs or 'event' not in pairs:
        return None
    try:
        return LoggedEvent(Timestamp.decode(pairs.get('hlc', '')), pairs)
    except TimestampError:
        return None


def merge_logs(logs: Iterable[Iterable[str]]) -> Timeline:
    """Merge the logs of several processes.

    Parameters
    ----------
    logs : iterable of iterables of str
        Lines of each log; lines that can't be parsed are counted and left
        out.

    Returns
    -------
    Timeline
        All events in causal order; events with equal timestamps keep the
        order of the logs.
    """
    events: list[LoggedEvent] = []
    broken_lines = 0
    for log in logs:
        for line in log:
            event = parse_line(line)
            if event:
                events.append(event)
            elif line.strip():
                broken_lines += 1
    events.sort(key=_get_timestamp)
    return Timeline(tuple(events), broken_lines)


def _get_timestamp(event: LoggedEvent) -> Timestamp:
    return event.timestamp


def _unquote(text: str) -> str:
    if text.startswith('"'):
        return str(json.loads(text))
    return text
