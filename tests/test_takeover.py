"""Tests of takeover between schedulers, in virtual time."""

import pytest

from hornbeampulley.membership import (
    FailureDetector,
    LivenessSettings,
    Ownership,
    PeerState,
    SchedulerChooser,
    rank_owners,
)

NAMES = tuple(f's{index}' for index in range(8))
RANKED = rank_owners('p', NAMES)
SETTINGS = LivenessSettings()
STEP_MS = 50
TAKEOVER_MS = 1000
SETTLED_MS = 3000


class Scheduler:
    """A scheduler: its failure detector, its shards and whether it runs."""

    def __init__(self, name):
        self.name = name
        self.is_running = True
        self.detector = FailureDetector(SETTINGS, 0)
        self.ownership = Ownership(name, depth=len(NAMES))
        self.ownership.set_schedulers(NAMES)
        self.ownership.set_shards(['p'])

    def step(self, now_ms):
        for peer in self.ownership.list_watched():
            self.detector.add(peer, now_ms)
        self.detector.tick(now_ms)
        self.ownership.update(self.detector.list_unusable())


class Cluster:
    """Schedulers that exchange heartbeats with claims of shards."""

    def __init__(self):
        self.now_ms = 0
        self.members = {name: Scheduler(name) for name in NAMES}
        self.is_cut = lambda sender, receiver: False
        self.run(2000)

    def run(self, duration_ms, is_done=lambda: False):
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms and not is_done():
            self.now_ms += STEP_MS
            running = [one for one in self.members.values() if one.is_running]
            if self.now_ms % SETTINGS.heartbeat_ms == 0:
                self._send_heartbeats(running)
            for member in running:
                member.step(self.now_ms)
        return self.now_ms

    def list_owners(self):
        return [
            member.name
            for member in self.members.values()
            if member.is_running and 'p' in member.ownership.owned
        ]

    def _send_heartbeats(self, running):
        for sender in running:
            for receiver in running:
                if sender is receiver or self.is_cut(sender, receiver):
                    continue
                receiver.detector.record_heartbeat(sender.name, self.now_ms)
                if 'p' in sender.ownership.owned:
                    receiver.ownership.resolve_claim('p', sender.name)


def test_one_scheduler_owns_the_shard():
    assert Cluster().list_owners() == [RANKED[0]]


@pytest.mark.parametrize('count', [1, 2, 7])
def test_next_in_rank_owns_within_a_second_of_kills(count):
    cluster = Cluster()
    for name in RANKED[:count]:
        cluster.members[name].is_running = False
    killed_ms = cluster.now_ms
    cluster.run(5000, lambda: cluster.list_owners() == [RANKED[count]])
    assert cluster.now_ms - killed_ms <= TAKEOVER_MS
    cluster.run(SETTLED_MS)
    assert cluster.list_owners() == [RANKED[count]]


@pytest.mark.parametrize('pause_ms', [400, 1000, 30_000])
def test_resumed_owner_and_its_successor_settle_on_one_owner(pause_ms):
    cluster = Cluster()
    cluster.members[RANKED[0]].is_running = False
    cluster.run(pause_ms)
    cluster.members[RANKED[0]].is_running = True
    resumed_ms = cluster.now_ms
    cluster.run(STEP_MS)
    cluster.run(10_000, lambda: len(cluster.list_owners()) == 1)
    assert cluster.now_ms - resumed_ms <= SETTLED_MS
    cluster.run(SETTLED_MS)
    assert cluster.list_owners() == [RANKED[0]]


def test_partition_has_an_owner_on_each_side_and_one_once_healed():
    cluster = Cluster()
    side = set(RANKED[:3])
    cluster.is_cut = lambda sender, receiver: (
        (sender.name in side) != (receiver.name in side)
    )
    cluster.run(TAKEOVER_MS + STEP_MS)
    assert set(cluster.list_owners()) == {RANKED[0], RANKED[3]}
    cluster.is_cut = lambda sender, receiver: False
    healed_ms = cluster.now_ms
    cluster.run(10_000, lambda: len(cluster.list_owners()) == 1)
    assert cluster.now_ms - healed_ms <= SETTLED_MS
    assert cluster.list_owners() == [RANKED[0]]


def test_simultaneous_pause_of_all_schedulers_changes_no_owner():
    cluster = Cluster()
    cluster.now_ms += 20_000
    cluster.run(5000, lambda: cluster.list_owners() != [RANKED[0]])
    assert cluster.list_owners() == [RANKED[0]]
    assert all(
        member.detector.list_peers(PeerState.DEAD) == ()
        for member in cluster.members.values()
    )


def test_home_asks_the_scheduler_that_took_over():
    cluster = Cluster()
    detector = FailureDetector(SETTINGS, cluster.now_ms)
    chooser = SchedulerChooser(detector)
    chooser.set_schedulers(NAMES)
    cluster.members[RANKED[0]].is_running = False
    for _ in range(TAKEOVER_MS // STEP_MS):
        cluster.run(STEP_MS)
        for name in RANKED[1:]:
            detector.record_heartbeat(name, cluster.now_ms)
        detector.add(chooser.choose_scheduler('p'), cluster.now_ms)
        detector.tick(cluster.now_ms)
    assert [chooser.choose_scheduler('p')] == cluster.list_owners()
