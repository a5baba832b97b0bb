"""Reads fields of documents that any writer may have made.

What can't be used raises an error of `MALFORMED`; so does JSON that can't be
read.
"""

import ipaddress
import math
import re
from typing import Any, Final

from hornbeampulley.endpoints import Endpoint

MALFORMED: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors of reading a document that was not written for this reader."""

MAX_NUMBER: Final = 1e12
MAX_PORT: Final = 65_535
_PORT: Final = re.compile('[0-9]{1,5}')
_NAME: Final = re.compile('[!-~]+')


def expect_text(document: dict[str, Any], name: str) -> str:
    """Read a text that can be written to logs and peers.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.

    Returns
    -------
    str
        Text without control characters and halves of characters.

    Raises
    ------
    TypeError
        If the field is not a string.
    ValueError
        If it is empty or can't be printed.
    """
    text = document[name]
    if not isinstance(text, str):
        raise TypeError(f'{name} is not a string')
    if not text or not text.isprintable():
        raise ValueError(f'{name} is empty or not printable')
    return text


def expect_name(text: str) -> str:
    """Check that a text can be written to a header as it is.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    str
        The same text.

    Raises
    ------
    ValueError
        If it is empty or has other characters than visible ASCII ones.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(f'{text!a} is not a name')
    return text


def read_number(
    document: dict[str, Any], name: str, default: float = 0
) -> float:
    """Read a finite number that is not negative.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.
    default : float
        Number if the field is missing or null.

    Returns
    -------
    float
        At most `MAX_NUMBER`.

    Raises
    ------
    TypeError
        If the field is not a number.
    ValueError
        If it is out of range.
    """
    number = document.get(name)
    if number is None:
        return default
    if not isinstance(number, int | float) or isinstance(number, bool):
        raise TypeError(f'{name} is not a number')
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f'{name} is out of range')
    return float(number)


def expect_number(document: dict[str, Any], name: str) -> float:
    """Read a positive number that must be there.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.

    Returns
    -------
    float
        Above 0, at most `MAX_NUMBER`.

    Raises
    ------
    TypeError
        If the field is not a number.
    ValueError
        If it is missing or out of range.
    """
    number = read_number(document, name)
    if not number:
        raise ValueError(f'{name} is missing')
    return number


def read_count(document: dict[str, Any], name: str, default: int = 0) -> int:
    """Read a whole number that is not negative.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.
    default : int
        Number if the field is missing or null.

    Returns
    -------
    int
        At most `MAX_NUMBER`.

    Raises
    ------
    TypeError
        If the field is not a number.
    ValueError
        If it is out of range or not whole.
    """
    number = read_number(document, name, default)
    if math.floor(number) != number:
        raise ValueError(f'{name} is not whole')
    return int(number)


def expect_count(
    document: dict[str, Any],
    name: str,
    minimum: int,
    maximum: int,
) -> int:
    """Read an integer that must be there.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.
    minimum, maximum : int
        Allowed range.

    Returns
    -------
    int
        The number.

    Raises
    ------
    TypeError
        If the field is not an integer.
    ValueError
        If it is out of range.
    """
    count = document[name]
    if not isinstance(count, int) or isinstance(count, bool):
        raise TypeError(f'{name} is not an integer')
    if not minimum <= count <= maximum:
        raise ValueError(f'{name} is out of range')
    return count


def expect_endpoint(document: dict[str, Any], name: str) -> Endpoint:
    """Read an IP address and port.

    Parameters
    ----------
    document : dict
        Decoded document.
    name : str
        Name of the field.

    Returns
    -------
    Endpoint
        Where to connect.

    Raises
    ------
    TypeError
        If the field is not a string.
    ValueError
        If it is not an IP address with a port.
    """
    address, _, port = expect_text(document, name).rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{name} has no port')
    return Endpoint(str(ipaddress.ip_address(address)), int(port))
