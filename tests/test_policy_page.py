"""Tests that the page on the policy is true."""

import doctest
import pathlib
import re
import typing

from bench import page
from hornbeampulley import decisions

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'POLICY.md'


def list_rows(heading):
    table = PAGE.read_text().partition(f'| {heading} |')[2]
    return re.findall(r'^\| `(\w+)` \|', table.partition('\n\n')[0], re.M)


def list_names(union):
    return {kind.__name__ for kind in typing.get_args(union)}


def test_the_example_of_a_driver_runs():
    results = doctest.testfile(str(PAGE), module_relative=False)
    assert results.attempted
    assert not results.failed


def test_every_event_and_action_is_listed_once():
    assert sorted(list_rows('event')) == sorted(list_names(decisions.Event))
    assert sorted(list_rows('action')) == sorted(list_names(decisions.Action))


def test_every_named_policy_is_registered():
    paragraph = PAGE.read_text().partition('Other policies are made')[2]
    names = set(re.findall('`([a-z]+_?[a-z]+)`', paragraph))
    assert names == {name for name, _ in decisions.policies}


def test_the_table_is_that_of_the_results():
    (table,) = page.TABLE.findall(PAGE.read_text())
    assert table == page.build_table(page.RESULTS.read_text())
