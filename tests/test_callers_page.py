"""Checks that ``docs/CALLERS.md`` lists every problem the code sends."""

import pathlib
import re

PAGE = pathlib.Path('docs/CALLERS.md').read_text()
SOURCES = tuple(pathlib.Path('hornbeampulley/pipeline').glob('*.py'))
PROBLEM = re.compile(r"Problem\(\s*(\d{3}),\s*'([^']+)'")
REASON = re.compile(r'Reason\.(\w+): (\d{3}),')


def list_problems():
    for path in SOURCES:
        text = path.read_text()
        yield from PROBLEM.findall(text)
        for reason, status in REASON.findall(text):
            yield status, reason.lower().replace('_', ' ')


def test_every_problem_is_listed_with_its_status():
    problems = set(list_problems())
    assert len(problems) > 20
    for status, title in problems:
        assert f'| `{title}` | {status} |' in PAGE


def test_no_other_problem_is_listed():
    listed = set(re.findall(r'\| `([a-z ]+)` \| (\d{3}) \|', PAGE))
    assert listed == {(title, status) for status, title in list_problems()}
