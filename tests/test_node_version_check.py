"""Tests of the check of software versions with the store."""

import trio
import trio.testing

from hornbeampulley.clock import Clock
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node._stream_binding import Evidence, weigh_history
from hornbeampulley.node._version_check import VersionCheck
from hornbeampulley.node.stored import (
    HistoryLostError,
    StoredChanges,
    StoreUnavailableError,
)
from hornbeampulley.platform._documents import PlatformDecoder
from tests.stored import at, server

EPOCH = 1
WINDOW_MS = 5000


class FakeStore:
    """Answers with all changes of its history, or with an error."""

    def __init__(self):
        self.error = None
        self.calls = []

    async def watch(self, _prefix, revision, _wait_ms):
        self.calls.append(revision)
        await trio.sleep(0.004)
        if self.error is not None:
            raise self.error
        if revision.epoch != EPOCH:
            raise HistoryLostError('another history')
        items = [server('a', 2, EPOCH, version='v1')]
        newer = [one for one in items if one.revision > revision]
        return StoredChanges(tuple(newer), at(2, EPOCH))


def run(scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            clock = Clock(trio.current_time)
            view = StoreView(PlatformDecoder(), clock)
            store = FakeStore()
            check = VersionCheck(store, view, PlatformDecoder(), clock, nursery)
            checked = []
            check.on_checked = checked.append
            await scenario(check, store, view, checked)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def read(view):
    """Let the view read a list of the store."""
    view.replace_targets(
        [server('a', 2, EPOCH, version='v1')], at(2, EPOCH), 'store'
    )


# LOST: the owner of the pool had just started and not read the store, whose history it
# took for lost; all streams were refused after a kill of all hosts.
def test_a_host_that_has_not_read_the_store_waits_until_it_has():
    async def scenario(check, store, view, checked):
        check.request(WINDOW_MS)
        await trio.sleep(0.3)
        assert not store.calls
        read(view)
        await trio.sleep(0.3)
        assert len(checked) == 1
        assert view.software_history.find_only('p', WINDOW_MS) == 'v1'

    run(scenario)


def test_a_check_without_an_answer_covers_nothing():
    async def scenario(check, store, view, checked):
        read(view)
        store.error = StoreUnavailableError('away')
        check.request(WINDOW_MS)
        await trio.sleep(3)
        assert not checked
        assert view.software_history.find_only('p', WINDOW_MS) is None

    run(scenario)


def test_the_first_changes_are_asked_for_once_if_they_are_forgotten():
    async def scenario(check, store, view, checked):
        read(view)
        store.error = HistoryLostError('forgotten')
        for _ in range(3):
            check.request(WINDOW_MS)
            await trio.sleep(0.1)
        assert store.calls.count(at(0, EPOCH)) == 1
        assert not checked

    run(scenario)


# ORDER: nothing is known of the pool, so that nothing proves a version.
def test_a_pool_without_a_known_target_proves_no_version():
    clock = Clock(lambda: 1000)
    history = SoftwareHistory(clock)
    assert history.replay([])
    evidence = weigh_history(history, 'p', WINDOW_MS)
    assert evidence is Evidence.MISSING_HISTORY
