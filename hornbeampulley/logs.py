"""Structured logging: one line of key=value pairs per event."""

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
# Event name of records that were not logged by `log_event`.
LIBRARY_EVENT: Final = 'library_message'
# Values that need no quotes: printable ASCII without space, double quote,
# equal sign and backslash.
_PLAIN_VALUE: Final = re.compile(r'[!#-<>-\[\]-~]+')
_PAIRS_ATTRIBUTE: Final = 'event_pairs'


@dataclasses.dataclass(frozen=True, slots=True)
class LogOrigin:
    """Identity of the process that writes a log.

    Attributes
    ----------
    program : str
        Name of the program, such as ``entry``.
    host : str
        Name of the host.
    incarnation : str
        Random id of this run of the program.
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
        Log level.
    **pairs : object
        Further keys and values; ``request`` is the id of the request. Values
        that are None are left out.
    """
    if logger.isEnabledFor(severity):
        logger.log(severity, '%s', event, extra={_PAIRS_ATTRIBUTE: pairs})


def get_event(record: logging.LogRecord) -> str:
    """Return the event that a record is about.

    Parameters
    ----------
    record : logging.LogRecord
        The record.

    Returns
    -------
    str
        The event; `LIBRARY_EVENT` if `log_event` did not log it.
    """
    if hasattr(record, _PAIRS_ATTRIBUTE):
        return record.getMessage()
    return LIBRARY_EVENT


def quote_value(value: object) -> str:
    """Return a value as text, quoted as a JSON string if necessary."""
    text = str(value)
    if isinstance(value, int) or _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_pairs(pairs: Mapping[str, object]) -> str:
    """Format pairs as one line; values that are None are left out."""
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
        Identity of the process.
    read_hlc : callable
        Returns the next timestamp of the hybrid logical clock, encoded.
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
        """Format a record as one line."""
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
    """Send all log records of the process to a file or standard error.

    Parameters
    ----------
    origin : LogOrigin
        Identity of the process.
    read_hlc : callable
        Returns the next timestamp of the hybrid logical clock, encoded.
    level : int
        Lowest level that is logged.
    file : str
        Path of the log file; empty for standard error.

    Returns
    -------
    logging.Handler
        The handler of the root logger; others are removed.
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
    """Append an underscore to the keys that equal one of `FIXED_KEYS`."""
    if FIXED_KEYS.isdisjoint(pairs):
        return pairs
    return {
        f'{key}_' if key in FIXED_KEYS else key: value
        for key, value in pairs.items()
    }
