"""Tests of reading from a store that comes back older, in virtual time.

What was written after the copy was made is lost, its revisions are given out
again, and operators and targets write again what they had written.
"""

import pytest
import trio

from standins.metadata import MetadataStore
from tests.nodes import make_config
from tests.stores import start_reader

# The users' bounds: a change has to be in force, after a disturbance once hosts
# count as in touch again.
STABLE_S = 3.0
APPLY_S = 2.0
AWAY_S = 2.0
ENTRY = {
    'service': 'p',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'born': 7,
    'sequence': 20,
}
# Moments of the restore relative to the calls of a host.
MOMENTS_S = [5 + one / 4 for one in range(12)]


class RestoredStore(MetadataStore):
    """A store that answers nobody until it has come back from a copy."""

    def __init__(self):
        super().__init__()
        self.is_silent = False

    async def go_away(self, revision, away_s=AWAY_S):
        self.is_silent = True
        await trio.sleep(away_s)
        self.restore(revision)
        self.is_silent = False


def run(mock_run, scenario):
    async def main():
        store = RestoredStore()
        store.put('op/config', make_config(1))
        for name in 'abcde':
            store.put(f'servers/{name}', ENTRY)
        async with trio.open_nursery() as nursery:
            view = start_reader(store, nursery)
            await scenario(store, view)
            nursery.cancel_scope.cancel()

    mock_run(main)


# CONFIG: a version was dropped for good, as its revision in the restored store
# was one that the host knew from before.
@pytest.mark.parametrize('lost', [1, 2, 3])
@pytest.mark.parametrize('moment_s', MOMENTS_S)
def test_a_version_written_after_a_restore_is_in_force(
    mock_run, moment_s, lost
):
    async def scenario(store, view):
        await trio.sleep(moment_s - 1)
        for version in range(2, 2 + lost):
            store.put('op/config', make_config(version))
        await trio.sleep(1)
        await store.go_away(store.revision - lost)
        await trio.sleep(STABLE_S)
        store.put('op/config', make_config(9))
        await trio.sleep(APPLY_S)
        assert view.table.version == 9

    run(mock_run, scenario)


# DRAIN: the same for a target's word that it leaves.
@pytest.mark.parametrize('moment_s', MOMENTS_S)
def test_a_target_that_leaves_after_a_restore_is_known(mock_run, moment_s):
    async def scenario(store, view):
        await trio.sleep(moment_s - 1)
        store.put('servers/a', ENTRY | {'address': '10.0.0.2:80'})
        await trio.sleep(1)
        await store.go_away(store.revision - 1)
        await trio.sleep(STABLE_S)
        store.put('servers/a', ENTRY | {'state': 'draining', 'sequence': 22})
        await trio.sleep(APPLY_S)
        assert view.targets.list_draining() == {'a'}

    run(mock_run, scenario)


# DRAIN: a target that had left was in use again, as the copy still listed it.
def test_a_target_that_has_left_is_not_revived_by_the_copy(mock_run):
    async def scenario(store, view):
        await trio.sleep(5)
        store.delete('servers/a')
        await trio.sleep(1)
        await store.go_away(store.revision - 1)
        for _ in range(100):
            await trio.sleep(0.1)
            assert 'a' not in view.targets.records

    run(mock_run, scenario)


def test_a_target_that_writes_after_a_restore_is_back(mock_run):
    async def scenario(store, view):
        await trio.sleep(5)
        store.delete('servers/a')
        await trio.sleep(1)
        await store.go_away(store.revision - 1)
        await trio.sleep(1)
        store.put('servers/a', ENTRY | {'sequence': 23})
        await trio.sleep(0.5)
        assert 'a' in view.targets.records

    run(mock_run, scenario)


def test_a_target_that_starts_again_after_a_restore_is_back(mock_run):
    async def scenario(store, view):
        await trio.sleep(5)
        store.delete('servers/a')
        await trio.sleep(1)
        await store.go_away(store.revision - 1)
        await trio.sleep(1)
        store.put('servers/a', ENTRY | {'born': 9, 'sequence': 1})
        await trio.sleep(0.5)
        assert 'a' in view.targets.records

    run(mock_run, scenario)


