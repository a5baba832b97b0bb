"""Reading of INI text with every fault of its form."""

import configparser
import dataclasses
import pathlib
from typing import Final

from hornbeampulley.errors import Fault

MAX_FILE_BYTES: Final = 65_536
REPEATED: Final = ' (repeated at line '


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A settings file in parts.

    Attributes
    ----------
    sections : dict
        Maps the names of sections to the texts of their keys.
    faults : tuple of Fault
        Faults of form; what they spoil is left out of ``sections``.
    """

    sections: dict[str, dict[str, str]]
    faults: tuple[Fault, ...]


def load_text(path: pathlib.Path) -> str | Fault:
    """Return the text of a file, or why it can't be read."""
    try:
        content = path.read_bytes()
    except OSError as error:
        remedy = 'name a readable file'
        return Fault(str(path), error.strerror or str(error), remedy)
    if len(content) > MAX_FILE_BYTES:
        remedy = f'write at most {MAX_FILE_BYTES} bytes'
        return Fault(str(path), 'the file is too long', remedy)
    try:
        return content.decode()
    except UnicodeDecodeError:
        return Fault(str(path), 'the file is not UTF-8', 'save it as UTF-8')


def parse_text(path: pathlib.Path, text: str) -> Source:
    """Split the text of a settings file.

    Each fault that ends the parser is noted and its line taken out, until
    the rest is well formed.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file, for the faults.
    text : str
        The text of the file.

    Returns
    -------
    Source
        The sections and the faults.
    """
    lines = text.splitlines()
    faults: list[Fault] = []
    while True:
        parser = _make_parser()
        try:
            parser.read_string('\n'.join(lines))
        except configparser.Error as error:
            faults.extend(_repair(path, lines, error))
        else:
            return Source(_copy_sections(parser), tuple(faults))


def _make_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(
        # No header can name it, so that no section gives defaults to others.
        default_section='',
        interpolation=None,
        empty_lines_in_values=False,
    )


def _copy_sections(
    parser: configparser.ConfigParser,
) -> dict[str, dict[str, str]]:
    return {
        name: dict(parser.items(name))
        for name in parser.sections()
        if REPEATED not in name
    }


def _repair(
    path: pathlib.Path,
    lines: list[str],
    error: configparser.Error,
) -> list[Fault]:
    """Take the lines of an error out and return its faults."""
    if isinstance(error, configparser.DuplicateSectionError):
        number = error.lineno or 1
        lines[number - 1] = f'[{error.section}{REPEATED}{number})]'
        place = f'{path} [{error.section}]'
        return [Fault(place, f'repeated at line {number}', 'write it once')]
    if isinstance(error, configparser.DuplicateOptionError):
        number = error.lineno or 1
        lines[number - 1] = ''
        place = f'{path} [{error.section}] {error.option}'
        return [Fault(place, f'repeated at line {number}', 'write it once')]
    return [_remove_line(path, lines, number) for number in _list_lines(error)]


def _list_lines(error: configparser.Error) -> list[int]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return [error.lineno]
    if isinstance(error, configparser.ParsingError):
        return [number for number, _ in error.errors]
    raise error


def _remove_line(path: pathlib.Path, lines: list[str], number: int) -> Fault:
    line = lines[number - 1]
    lines[number - 1] = ''
    return Fault(
        f'{path} line {number}',
        f'{line.strip()!r} is neither a section nor a key',
        'write [section], then lines of key = value',
    )
