"""Kinds of values in settings files, and how each is checked."""

import dataclasses
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


class RefusedValueError(HornbeamError):
    """A text is not a value of its kind."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """What one key accepts.

    Attributes
    ----------
    kind : str
        Name of the kind of value.
    minimum, maximum : int
        Bounds of a number.
    """

    kind: str
    minimum: int = 0
    maximum: int = 0

    def describe(self) -> str:
        """Return what is accepted, for a remedy."""
        accepted = KINDS.find(self.kind).accepted
        return accepted.format(minimum=self.minimum, maximum=self.maximum)

    def parse(self, text: str) -> object:
        """Return the value of a text.

        Raises
        ------
        RefusedValueError
            If the text is not accepted.
        """
        return KINDS.find(self.kind).parse(text, self)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of value.

    Attributes
    ----------
    accepted : str
        What is accepted; may name ``{minimum}`` and ``{maximum}``.
    parse : callable
        Returns the value of a text or raises ``RefusedValueError``.
    """

    accepted: str
    parse: Callable[[str, Rule], object]


KINDS: Final[Registry[Kind]] = Registry('kind of setting')

_Parse = Callable[[str, Rule], object]


def register_kind(name: str, accepted: str) -> Callable[[_Parse], _Parse]:
    """Return a decorator that adds a kind.

    Parameters
    ----------
    name : str
        Name of the kind; must be new.
    accepted : str
        What is accepted, for a remedy.

    Returns
    -------
    callable
        Returns its argument unchanged.
    """
    register = KINDS.register(name)

    def decorator(parse: _Parse) -> _Parse:  # noqa: WPS430
        register(Kind(accepted, parse))
        return parse

    return decorator


@register_kind('name', 'up to 63 letters, digits, dots, dashes, underscores')
def parse_name(text: str, _: Rule) -> str:
    """Parse a name of a host or of an availability zone."""
    if not NAME_PATTERN.fullmatch(text):
        raise RefusedValueError(f'{text!r} is not a name')
    return text


@register_kind('address', 'one IP address of a host, such as 10.0.0.1')
def parse_address(text: str, _: Rule) -> str:
    """Parse an IP address that a peer can connect to."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise RefusedValueError(f'{text!r} is not an IP address') from None
    if address.is_unspecified or address.is_multicast:
        raise RefusedValueError(f'{text!r} is not the address of a host')
    return str(address)


@register_kind('addresses', 'different IP addresses with commas between them')
def parse_addresses(text: str, rule: Rule) -> tuple[str, ...]:
    """Parse a list of IP addresses."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    addresses = tuple(parse_address(part, rule) for part in parts)
    for address in addresses:
        if addresses.count(address) > 1:
            raise RefusedValueError(f'{address} is listed more than once')
    return addresses


@register_kind('endpoint', 'an IP address and a port, such as 10.0.0.1:8470')
def parse_endpoint(text: str, rule: Rule) -> Endpoint:
    """Parse an IP address and a port with a colon between them."""
    address, _, port = text.strip().rpartition(':')
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise RefusedValueError(f'{text!r} is not an address and a port')
    return Endpoint(parse_address(address, rule), int(port))


@register_kind('endpoints', 'endpoints with commas between them')
def parse_endpoints(text: str, rule: Rule) -> tuple[Endpoint, ...]:
    """Parse a list of endpoints."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    return tuple(parse_endpoint(part, rule) for part in parts)


@register_kind('integer', 'an integer from {minimum} to {maximum}')
def parse_integer(text: str, rule: Rule) -> int:
    """Parse an integer within bounds."""
    if not re.fullmatch('-?[0-9]{1,18}', text):
        raise RefusedValueError(f'{text!r} is not an integer')
    number = int(text)
    if not rule.minimum <= number <= rule.maximum:
        raise RefusedValueError(f'{number} is out of range')
    return number


@register_kind('number', 'a number from {minimum} to {maximum}')
def parse_number(text: str, rule: Rule) -> float:
    """Parse a decimal number within bounds."""
    if not re.fullmatch(r'[0-9]{1,15}(\.[0-9]{1,9})?', text):
        raise RefusedValueError(f'{text!r} is not a number')
    number = float(text)
    if not rule.minimum <= number <= rule.maximum:
        raise RefusedValueError(f'{number} is out of range')
    return number


@register_kind('level', 'debug, info, warning, error or critical')
def parse_level(text: str, _: Rule) -> int:
    """Parse a level of logging."""
    level = logging.getLevelNamesMapping().get(text.upper())
    if level is None or level == logging.NOTSET:
        raise RefusedValueError(f'{text!r} is not a level')
    return level


@register_kind('path', 'a path of a file, or nothing for standard error')
def parse_path(text: str, _: Rule) -> str:
    """Parse a path."""
    if '\0' in text:
        raise RefusedValueError('a path holds no zero byte')
    return text