# DRAIN: a target that had said that it leaves was ready again.
def test_a_target_that_leaves_stays_so_when_the_copy_says_otherwise(mock_run):
    async def scenario(store, view):
        await trio.sleep(5)
        store.put('servers/a', ENTRY | {'state': 'draining', 'sequence': 21})
        await trio.sleep(0.5)
        store.delete('servers/a')
        await trio.sleep(0.5)
        await store.go_away(store.revision - 2, 0.3)
        for _ in range(100):
            await trio.sleep(0.1)
            ready = view.targets.records.keys() - view.targets.list_draining()
            assert 'a' not in ready

    run(mock_run, scenario)


@pytest.mark.parametrize('away_s', [0.1, 0.5, 2.0])
def test_a_target_that_the_copy_lacks_has_time_to_write_again(mock_run, away_s):
    async def scenario(store, view):
        await trio.sleep(5)
        store.put('servers/new', ENTRY | {'address': '10.0.0.7:80'})
        await trio.sleep(1)
        await store.go_away(store.revision - 1, away_s)
        for number in range(120):
            if number == 15:
                store.put('servers/new', ENTRY | {'address': '10.0.0.7:80'})
            await trio.sleep(0.1)
            assert 'new' in view.targets.records

    run(mock_run, scenario)


def test_a_target_that_the_copy_lacks_and_that_stays_silent_is_gone(mock_run):
    async def scenario(store, view):
        await trio.sleep(5)
        store.put('servers/new', ENTRY | {'address': '10.0.0.7:80'})
        await trio.sleep(1)
        await store.go_away(store.revision - 1)
        await trio.sleep(STABLE_S + APPLY_S)
        view.apply_overdue_removals()
        assert 'new' not in view.targets.records

    run(mock_run, scenario)


# CONFIG: a route moved or withdrawn by a version in force was back.
@pytest.mark.parametrize('moment_s', MOMENTS_S)
def test_an_older_version_never_comes_back(mock_run, moment_s):
    async def scenario(store, view):
        await trio.sleep(moment_s)
        for version in (2, 3, 4):
            store.put('op/config', make_config(version))
        await trio.sleep(0.5)
        revision = store.revision
        await store.go_away(revision - 3)
        for version in (2, 3, 4):
            await trio.sleep(0.5)
            store.put('op/config', make_config(version))
            assert view.table.version == 4
        await trio.sleep(0.5)
        store.put('op/config', make_config(5))
        await trio.sleep(APPLY_S)
        assert view.table.version == 5

    run(mock_run, scenario)


# The numbers had grown beyond the known ones before a host asked again: it went on
# from its old revision and missed what was written below that.
@pytest.mark.parametrize('moment_s', MOMENTS_S)
def test_changes_below_the_old_revision_are_not_missed(mock_run, moment_s):
    async def scenario(store, view):
        await trio.sleep(moment_s)
        for number in range(3):
            store.put('other/x', number)
        await trio.sleep(0.5)
        await store.go_away(store.revision - 3, 0.05)
        store.put('servers/a', ENTRY | {'state': 'draining', 'sequence': 22})
        store.put('op/config', make_config(8))
        for number in range(6):
            store.put('other/x', number)
        await trio.sleep(STABLE_S + APPLY_S)
        assert view.targets.list_draining() == {'a'}
        assert view.table.version == 8

    run(mock_run, scenario)


@pytest.mark.parametrize('gap_s', [0.1, 0.6, 1.5, 3.0])
def test_a_second_restore_soon_after_the_first_loses_nothing(mock_run, gap_s):
    async def scenario(store, view):
        await trio.sleep(5)
        start = store.revision
        store.put('servers/a', ENTRY | {'state': 'draining', 'sequence': 21})
        store.put('op/config', make_config(4))
        await trio.sleep(1)
        await store.go_away(start, 1)
        store.put('op/config', make_config(4))
        store.put('servers/b', ENTRY | {'state': 'draining', 'sequence': 21})
        await trio.sleep(gap_s)
        await store.go_away(start, 1)
        await trio.sleep(STABLE_S)
        store.put('op/config', make_config(5))
        store.put('servers/c', ENTRY | {'state': 'draining', 'sequence': 30})
        await trio.sleep(APPLY_S)
        assert view.table.version == 5
        assert {'a', 'c'} <= view.targets.list_draining()

    run(mock_run, scenario)
