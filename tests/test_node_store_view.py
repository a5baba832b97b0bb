"""Tests of the view of routing table and targets."""

import json

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from tests.stored import gone, server


def make(clock=None):
    return StoreView(PlatformDecoder(), clock or ManualClock())


def config(version, revision):
    document = {'version': version, 'routes': [], 'services': []}
    return StoredItem('op/config', json.dumps(document).encode(), revision)


def test_a_removal_takes_effect_at_once():
    store_view = make()
    store_view.apply_items(
        [server('a', 1), server('b', 2), server('c', 3)], 'store'
    )
    store_view.apply_items([gone('a', 4)], 'store')
    assert sorted(store_view.targets.records) == ['b', 'c']


def test_a_removal_after_an_outage_is_held_back():
    clock = ManualClock()
    store_view = make(clock)
    store_view.apply_items(
        [server('a', 1), server('b', 2), server('c', 3)], 'store'
    )
    store_view.record_outage(clock.now())
    store_view.apply_items([gone('a', 4)], 'store')
    clock.advance(1700)
    store_view.apply_overdue_removals()
    assert 'a' in store_view.targets.records
    clock.advance(200)
    store_view.apply_overdue_removals()
    assert 'a' not in store_view.targets.records


def test_what_is_removed_long_after_an_outage_is_held_only_for_the_rest():
    clock = ManualClock()
    store_view = make(clock)
    store_view.apply_items(
        [server('a', 1), server('b', 2), server('c', 3)], 'store'
    )
    store_view.record_outage(clock.now())
    clock.advance(1700)
    store_view.apply_items([gone('a', 4)], 'store')
    assert 'a' in store_view.targets.records
    clock.advance(200)
    store_view.apply_overdue_removals()
    assert 'a' not in store_view.targets.records


def test_a_removal_that_a_peer_has_taken_is_not_held_again():
    store_view = make()
    store_view.apply_items(
        [server('a', 1), server('b', 2), server('c', 3)], 'store'
    )
    store_view.record_outage(0)
    store_view.apply_relayed_items([gone('a', 4), gone('b', 5)])
    assert list(store_view.targets.records) == ['c']


def test_a_removal_is_held_as_long_as_the_peer_that_read_it_holds_it():
    clock = ManualClock()
    reader = make(clock)
    other = make(clock)
    for store_view in (reader, other):
        store_view.apply_items([server('a', 1)], 'store')
    reader.record_outage(clock.now())
    reader.apply_items([gone('a', 4)], 'store')
    clock.advance(1500)
    other.apply_relayed_items(reader.list_newer(other.position))
    clock.advance(200)
    other.apply_overdue_removals()
    assert 'a' in other.targets.records
    clock.advance(200)
    other.apply_overdue_removals()
    assert 'a' not in other.targets.records


# DRAIN: removals that are due took effect at the next tick, which is late on a
# busy host.
def test_a_target_is_gone_as_soon_as_its_removal_is_due():
    clock = ManualClock()
    store_view = make(clock)
    store_view.apply_items([server('a', 1), server('b', 2)], 'store')
    record = store_view.targets.records['a']
    store_view.record_outage(clock.now())
    store_view.apply_items([gone('a', 4)], 'store')
    clock.advance(1799)
    assert store_view.get_notice(record).is_open
    clock.advance(1)
    assert not store_view.get_notice(record).is_open


def test_a_target_that_registers_again_is_kept():
    clock = ManualClock()
    store_view = make(clock)
    store_view.apply_items([server('a', 1)], 'store')
    store_view.record_outage(clock.now())
    store_view.apply_items([gone('a', 4), server('a', 5)], 'store')
    clock.advance(5000)
    store_view.apply_overdue_removals()
    assert 'a' in store_view.targets.records


def test_the_loss_of_most_targets_at_once_counts_as_an_outage():
    clock = ManualClock()
    store_view = make(clock)
    store_view.apply_items(
        [server('a', 1), server('b', 2), server('c', 3)], 'store'
    )
    store_view.apply_items([gone('a', 4), gone('b', 5)], 'store')
    assert len(store_view.targets.records) == 3
    clock.advance(2500)
    store_view.apply_overdue_removals()
    assert list(store_view.targets.records) == ['c']


def test_a_list_removes_targets_that_are_not_listed():
    store_view = make()
    store_view.apply_items([server(name, 1) for name in 'abcd'], 'store')
    listed = [server(name, 1) for name in 'bcd']
    store_view.replace_targets(listed, 9, 'store')
    assert sorted(store_view.targets.records) == ['b', 'c', 'd']


def test_a_list_does_not_remove_what_is_newer():
    store_view = make()
    store_view.apply_relayed_items([server('a', 12)])
    store_view.replace_targets([], 9, 'store')
    assert 'a' in store_view.targets.records


def test_a_record_that_becomes_malformed_removes_its_target():
    store_view = make()
    store_view.apply_items(
        [server('a', 1), server('b', 1), server('c', 1)], 'store'
    )
    store_view.apply_items([server('a', 2, slots='4')], 'store')
    assert sorted(store_view.targets.records) == ['b', 'c']


# A link lost between two batches of items once left a gap that nobody closed.
def test_the_position_does_not_pass_items_that_a_peer_has_not_sent_yet():
    view = make()
    view.apply_relayed_items([server('t', 9)])
    assert view.position == Position()
    view.advance_position(Position(0, 9))
    assert view.position == Position(0, 9)


def test_a_peer_gets_the_items_that_it_has_not_applied():
    store_view = make()
    store_view.apply_items(
        [config(3, 5), server('a', 6), gone('b', 7)], 'store'
    )
    assert store_view.position == Position(routing=5, targets=7)
    newer = list(store_view.list_newer(Position(routing=5, targets=6)))
    assert newer == [gone('b', 7)]
    assert len(list(store_view.list_newer(Position()))) == 3


VERSIONS = st.lists(
    st.tuples(st.integers(1, 9), st.integers(1, 30)),
    max_size=30,
)


@given(versions=VERSIONS)
def test_the_routing_table_never_goes_back(versions):
    store_view = make()
    highest = 0
    for version, revision in versions:
        before = store_view.table
        store_view.apply_relayed_items([config(version, revision)])
        after = store_view.table
        assert before is None or after.version >= before.version
        highest = max(highest, after.version)
    assert store_view.table is None or store_view.table.version == highest


CHANGES = st.lists(
    st.tuples(
        st.sampled_from('ab'),
        st.integers(1, 20),
        st.booleans(),
        st.booleans(),
    ),
    max_size=30,
    unique_by=lambda change: change[:2],
)


@given(changes=CHANGES)
def test_any_order_of_changes_leads_to_the_newest(changes):
    clock = ManualClock()
    store_view = make(clock)
    newest = {}
    for name, revision, is_gone, is_relayed in changes:
        item = gone(name, revision) if is_gone else server(name, revision)
        if is_relayed:
            store_view.apply_relayed_items([item])
        else:
            store_view.apply_items([item], 'store')
        if revision > newest.get(name, (0, False))[0]:
            newest[name] = (revision, is_gone)
    clock.advance(10_000)
    store_view.apply_overdue_removals()
    living = {name for name, (_, is_gone) in newest.items() if not is_gone}
    assert set(store_view.targets.records) == living
