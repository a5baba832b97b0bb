"""Tests of the view of routing table and targets."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._knowledge import Position
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder
from tests.stored import at, config, gone, server


def make(clock=None):
    return StoreView(PlatformDecoder(), clock or ManualClock())


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
    store_view.replace_targets(listed, at(9), 'store')
    assert sorted(store_view.targets.records) == ['b', 'c', 'd']


def test_a_list_does_not_remove_what_is_newer():
    store_view = make()
    store_view.apply_relayed_items([server('a', 12)])
    store_view.replace_targets([], at(9), 'store')
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
    view.advance_position(Position(at(0), at(9)))
    assert view.position == Position(at(0), at(9))


def test_a_peer_gets_the_items_that_it_has_not_applied():
    store_view = make()
    store_view.apply_items(
        [config(3, 5), server('a', 6), gone('b', 7)], 'store'
    )
    assert store_view.position == Position(at(5), at(7), 3)
    newer = list(store_view.list_newer(Position(at(5), at(6), 3)))
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


# CONFIG, DRAIN: revisions of a store that came back older were compared with
# those known from before.
def test_an_item_of_a_later_history_replaces_one_with_a_higher_number():
    store_view = make()
    store_view.apply_items([config(3, 14, epoch=1)], 'store')
    store_view.apply_items([config(4, 14, epoch=2)], 'store')
    assert store_view.table.version == 4
    assert store_view.position.routing == at(14, 2)


def test_a_host_that_read_only_the_copy_gets_the_table_in_force():
    early, late = make(), make()
    early.apply_items([config(3, 14, epoch=1)], 'store')
    for store_view in (early, late):
        store_view.apply_items([config(2, 9, epoch=2)], 'store')
    assert early.position.is_ahead_of(late.position)
    late.apply_relayed_items(early.list_newer(late.position))
    assert late.table.version == 3


def test_a_host_that_read_only_the_copy_learns_who_has_left():
    early, late = make(), make()
    early.apply_items([server('a', 5, 1, sequence=3), gone('a', 8, 1)], 'store')
    for store_view in (early, late):
        store_view.replace_targets(
            [server('a', 5, 2, sequence=3)], at(6, 2), 'store'
        )
    assert not early.targets.records
    late.apply_relayed_items(early.list_newer(Position()))
    assert not late.targets.records


def test_a_target_of_an_earlier_history_has_to_write_again():
    clock = ManualClock()
    store_view = make(clock)
    store_view.replace_targets(
        [server('a', 5, 2, sequence=3)], at(6, 2), 'store'
    )
    store_view.apply_relayed_items([server('b', 8, 1, sequence=1)])
    assert 'b' in store_view.targets.records
    clock.advance(1900)
    store_view.apply_overdue_removals()
    assert 'b' not in store_view.targets.records
    store_view.apply_items([server('b', 9, 2, sequence=1)], 'store')
    assert 'b' in store_view.targets.records


# A peer that has just started and read nothing knows of no history.
def test_a_first_history_is_no_restore():
    store_view = make()
    store_view.advance_position(Position())
    store_view.apply_items([server('a', 1, 1), server('b', 2, 1)], 'store')
    store_view.apply_items([gone('a', 3, 1)], 'store')
    assert list(store_view.targets.records) == ['b']


STAMPS = st.lists(
    st.tuples(st.integers(1, 3), st.integers(0, 6)), min_size=1, max_size=5
)


# One record out of each history: those of later ones come from older copies.
@given(stamps=STAMPS, data=st.data())
def test_what_a_target_wrote_last_holds_in_any_order(stamps, data):
    items = [
        server('a', 20 - epoch, epoch, born=born, sequence=sequence)
        for epoch, (born, sequence) in enumerate(stamps, start=1)
    ]
    store_view = make()
    for item in data.draw(st.permutations(items)):
        store_view.apply_relayed_items([item])
    (record,) = store_view.targets.records.values()
    assert (record.born_ms, record.sequence) == max(stamps)
