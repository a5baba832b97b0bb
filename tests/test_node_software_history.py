"""Tests of what is known of software versions that served lately."""

import pytest

from hornbeampulley.clock import ManualClock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._software_history import (
    CLOCK_SLACK_MS,
    SoftwareHistory,
)
from hornbeampulley.routing import TargetRecord

WINDOW_MS = 15_000
START_MS = 1_000_000


def record(name, software, born_ms=START_MS, pool='p'):
    return TargetRecord(
        name,
        pool,
        Endpoint('10.0.0.1', 80),
        'z',
        4,
        born_ms=born_ms,
        software=software,
    )


@pytest.fixture
def clock():
    return ManualClock(START_MS)


@pytest.fixture
def history(clock):
    return SoftwareHistory(clock, clock)


def test_one_version_for_long_enough_is_the_only_one(clock, history):
    history.update([record('a', 'v1'), record('b', 'v1')])
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_of_two_versions_none_is_the_only_one(clock, history):
    history.update([record('a', 'v1'), record('b', 'v2')])
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) is None


def test_a_version_that_has_just_left_counts(clock, history):
    history.update([record('a', 'v1'), record('b', 'v2')])
    clock.advance(60_000)
    history.update([record('b', 'v2')])
    clock.advance(WINDOW_MS - 1)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(2)
    assert history.find_only('p', WINDOW_MS) == 'v2'


def test_versions_of_another_pool_do_not_count(clock, history):
    history.update([record('a', 'v1'), record('b', 'v2', pool='q')])
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) == 'v1'
    assert history.find_only('nowhere', WINDOW_MS) is None


# Pattern: all hosts are lost at once, so that nobody remembers what served.
@pytest.mark.parametrize(
    ('age_ms', 'expected'),
    [
        (2000, None),
        (WINDOW_MS, None),
        (WINDOW_MS + CLOCK_SLACK_MS + 1, 'v1'),
    ],
)
def test_a_host_that_has_just_started_goes_by_the_starts_of_targets(
    clock, history, age_ms, expected
):
    born_ms = START_MS - age_ms
    history.update([record('a', 'v1', born_ms), record('b', 'v1', 0)])
    assert history.find_only('p', WINDOW_MS) == expected
