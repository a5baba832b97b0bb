"""Tests of what is known of software versions that served lately."""

import pytest

from hornbeampulley.clock import ManualClock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.routing import TargetRecord
from tests.stored import at, gone, server

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
    known = SoftwareHistory(clock)
    known.begin()
    return known


def register(history, *records):
    for one in records:
        history.record(one)


def test_one_version_for_long_enough_is_the_only_one(clock, history):
    register(history, record('a', 'v1'), record('b', 'v1'))
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_of_two_versions_none_is_the_only_one(clock, history):
    register(history, record('a', 'v1'), record('b', 'v2'))
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) is None


def test_a_version_that_has_just_left_counts(clock, history):
    register(history, record('a', 'v1'), record('b', 'v2'))
    clock.advance(60_000)
    history.record_removal('a')
    clock.advance(WINDOW_MS - 1)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(2)
    assert history.find_only('p', WINDOW_MS) == 'v2'


def test_a_version_that_a_target_had_under_its_name_counts(clock, history):
    register(history, record('a', 'v1'))
    clock.advance(60_000)
    register(history, record('a', 'v2'))
    clock.advance(WINDOW_MS - 1)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(2)
    assert history.find_only('p', WINDOW_MS) == 'v2'


def test_versions_of_another_pool_do_not_count(clock, history):
    register(history, record('a', 'v1'), record('b', 'v2', pool='q'))
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) == 'v1'
    assert history.find_only('nowhere', WINDOW_MS) is None


# ORDER: all hosts were lost just after a version had left. The list, read when they
# came back, showed old targets of the other version only, and that was taken for
# proof that no other had served.
@pytest.mark.parametrize('age_ms', [0, 2000, WINDOW_MS, 1_000_000])
def test_a_list_does_not_tell_what_has_left_before_it(clock, history, age_ms):
    register(history, record('a', 'v1', START_MS - age_ms))
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(WINDOW_MS - 1)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(1)
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_the_removal_of_an_unknown_target_may_be_that_of_a_version(
    clock, history
):
    register(history, record('a', 'v1'))
    clock.advance(60_000)
    history.record_unknown_removal()
    clock.advance(WINDOW_MS)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(1)
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_all_changes_of_the_store_prove_a_version(history):
    register(history, record('a', 'v1'))
    assert history.replay([('a', record('a', 'v1')), ('b', None)])
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_what_has_ended_among_all_changes_may_just_have_ended(clock, history):
    register(history, record('a', 'v1'))
    changes = [
        ('b', record('b', 'v2')),
        ('a', record('a', 'v1')),
        ('b', None),
    ]
    assert history.replay(changes)
    assert history.find_only('p', WINDOW_MS) is None
    clock.advance(WINDOW_MS + 1)
    assert history.find_only('p', WINDOW_MS) == 'v1'


def test_changes_without_a_registered_target_are_not_all(history):
    register(history, record('a', 'v1'), record('b', 'v1'))
    assert not history.replay([('b', record('b', 'v1'))])
    assert history.find_only('p', WINDOW_MS) is None


def test_a_version_that_comes_and_goes_within_one_answer_counts(clock):
    store_view = StoreView(PlatformDecoder(), clock)
    store_view.replace_targets([server('a', 1, version='v1')], at(1), 'store')
    clock.advance(60_000)
    store_view.apply_items(
        [server('b', 2, version='v2'), gone('b', 3)], 'store'
    )
    history = store_view.software_history
    assert history.list_versions('p', WINDOW_MS) == {'v1', 'v2'}


def test_what_a_list_read_anew_does_not_show_is_not_known(clock):
    store_view = StoreView(PlatformDecoder(), clock)
    listed = [server('a', 1, version='v1')]
    store_view.replace_targets(listed, at(1), 'store')
    clock.advance(60_000)
    assert store_view.software_history.covers(WINDOW_MS)
    store_view.replace_targets(listed, at(9), 'store')
    assert not store_view.software_history.covers(WINDOW_MS)
