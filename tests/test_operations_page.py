"""Tests that the operators' page matches the code."""

import dataclasses
import pathlib
import re

from hornbeampulley import porcelain
from hornbeampulley.programs import operator
from hornbeampulley.settings import Settings, read_settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
SOURCES = PAGE.parent.parent / 'hornbeampulley'
SENT_ACTIONS = {'lease_sent', 'refuse_sent', 'preempt_sent'}


def find_blocks(language):
    pattern = f'```{language}\n(.*?)```'
    return re.findall(pattern, PAGE.read_text(), re.DOTALL)


def test_the_settings_file_is_accepted_and_shows_every_key(tmp_path):
    (block,) = find_blocks('ini')
    path = tmp_path / 'host.ini'
    path.write_text(block)
    read_settings(path)
    keys = re.findall(r'^(\w+) =', block, re.MULTILINE)
    assert keys == [
        field.name
        for section in dataclasses.fields(Settings)
        for field in dataclasses.fields(section.type)
    ]


def test_the_tickets_have_no_fault_and_fit_together(tmp_path):
    paths = []
    for number, block in enumerate(find_blocks('json')):
        paths.append(tmp_path / str(number))
        paths[-1].write_text(block)
    report = porcelain.check_tickets(paths)
    assert report.is_good
    assert report.warnings == ()
    scopes = {check.outcome.unwrap().scope for check in report.checks}
    assert {scope.partition('/')[0] for scope in scopes} == {
        'tiers',
        'workspaces',
        'services',
        'rules',
        'targets',
    }


def test_every_command_has_a_section():
    sections = re.findall(
        '^### `hornbeam ([a-z ]+?) [-A-Z]', PAGE.read_text(), re.M
    )
    assert sections == [command.name for command in operator.COMMANDS]


def test_every_event_of_the_daemons_is_listed():
    logged = set()
    for path in SOURCES.rglob('*.py'):
        call = r"log_event\(\s*_log,\s*'(\w+)'"
        logged.update(re.findall(call, path.read_text()))
    table = PAGE.read_text().partition('## Log lines')[2]
    listed = set(re.findall(r'`(\w+)`', table.partition('\n## ')[0]))
    assert logged | SENT_ACTIONS <= listed
