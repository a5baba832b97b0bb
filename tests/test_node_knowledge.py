"""Tests of what a node knows of routing and targets."""

import json

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._knowledge import Knowledge, Position
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder

ENTRY = {
    'service': 'p',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'born': 7,
}


def make(clock=None):
    return Knowledge(PlatformDecoder(), clock or ManualClock())


def server(name, revision, **changes):
    content = json.dumps(ENTRY | changes).encode()
    return StoredItem(f'servers/{name}', content, revision)


def gone(name, revision):
    return StoredItem(f'servers/{name}', b'', revision, is_deleted=True)


def config(version, revision):
    document = {'version': version, 'routes': [], 'services': []}
    return StoredItem('op/config', json.dumps(document).encode(), revision)


def test_a_removal_takes_effect_at_once():
    knowledge = make()
    knowledge.take([server('a', 1), server('b', 2), server('c', 3)], 'store')
    knowledge.take([gone('a', 4)], 'store')
    assert sorted(knowledge.targets.records) == ['b', 'c']


def test_what_lapsed_in_an_outage_has_time_to_come_back():
    clock = ManualClock()
    knowledge = make(clock)
    knowledge.take([server('a', 1), server('b', 2), server('c', 3)], 'store')
    knowledge.note_outage()
    knowledge.take([gone('a', 4)], 'store')
    clock.advance(1700)
    knowledge.take_overdue()
    assert 'a' in knowledge.targets.records
    clock.advance(200)
    knowledge.take_overdue()
    assert 'a' not in knowledge.targets.records


def test_what_is_removed_long_after_an_outage_is_held_only_for_the_rest():
    clock = ManualClock()
    knowledge = make(clock)
    knowledge.take([server('a', 1), server('b', 2), server('c', 3)], 'store')
    knowledge.note_outage()
    clock.advance(1700)
    knowledge.take([gone('a', 4)], 'store')
    assert 'a' in knowledge.targets.records
    clock.advance(200)
    knowledge.take_overdue()
    assert 'a' not in knowledge.targets.records


def test_a_removal_that_a_peer_has_taken_is_not_held_again():
    knowledge = make()
    knowledge.take([server('a', 1), server('b', 2), server('c', 3)], 'store')
    knowledge.note_outage()
    knowledge.take_relayed([gone('a', 4), gone('b', 5)])
    assert list(knowledge.targets.records) == ['c']


def test_a_removal_is_held_as_long_as_the_peer_that_read_it_holds_it():
    clock = ManualClock()
    reader = make(clock)
    other = make(clock)
    for knowledge in (reader, other):
        knowledge.take([server('a', 1)], 'store')
    reader.note_outage()
    reader.take([gone('a', 4)], 'store')
    clock.advance(1500)
    other.take_relayed(reader.list_newer(other.position))
    clock.advance(200)
    other.take_overdue()
    assert 'a' in other.targets.records
    clock.advance(200)
    other.take_overdue()
    assert 'a' not in other.targets.records


def test_a_target_that_came_back_is_kept():
    clock = ManualClock()
    knowledge = make(clock)
    knowledge.take([server('a', 1)], 'store')
    knowledge.note_outage()
    knowledge.take([gone('a', 4), server('a', 5)], 'store')
    clock.advance(5000)
    knowledge.take_overdue()
    assert 'a' in knowledge.targets.records


def test_the_loss_of_most_targets_at_once_counts_as_an_outage():
    clock = ManualClock()
    knowledge = make(clock)
    knowledge.take([server('a', 1), server('b', 2), server('c', 3)], 'store')
    knowledge.take([gone('a', 4), gone('b', 5)], 'store')
    assert len(knowledge.targets.records) == 3
    clock.advance(2500)
    knowledge.take_overdue()
    assert list(knowledge.targets.records) == ['c']


def test_a_list_removes_what_it_does_not_hold():
    knowledge = make()
    knowledge.take([server(name, 1) for name in 'abcd'], 'store')
    listed = [server(name, 1) for name in 'bcd']
    knowledge.replace_targets(listed, 9, 'store')
    assert sorted(knowledge.targets.records) == ['b', 'c', 'd']


def test_a_list_does_not_remove_what_is_newer():
    knowledge = make()
    knowledge.take_relayed([server('a', 12)])
    knowledge.replace_targets([], 9, 'store')
    assert 'a' in knowledge.targets.records


def test_an_entry_that_breaks_names_no_target():
    knowledge = make()
    knowledge.take([server('a', 1), server('b', 1), server('c', 1)], 'store')
    knowledge.take([server('a', 2, slots='4')], 'store')
    assert sorted(knowledge.targets.records) == ['b', 'c']


def test_a_peer_gets_what_it_has_not_taken():
    knowledge = make()
    knowledge.take([config(3, 5), server('a', 6), gone('b', 7)], 'store')
    assert knowledge.position == Position(routing=5, targets=7)
    newer = list(knowledge.list_newer(Position(routing=5, targets=6)))
    assert newer == [gone('b', 7)]
    assert len(list(knowledge.list_newer(Position()))) == 3


VERSIONS = st.lists(
    st.tuples(st.integers(1, 9), st.integers(1, 30)),
    max_size=30,
)


@given(versions=VERSIONS)
def test_the_routing_table_never_goes_back(versions):
    knowledge = make()
    highest = 0
    for version, revision in versions:
        before = knowledge.table
        knowledge.take_relayed([config(version, revision)])
        after = knowledge.table
        assert before is None or after.version >= before.version
        highest = max(highest, after.version)
    assert knowledge.table is None or knowledge.table.version == highest


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
    knowledge = make(clock)
    newest = {}
    for name, revision, is_gone, is_relayed in changes:
        item = gone(name, revision) if is_gone else server(name, revision)
        if is_relayed:
            knowledge.take_relayed([item])
        else:
            knowledge.take([item], 'store')
        if revision > newest.get(name, (0, False))[0]:
            newest[name] = (revision, is_gone)
    clock.advance(10_000)
    knowledge.take_overdue()
    living = {name for name, (_, is_gone) in newest.items() if not is_gone}
    assert set(knowledge.targets.records) == living
