"""Time line of the events of all processes, in causal order."""

import dataclasses
import json
import re
from collections.abc import Callable, Iterable
from typing import Final

from hornbeampulley.errors import HornbeamError

MAX_COUNTER: Final = 999_999
# A peer whose clock is further ahead is not followed.
MAX_CLOCK_OFFSET_MS: Final = 3_600_000
_COUNTER_BITS: Final = 20
_COUNTER_MASK: Final = (1 << _COUNTER_BITS) - 1
_TIMESTAMP: Final = re.compile('([0-9]{14})[.]([0-9]{6})')
_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"=]*)(?:\s+|$)')


class TimestampError(HornbeamError):
    """A text is not a timestamp of a hybrid logical clock."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """A moment of a hybrid logical clock.

    Attributes
    ----------
    wall_ms : int
        Milliseconds since the epoch.
    counter : int
        Order of the events of one millisecond.
    """

    wall_ms: int = 0
    counter: int = 0

    def encode(self) -> str:
        """Return text that sorts as the timestamps do."""
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
        """Return one number for peer messages; it sorts as timestamps do."""
        return (self.wall_ms << _COUNTER_BITS) | self.counter

    @classmethod
    def unpack(cls, packed: int) -> 'Timestamp':
        """Return the timestamp of a packed number.

        Parameters
        ----------
        packed : int
            As `pack` gave it.

        Returns
        -------
        Timestamp
            The timestamp.
        """
        return cls(packed >> _COUNTER_BITS, packed & _COUNTER_MASK)

    def advance(self) -> 'Timestamp':
        """Return the next timestamp."""
        if self.counter < MAX_COUNTER:
            return Timestamp(self.wall_ms, self.counter + 1)
        return Timestamp(self.wall_ms + 1)


class HybridClock:
    """A hybrid logical clock.

    Its timestamps follow the wall clock, and an event that another one
    caused, in this process or a peer, always has the later timestamp.

    Parameters
    ----------
    read_wall_ms : callable
        Returns milliseconds since the epoch; may step back.
    """

    def __init__(self, read_wall_ms: Callable[[], float]) -> None:
        self._read_wall_ms = read_wall_ms
        self._last = Timestamp()

    def tick(self) -> Timestamp:
        """Return the timestamp of a new event, such as a message sent."""
        wall = Timestamp(int(self._read_wall_ms()))
        self._last = max(wall, self._last.advance())
        return self._last

    def observe(self, remote: Timestamp) -> Timestamp:
        """Return the timestamp of the arrival of a message.

        Parameters
        ----------
        remote : Timestamp
            Timestamp that the message carries.

        Returns
        -------
        Timestamp
            Later than ``remote``, unless that is too far ahead.
        """
        limit_ms = self._read_wall_ms() + MAX_CLOCK_OFFSET_MS
        if remote.wall_ms <= limit_ms:
            self._last = max(self._last, remote)
        return self.tick()


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a log.

    Attributes
    ----------
    timestamp : Timestamp
        When it was logged.
    pairs : dict
        All pairs of the line.
    """

    timestamp: Timestamp
    pairs: dict[str, str]

    @property
    def name(self) -> str:
        """The name of the event."""
        return self.pairs['event']

    @property
    def request(self) -> str | None:
        """The id of the request, if it concerns one."""
        return self.pairs.get('request')


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The events of several logs.

    Attributes
    ----------
    events : tuple of LoggedEvent
        In causal order.
    broken_lines : int
        Lines that were not understood.
    """

    events: tuple[LoggedEvent, ...]
    broken_lines: int = 0

    def filter_request(self, request: str) -> 'Timeline':
        """Return the time line of one request.

        Parameters
        ----------
        request : str
            Id of the request.

        Returns
        -------
        Timeline
            The events that carry the id.
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
        The pairs, or None if the line is broken.
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
        The line.

    Returns
    -------
    LoggedEvent or None
        The event, or None if the line is broken.
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
        The lines of each log; broken ones are counted and left out.

    Returns
    -------
    Timeline
        All events in causal order; those of equal timestamps in the order
        of the logs.
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
