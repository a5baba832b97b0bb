"""Tests of shards, failure detection and ownership."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.configuration import Target
from hornbeampulley.membership import (
    Acquired,
    FailureDetector,
    HandedOver,
    LivenessSettings,
    Ownership,
    PeerState,
    SchedulerChooser,
    StateChange,
    rank_owners,
    split_into_shards,
)

SETTINGS = LivenessSettings(
    heartbeat_ms=200,
    suspect_ms=450,
    dead_ms=800,
    pause_ms=300,
)


def make_targets(*counts, pool='model-pool'):
    return [
        Target(f'{zone}-{index}', pool, '192.0.2.1', 1, f'zone-{zone}')
        for zone, count in enumerate(counts)
        for index in range(count)
    ]


def test_small_pool_is_one_shard():
    shards = split_into_shards(make_targets(9) + make_targets(4, pool='desk'))
    assert [shard.name for shard in shards] == ['desk', 'model-pool']
    assert len(shards[1].targets) == 9


def test_large_pool_is_split_by_zone():
    names = {
        shard.name for shard in split_into_shards(make_targets(20, 20, 5, 70))
    }
    assert names == {
        'model-pool/zone-0+zone-2',
        'model-pool/zone-1',
        'model-pool/zone-3/0',
        'model-pool/zone-3/1',
        'model-pool/zone-3/2',
    }


@given(st.lists(st.integers(0, 80), max_size=6))
def test_shards_hold_each_target_once_and_at_most_32(counts):
    targets = make_targets(*counts)
    shards = split_into_shards(targets)
    assert all(0 < len(shard.targets) <= 32 for shard in shards)
    held = [name for shard in shards for name in shard.targets]
    assert sorted(held) == sorted(target.name for target in targets)


def test_loss_of_a_candidate_keeps_the_order_of_the_others():
    names = [f's{index}' for index in range(8)]
    ranked = rank_owners('model-pool', names)
    rest = [name for name in ranked if name != ranked[0]]
    assert list(rank_owners('model-pool', rest)) == rest


def test_owners_are_spread():
    names = [f's{index}' for index in range(8)]
    owners = Counter(rank_owners(f'p{n}', names)[0] for n in range(800))
    assert max(owners.values()) < 150 and min(owners.values()) > 60


def test_peer_without_heartbeats_becomes_suspect_then_dead():
    detector = FailureDetector(SETTINGS, 0)
    detector.record_heartbeat('a', 0)
    found = [
        (now_ms, change.state)
        for now_ms in range(100, 1500, 100)
        for change in detector.tick(now_ms)
    ]
    assert found == [(500, PeerState.SUSPECT), (800, PeerState.DEAD)]
    assert detector.record_heartbeat('a', 1500) == (
        StateChange('a', PeerState.LIVE),
    )


def test_pause_of_the_own_process_makes_no_peer_dead():
    detector = FailureDetector(SETTINGS, 0)
    detector.record_heartbeat('a', 0)
    assert detector.tick(30_000) == ()
    assert detector.tick(30_200) == ()
    detector.record_heartbeat('a', 30_300)
    assert detector.tick(30_400) == ()
    assert detector.get_state('a') is PeerState.LIVE


def test_dead_peer_stays_dead_after_a_pause():
    detector = FailureDetector(SETTINGS, 0)
    detector.record_heartbeat('a', 0)
    for now_ms in range(100, 1000, 100):
        detector.tick(now_ms)
    detector.tick(9000)
    assert detector.get_state('a') is PeerState.DEAD
    assert detector.list_unusable() == ('a',)


def make_ownership(name, *others):
    ownership = Ownership(name)
    ownership.set_schedulers([name, *others])
    ownership.set_shards(['p', 'q'])
    ownership.update([])
    return ownership


def test_next_in_rank_takes_over():
    first, second, third = rank_owners('p', ['a', 'b', 'c'])
    ownership = make_ownership(second, first, third)
    assert 'p' not in ownership.owned
    assert Acquired('p') in ownership.update([first])
    assert HandedOver('p', first) in ownership.update([])


def test_lower_rank_hands_over_when_two_own():
    first, second = rank_owners('p', ['a', 'b'])
    higher, lower = make_ownership(first), make_ownership(second)
    assert higher.resolve_claim('p', second) == ()
    assert lower.resolve_claim('p', first) == (HandedOver('p', first),)
    assert lower.resolve_claim('p', first) == ()


def test_draining_scheduler_hands_over_to_a_successor_only():
    ownership = make_ownership('a', 'b')
    ownership.update(['b'])
    ownership.drain()
    assert ownership.update(['b']) == ()
    assert ownership.owned == {'p', 'q'}
    assert set(ownership.update([])) == {
        HandedOver('p', 'b'),
        HandedOver('q', 'b'),
    }


def test_removed_shard_is_handed_over():
    ownership = make_ownership('a')
    assert ownership.set_shards(['q']) == (HandedOver('p', ''),)
    assert ownership.owned == {'q'}


def test_watching_is_mutual_and_not_all_to_all():
    names = [f's{index}' for index in range(410)]
    owners = {name: Ownership(name) for name in names[:12]}
    for ownership in owners.values():
        ownership.set_schedulers(names)
        ownership.set_shards(f'pool/{index}' for index in range(375))
    watched = {name: own.list_watched() for name, own in owners.items()}
    assert max(map(len, watched.values())) < 25
    for name in owners:
        assert all(
            name in watched[other] for other in watched[name] & owners.keys()
        )


def test_scheduler_that_a_home_asks_watches_all_higher_ranks():
    ranked = rank_owners('p', [f's{index}' for index in range(9)])
    ownership = make_ownership(ranked[5], *ranked)
    ownership.set_shards(['p'])
    assert ownership.list_watched() == frozenset()
    ownership.watch_higher_ranks('p')
    assert ownership.list_watched() == set(ranked[:5])
    assert ownership.update(ranked[:5]) == (Acquired('p'),)


@given(st.sets(st.integers(0, 4)))
def test_equal_views_give_one_owner(indices):
    names = [f's{index}' for index in range(5)]
    dead = {f's{index}' for index in indices}
    living = [name for name in names if name not in dead]
    owners = [make_ownership(name, *names) for name in living]
    for ownership in owners:
        ownership.update(dead)
    held = [shard for ownership in owners for shard in ownership.owned]
    assert sorted(held) == (['p', 'q'] if living else [])


def test_home_chooses_the_next_in_rank_if_the_owner_is_dead():
    first, second = rank_owners('p', ['a', 'b'])
    detector = FailureDetector(SETTINGS, 0)
    chooser = SchedulerChooser(detector)
    assert chooser.choose_scheduler('p') == ''
    chooser.set_schedulers(['a', 'b'])
    detector.add(chooser.choose_scheduler('p'), 0)
    assert chooser.choose_scheduler('p') == first
    for now_ms in range(100, 900, 100):
        detector.record_heartbeat(second, now_ms)
        detector.tick(now_ms)
    assert chooser.choose_scheduler('p') == second
    detector.record_heartbeat(second, 850, is_draining=True)
    assert chooser.choose_scheduler('p') == second
    detector.record_heartbeat(first, 900)
    assert chooser.choose_scheduler('p') == first
    for now_ms in range(1000, 2000, 100):
        detector.tick(now_ms)
    assert chooser.choose_scheduler('p') == ''
