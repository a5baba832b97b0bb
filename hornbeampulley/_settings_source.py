"""INI parser that reports all syntax faults, not only the first."""

import configparser
import dataclasses
import pathlib
from typing import Final

from hornbeampulley.errors import Fault

MAX_FILE_BYTES: Final = 65_536
REPEATED_SUFFIX: Final = ' (repeated at line '


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """The parsed text of a settings file.

    Attributes
    ----------
    sections : dict
        Maps the names of sections to the texts of their keys.
    faults : tuple of Fault
        Syntax faults; the lines concerned are left out of ``sections``.
    """

    sections: dict[str, dict[str, str]]
    faults: tuple[Fault, ...]


def load_text(path: pathlib.Path) -> str | Fault:
    """Return the text of a file, or a fault if it can't be read."""
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


def parse_text(path: pathlib.Path, text: str) -> ParsedFile:
    """Parse the text of a settings file.

    The standard parser stops at some faults. Each fault is recorded, its line
    blanked and the text parsed again, until the rest is well formed.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file, for the faults.
    text : str
        Text of the file.

    Returns
    -------
    ParsedFile
        Sections and faults.
    """
    lines = text.splitlines()
    faults: list[Fault] = []
    while True:
        parser = _make_parser()
        try:
            parser.read_string('\n'.join(lines))
        except configparser.Error as error:
            faults.extend(_blank_faulty_lines(path, lines, error))
        else:
            return ParsedFile(_copy_sections(parser), tuple(faults))


def _make_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(
        # No section header can have this name, so that no section defines
        # defaults for the others.
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
        if REPEATED_SUFFIX not in name
    }


def _blank_faulty_lines(
    path: pathlib.Path,
    lines: list[str],
    error: configparser.Error,
) -> list[Fault]:
    """Blank the lines of an error, or rename its section; return the faults."""
    if isinstance(error, configparser.DuplicateSectionError):
        number = error.lineno or 1
        lines[number - 1] = f'[{error.section}{REPEATED_SUFFIX}{number})]'
        place = f'{path} [{error.section}]'
        return [Fault(place, f'repeated at line {number}', 'write it once')]
    if isinstance(error, configparser.DuplicateOptionError):
        number = error.lineno or 1
        lines[number - 1] = ''
        place = f'{path} [{error.section}] {error.option}'
        return [Fault(place, f'repeated at line {number}', 'write it once')]
    return [
        _blank_line(path, lines, number) for number in _list_line_numbers(error)
    ]


def _list_line_numbers(error: configparser.Error) -> list[int]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return [error.lineno]
    if isinstance(error, configparser.ParsingError):
        return [number for number, _ in error.errors]
    raise error


def _blank_line(path: pathlib.Path, lines: list[str], number: int) -> Fault:
    line = lines[number - 1]
    lines[number - 1] = ''
    return Fault(
        f'{path} line {number}',
        f'{line.strip()!r} is neither a section nor a key',
        'write [section], then lines of key = value',
    )
