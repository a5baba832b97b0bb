"""Writes the table of docs/POLICY.md from the file of results."""

import dataclasses
import math
import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import Final

RESULTS: Final = pathlib.Path(__file__).with_name('results.txt')
PAGE: Final = RESULTS.parent.parent / 'docs' / 'POLICY.md'
TABLE: Final = re.compile('(?<=<!-- results -->\n).*?(?=<!-- end -->)', re.S)
TITLE: Final = slice(24)
NAME: Final = slice(25, 58)
BOUND: Final = slice(59, 67)
CELLS: Final = slice(68, None)
POLICIES: Final = 4
ZERO_BOUND: Final = '<= 0'
HEAD: Final = (
    '| deployment, scenario | figure | bound | round robin | least load '
    '| FIFO, tiers | hornbeam | met |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One figure of one scenario.

    Attributes
    ----------
    title : str
        Deployment and scenario.
    name : str
        What was measured.
    bound : str
        As text; empty if there is none.
    amounts : tuple of float
        Of each policy; infinite if some requests had no answer.
    verdict : str
        Whether hornbeam met the bound.
    """

    title: str
    name: str
    bound: str
    amounts: tuple[float, ...]
    verdict: str

    def format(self) -> str:
        """Return it as a row of the table."""
        amounts = [_format_amount(amount) for amount in self.amounts]
        cells = (self.title, self.name, self.bound, *amounts, self.verdict)
        return f'| {" | ".join(cells)} |'


def build_table(results: str) -> str:
    """Return the table of a file of results.

    Figures that must be 0 and are 0 under every policy are left out; their
    number stands below the table.

    Parameters
    ----------
    results : str
        What ``python -m bench`` wrote.

    Returns
    -------
    str
        Markdown, with the seed and the commit.
    """
    head, _, *lines = results.splitlines()
    rows = [_parse(line) for line in lines]
    shown = [row for row in rows if not _is_plain_zero(row)]
    count = len(rows) - len(shown)
    return '\n'.join(_list_lines(head, shown, count))


def main() -> None:
    """Write the table into the page."""
    table = build_table(RESULTS.read_text())
    page = PAGE.read_text()
    PAGE.write_text(TABLE.sub(lambda _: table, page))


def _list_lines(head: str, rows: Iterable[Row], zeros: int) -> Iterator[str]:
    yield f'Run: {head}.\n'
    yield from HEAD
    for row in rows:
        yield row.format()
    yield f'\n{zeros} more figures must be 0 and are 0 under every policy.\n'


def _parse(line: str) -> Row:
    *amounts, _, verdict = line[CELLS].split()
    return Row(
        line[TITLE].strip(),
        line[NAME].strip(),
        line[BOUND].strip(),
        tuple(float(amount) for amount in amounts[:POLICIES]),
        verdict,
    )


def _is_plain_zero(row: Row) -> bool:
    return row.bound == ZERO_BOUND and not any(row.amounts)


def _format_amount(amount: float) -> str:
    return 'none' if math.isinf(amount) else f'{amount:.3f}'


if __name__ == '__main__':
    main()
