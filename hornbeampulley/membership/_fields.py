"""Typed fields of the entries of a change ticket."""

import dataclasses
import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Final

from hornbeampulley.configuration import ANY
from hornbeampulley.errors import Fault, HornbeamError

MAX_FAULTS: Final = 1000
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_LABEL: Final = re.compile('[A-Za-z0-9._:/@+-]{0,128}')
_PATH: Final = re.compile('/[A-Za-z0-9._~/-]{0,255}')
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
# Large tickets hold thousands of addresses; ipaddress is slow on them.
_IPV4: Final = re.compile(rf'{_OCTET}(\.{_OCTET}){{3}}')
_SHOWN_CHARACTERS: Final = 40


class FieldError(HornbeamError):
    """A value of a field is invalid.

    Parameters
    ----------
    problem : str
        What is wrong with the value.
    remedy : str
        Which values are accepted.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class FaultList:
    """Collects up to `MAX_FAULTS` faults and counts the rest."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self._omitted = 0

    def add(self, place: str, problem: str, remedy: str) -> None:
        """Add a fault.

        Parameters
        ----------
        place, problem, remedy : str
            See ``Fault``.
        """
        if len(self._faults) < MAX_FAULTS:
            self._faults.append(Fault(place, problem, remedy))
        else:
            self._omitted += 1

    def collect(self) -> tuple[Fault, ...]:
        """Return the faults.

        Returns
        -------
        tuple of Fault
            In the order in which they were found; if some were omitted, the
            last entry says how many.
        """
        if not self._omitted:
            return tuple(self._faults)
        rest = Fault(
            'the rest of the document',
            f'{self._omitted} more faults',
            'mend those above and check again',
        )
        return (*self._faults, rest)


ValueReader = Callable[[object], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of an entry.

    Attributes
    ----------
    name : str
        Its key in the JSON object.
    read : callable
        Converts the JSON value or raises ``FieldError``.
    required : bool
        Whether the key must be present.
    """

    name: str
    read: ValueReader
    required: bool = False


def read_entry(
    entry: object,
    place: str,
    fields: Mapping[str, Field],
    faults: FaultList,
) -> dict[str, object] | None:
    """Read one entry and add its faults to a list.

    Parameters
    ----------
    entry : object
        Decoded JSON.
    place : str
        Position of the entry in the document, for messages.
    fields : mapping
        The fields of the entry, by key.
    faults : FaultList
        Faults found are added to it.

    Returns
    -------
    dict or None
        The converted values by key; None if the entry has a fault.
    """
    if not isinstance(entry, dict):
        faults.add(place, f'is {format_value(entry)}', 'write an object')
        return None
    values: dict[str, object] = {}
    is_sound = _check_keys(entry, place, fields, faults)
    for key in fields.keys() & entry.keys():
        try:
            values[key] = fields[key].read(entry[key])
        except FieldError as error:
            faults.add(f'{place}.{key}', error.problem, error.remedy)
            is_sound = False
    return values if is_sound else None


def read_name(content: object) -> str:
    """Read a name of letters, digits, dots, dashes and underscores."""
    if isinstance(content, str) and _NAME.fullmatch(content):
        return content
    raise FieldError(
        f'is {format_value(content)}',
        'write 1 to 64 letters, digits, dots, dashes or underscores, '
        'beginning with a letter or digit',
    )


def read_name_or_any(content: object) -> str:
    """Read a name or ``*``."""
    return ANY if content == ANY else read_name(content)


def read_label(content: object) -> str:
    """Read a free label, which may be empty."""
    if isinstance(content, str) and _LABEL.fullmatch(content):
        return content
    raise FieldError(
        f'is {format_value(content)}',
        'write at most 128 letters, digits or any of . _ : / @ + -',
    )


def read_path(content: object) -> str:
    """Read the path of a URL."""
    if isinstance(content, str) and _PATH.fullmatch(content):
        return content
    raise FieldError(
        f'is {format_value(content)}', 'write a path such as /generate'
    )


def read_flag(content: object) -> bool:
    """Read true or false."""
    if isinstance(content, bool):
        return content
    raise FieldError(f'is {format_value(content)}', 'write true or false')


def read_address(content: object) -> str:
    """Read an IP address."""
    if isinstance(content, str) and _IPV4.fullmatch(content):
        return content
    try:
        return str(
            ipaddress.ip_address(content if isinstance(content, str) else '')
        )
    except ValueError as error:
        raise FieldError(
            f'is {format_value(content)}',
            'write an IPv4 or IPv6 address such as "192.0.2.7"',
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceReader:
    """Reads a member of an enumeration.

    Attributes
    ----------
    choices : mapping
        Maps the accepted texts to members.
    """

    choices: Mapping[str, enum.Enum]

    def __call__(self, content: object) -> enum.Enum:
        """Return the member or raise ``FieldError``."""
        if isinstance(content, str) and content in self.choices:
            return self.choices[content]
        accepted = ' or '.join(f'"{name}"' for name in self.choices)
        raise FieldError(f'is {format_value(content)}', f'write {accepted}')


def make_choice_reader(choices: type[enum.Enum]) -> ChoiceReader:
    """Build the reader of an enumeration whose values are texts.

    Parameters
    ----------
    choices : type
        The enumeration.

    Returns
    -------
    ChoiceReader
        Accepts the values of the members.
    """
    return ChoiceReader({member.value: member for member in choices})


@dataclasses.dataclass(frozen=True, slots=True)
class IntegerReader:
    """Reads whole numbers within bounds.

    Attributes
    ----------
    lowest, highest : int
        Inclusive bounds.
    """

    lowest: int
    highest: int

    def __call__(self, content: object) -> int:
        """Return the number or raise ``FieldError``."""
        is_integer = isinstance(content, int) and not isinstance(content, bool)
        if is_integer and self.lowest <= content <= self.highest:
            return content
        raise FieldError(
            f'is {format_value(content)}',
            f'write a whole number from {self.lowest} to {self.highest}',
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NumberReader:
    """Reads numbers within bounds.

    Attributes
    ----------
    lowest, highest : float
        Inclusive bounds.
    """

    lowest: float
    highest: float

    def __call__(self, content: object) -> float:
        """Return the number or raise ``FieldError``."""
        is_number = isinstance(content, int | float)
        if isinstance(content, bool) or not is_number:
            raise self._make_error(content)
        if not self.lowest <= content <= self.highest:
            raise self._make_error(content)
        return float(content)

    def _make_error(self, content: object) -> FieldError:
        return FieldError(
            f'is {format_value(content)}',
            f'write a number from {self.lowest:g} to {self.highest:g}',
        )


def format_value(content: object) -> str:
    """Format a JSON value for a message.

    Parameters
    ----------
    content : object
        Decoded JSON.

    Returns
    -------
    str
        The value, shortened to 40 characters and an ellipsis; only the type
        of a list or an object.
    """
    if isinstance(content, list | dict):
        return 'a list' if isinstance(content, list) else 'an object'
    text = ascii(content)
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return f'{text[:_SHOWN_CHARACTERS]}...'


def _check_keys(
    entry: dict[str, object],
    place: str,
    fields: Mapping[str, Field],
    faults: FaultList,
) -> bool:
    known = ', '.join(fields)
    unknown = [key for key in entry if key not in fields]
    missing = [
        field.name
        for field in fields.values()
        if field.required and field.name not in entry
    ]
    for extra in unknown:
        faults.add(
            place, f'has unknown key {format_value(extra)}', f'use {known}'
        )
    for name in missing:
        faults.add(f'{place}.{name}', 'is missing', 'add it')
    return not (unknown or missing)
