"""The page of proofs names only tests that exist."""

import pathlib
import re

import pytest

PAGE = pathlib.Path('docs/PROOFS.md')
PROMISES = 8
FAILURES = 12
LISTED = re.findall(r'^\| (\w+) \| `(.+?)::(.+?)` \|$', PAGE.read_text(), re.M)


@pytest.mark.parametrize(('tag', 'path', 'name'), LISTED)
def test_each_listed_test_exists(tag, path, name):
    text = pathlib.Path(path).read_text()
    assert re.search(rf'^(def {name}\(|{name} = )', text, re.M)


def test_each_cell_names_listed_tests():
    lines = PAGE.read_text().partition('\n## ')[0].splitlines()
    rows = [line for line in lines if line.startswith('| ')][2:]
    assert len(rows) == PROMISES
    tags = {tag for tag, _, _ in LISTED}
    for row in rows:
        cells = [cell.strip() for cell in row.strip('|').split('|')][1:]
        assert len(cells) == FAILURES
        named = {tag for cell in cells for tag in cell.split(', ')}
        assert named - {'-'} <= tags
