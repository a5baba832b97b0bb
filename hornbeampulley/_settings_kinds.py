"""Kinds of values in settings files, and their parsers."""

import dataclasses
import decimal
import ipaddress
import logging
import re
from collections.abc import Callable
from typing import Final

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import HornbeamError
from hornbeampulley.registry import Registry

MAX_PORT: Final = 65_535
NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DECIMAL: Final = re.compile(
    r'-?[0-9]{1,18}(\.[0-9]{1,40})?([eE][+-]?[0-9]{1,3})?',
)
_DURATION: Final = re.compile(r'(.*?)\s*(ms|s|)', re.DOTALL)
_MS_PER_UNIT: Final = {'': 1, 'ms': 1, 's': 1000}


class InvalidValueError(HornbeamError):
    """A text is not a valid value of its kind."""


@dataclasses.dataclass(frozen=True, slots=True)
class ValueRule:
    """Kind and bounds of the value of a settings key.

    Attributes
    ----------
    kind : str
        Name of the kind of value.
    minimum, maximum : int
        Inclusive bounds of a number; unused by other kinds.
    """

    kind: str
    minimum: int = 0
    maximum: int = 0

    def describe(self) -> str:
        """Describe the accepted values, for the remedy of a fault."""
        accepted = VALUE_KINDS.find(self.kind).accepted
        return accepted.format(minimum=self.minimum, maximum=self.maximum)

    def parse(self, text: str) -> object:
        """Parse and check the text of a value.

        Raises
        ------
        InvalidValueError
            If the text is not a valid value.
        """
        return VALUE_KINDS.find(self.kind).parse(text, self)


@dataclasses.dataclass(frozen=True, slots=True)
class ValueKind:
    """Description and parser of a kind of value.

    Attributes
    ----------
    accepted : str
        Description of the accepted values; may contain ``{minimum}`` and
        ``{maximum}``.
    parse : callable
        Parses a text, or raises ``InvalidValueError``.
    """

    accepted: str
    parse: Callable[[str, ValueRule], object]


VALUE_KINDS: Final[Registry[ValueKind]] = Registry('kind of setting')

_Parse = Callable[[str, ValueRule], object]


def register_kind(name: str, accepted: str) -> Callable[[_Parse], _Parse]:
    """Return a decorator that registers the parser of a kind.

    Parameters
    ----------
    name : str
        Name of the kind; must not be registered yet.
    accepted : str
        Description of the accepted values, for the remedy of a fault.

    Returns
    -------
    callable
        Decorator that returns the parser unchanged.
    """
    register = VALUE_KINDS.register(name)

    def decorator(parse: _Parse) -> _Parse:  # noqa: WPS430
        register(ValueKind(accepted, parse))
        return parse

    return decorator


@register_kind('name', 'up to 63 letters, digits, dots, dashes, underscores')
def parse_name(text: str, _: ValueRule) -> str:
    """Parse a name of a host or of an availability zone."""
    if not NAME_PATTERN.fullmatch(text):
        raise InvalidValueError(f'{text!r} is not a name')
    return text


@register_kind('address', 'one IP address of a host, such as 10.0.0.1')
def parse_address(text: str, _: ValueRule) -> str:
    """Parse an IP address that a peer can connect to."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise InvalidValueError(f'{text!r} is not an IP address') from None
    if address.is_unspecified or address.is_multicast:
        raise InvalidValueError(f'{text!r} is not the address of a host')
    return str(address)


@register_kind('addresses', 'different IP addresses with commas between them')
def parse_addresses(text: str, rule: ValueRule) -> tuple[str, ...]:
    """Parse a comma-separated list of distinct IP addresses."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    addresses = tuple(parse_address(part, rule) for part in parts)
    for address in addresses:
        if addresses.count(address) > 1:
            raise InvalidValueError(f'{address} is listed more than once')
    return addresses


@register_kind('endpoint', 'an IP address and a port, such as 10.0.0.1:8470')
def parse_endpoint(text: str, rule: ValueRule) -> Endpoint:
    """Parse an endpoint of the form ``address:port``."""
    address, _, port = text.strip().rpartition(':')
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidValueError(f'{text!r} is not an address and a port')
    return Endpoint(parse_address(address, rule), int(port))


@register_kind('endpoints', 'endpoints with commas between them')
def parse_endpoints(text: str, rule: ValueRule) -> tuple[Endpoint, ...]:
    """Parse a comma-separated list of endpoints."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    return tuple(parse_endpoint(part, rule) for part in parts)


@register_kind('integer', 'an integer from {minimum} to {maximum}')
def parse_integer(text: str, rule: ValueRule) -> int:
    """Parse an integer within bounds; ``56.0`` and ``1e3`` are integers too."""
    number = _parse_decimal(text, 'an integer')
    _check_range(number, rule)
    if number != number.to_integral_value():
        raise InvalidValueError(f'{text!r} is not an integer')
    return int(number)


@register_kind('number', 'a number from {minimum} to {maximum}')
def parse_number(text: str, rule: ValueRule) -> float:
    """Parse a decimal number within bounds."""
    number = _parse_decimal(text, 'a number')
    _check_range(number, rule)
    return float(number)


@register_kind(
    'duration',
    'a time from {minimum}ms to {maximum}ms, such as 250ms or 1.5s',
)
def parse_duration(text: str, rule: ValueRule) -> float:
    """Parse a time with its unit into ms; without a unit it is in ms."""
    number, unit = _DURATION.fullmatch(text).groups()
    duration_ms = _parse_decimal(number, 'a time') * _MS_PER_UNIT[unit]
    _check_range(duration_ms, rule)
    return float(duration_ms)


def _parse_decimal(text: str, kind: str) -> decimal.Decimal:
    if not _DECIMAL.fullmatch(text):
        raise InvalidValueError(f'{text!r} is not {kind}')
    return decimal.Decimal(text)


def _check_range(number: decimal.Decimal, rule: ValueRule) -> None:
    if not rule.minimum <= number <= rule.maximum:
        raise InvalidValueError(f'{number} is out of range')


@register_kind('level', 'debug, info, warning, error or critical')
def parse_level(text: str, _: ValueRule) -> int:
    """Parse a log level."""
    level = logging.getLevelNamesMapping().get(text.upper())
    if level is None or level == logging.NOTSET:
        raise InvalidValueError(f'{text!r} is not a level')
    return level


@register_kind('path', 'a path of a file, or nothing for standard error')
def parse_path(text: str, _: ValueRule) -> str:
    """Parse a file path."""
    if '\0' in text:
        raise InvalidValueError('the path contains a zero byte')
    return text
