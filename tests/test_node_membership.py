"""Tests of the live nodes and the ranking of owners."""

import random

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._membership import (
    Membership,
    make_host_record,
    make_member,
)


def make(number, clock, started_ms=1000):
    incarnation = f'{number:016x}'
    member = make_member(incarnation, 80, 81)
    record = make_host_record(
        f'host-{number}',
        'z',
        'r',
        member,
        f'10.0.0.{number}',
        started_ms,
    )
    return Membership(record, clock, random.Random(number))


def exchange_updates(*members):
    for _ in range(2):
        for one in members:
            for other in members:
                if one is not other:
                    one.apply_update(other.build_full_update())
    for one in members:
        one.refresh()


def list_hosts(membership):
    return [node.host for node in membership.live]


def test_nodes_discover_each_other_through_a_common_peer():
    clock = ManualClock()
    first, second, third = (make(number, clock) for number in (1, 2, 3))
    exchange_updates(first, second)
    exchange_updates(second, third)
    first.apply_update(second.build_full_update())
    first.refresh()
    assert list_hosts(first) == ['host-1', 'host-2', 'host-3']


def test_a_silent_node_is_no_longer_live():
    clock = ManualClock()
    first, second = make(1, clock), make(2, clock)
    exchange_updates(first, second)
    clock.advance(1600)
    first.refresh()
    assert list_hosts(first) == ['host-1']


def test_all_agree_on_an_owner_and_a_draining_node_owns_nothing():
    clock = ManualClock()
    nodes = [make(number, clock) for number in (1, 2, 3)]
    exchange_updates(*nodes)
    (owner,) = {node.rank_owners('pool/p')[0] for node in nodes}
    (leaving,) = [node for node in nodes if node.incarnation == owner]
    leaving.is_draining = True
    leaving.refresh()
    exchange_updates(*nodes)
    assert all(owner not in node.rank_owners('pool/p') for node in nodes)


def test_the_loss_of_a_node_leaves_other_owners_as_they_were():
    clock = ManualClock()
    nodes = [make(number, clock) for number in range(1, 6)]
    exchange_updates(*nodes)
    keys = [f'pool/{number}' for number in range(40)]
    before = {key: nodes[0].rank_owners(key)[0] for key in keys}
    lost = nodes[4].incarnation
    clock.advance(1000)
    exchange_updates(*nodes[:4])
    clock.advance(1000)
    exchange_updates(*nodes[:4])
    assert lost not in nodes[0].rank_owners('pool/1')
    for key, owner in before.items():
        if owner != lost:
            assert nodes[0].rank_owners(key)[0] == owner


def test_a_restart_with_an_earlier_clock_replaces_the_former_run():
    clock = ManualClock()
    peer = make(2, clock)
    old = make(1, clock, started_ms=9000)
    exchange_updates(peer, old)
    new = make(1, clock, started_ms=5000)
    new._member = make_member('f' * 16, 80, 81)
    new.refresh()
    new.apply_update(peer.build_full_update())
    new.refresh()
    peer.apply_update(new.build_full_update())
    peer.refresh()
    assert peer.find('f' * 16) is not None
    assert peer.find(old.incarnation) is None
