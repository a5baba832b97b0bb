"""Logs with one line of key=value pairs for each event."""

import dataclasses
import datetime
import json
import logging
import re
from collections.abc import Callable, Mapping
from typing import Final

FIXED_KEYS: Final = frozenset(
    (
        'time',
        'hlc',
        'program',
        'host',
        'incarnation',
        'level',
        'event',
    )
)
# The event of lines that come from libraries.
LIBRARY_EVENT: Final = 'library_message'
# Printable ASCII without quotes, equal signs and backslashes.
_PLAIN_VALUE: Final = re.compile(r'[!#-<>-\[\]-~]+')
_PAIRS_ATTRIBUTE: Final = 'event_pairs'


@dataclasses.dataclass(frozen=True, slots=True)
class LogOrigin:
    """The process that writes a log.

    Attributes
    ----------
    program : str
        Name of the program, such as ``entry``.
    host : str
        Name of the host.
    incarnation : str
        Random name of this run of the program.
    """

    program: str
    host: str
    incarnation: str


def log_event(
    logger: logging.Logger,
    event: str,
    *,
    severity: int = logging.INFO,
    **pairs: object,
) -> None:
    """Log one event.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : str
        Name of the event, in the past tense, such as ``lease_granted``.
    severity : int
        Level of the event.
    **pairs : object
        What is known about it; ``request`` is the id of the request, and
        pairs that are None are left out.
    """
    if logger.isEnabledFor(severity):
        logger.log(severity, '%s', event, extra={_PAIRS_ATTRIBUTE: pairs})


def quote_value(value: object) -> str:
    """Return a value as it stands in a line, quoted as JSON if needed."""
    text = str(value)
    if isinstance(value, int) or _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_pairs(pairs: Mapping[str, object]) -> str:
    """Return pairs as one line, without those that are None."""
    return ' '.join(
        f'{key}={quote_value(value)}'
        for key, value in pairs.items()
        if value is not None
    )


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    Parameters
    ----------
    origin : LogOrigin
        The process.
    read_hlc : callable
        Returns the next timestamp of the hybrid logical clock as text.
    """

    def __init__(
        self,
        origin: LogOrigin,
        read_hlc: Callable[[], str],
    ) -> None:
        super().__init__()
        self._origin = format_pairs(dataclasses.asdict(origin))
        self._read_hlc = read_hlc

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        time = _format_time(record.created)
        level = record.levelname.lower()
        start = f'time={time} hlc={self._read_hlc()} {self._origin}'
        rest = format_pairs(self._list_pairs(record))
        return f'{start} level={level} {rest}'

    def _list_pairs(self, record: logging.LogRecord) -> dict[str, object]:
        pairs = getattr(record, _PAIRS_ATTRIBUTE, None)
        event = record.getMessage()
        if pairs is None:
            pairs = {'logger': record.name, 'message': event}
            event = LIBRARY_EVENT
        listed = {'event': event, **_rename_conflicting_keys(pairs)}
        listed['traceback'] = self._format_traceback(record)
        return listed

    def _format_traceback(self, record: logging.LogRecord) -> str | None:
        if record.exc_info and record.exc_info[0]:
            return self.formatException(record.exc_info)
        return None


def configure_logs(
    origin: LogOrigin,
    read_hlc: Callable[[], str],
    level: int = logging.INFO,
    file: str = '',
) -> logging.Handler:
    """Send all logs of the process to one place.

    Parameters
    ----------
    origin : LogOrigin
        The process.
    read_hlc : callable
        Returns the next timestamp of the hybrid logical clock as text.
    level : int
        Least level that is logged.
    file : str
        Path of the log; empty for standard error.

    Returns
    -------
    logging.Handler
        The only handler of the root logger.
    """
    handler: logging.Handler = logging.StreamHandler()
    if file:
        handler = logging.FileHandler(file, encoding='utf-8')
    handler.setFormatter(KeyValueFormatter(origin, read_hlc))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = moment.isoformat(timespec='milliseconds')
    return text.replace('+00:00', 'Z')


def _rename_conflicting_keys(
    pairs: Mapping[str, object],
) -> Mapping[str, object]:
    """Keep pairs from replacing the fixed keys."""
    if FIXED_KEYS.isdisjoint(pairs):
        return pairs
    return {
        f'{key}_' if key in FIXED_KEYS else key: value
        for key, value in pairs.items()
    }
