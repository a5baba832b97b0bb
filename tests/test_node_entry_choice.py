"""Tests of the addresses that callers are told."""

import dataclasses

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._entry_choice import MIN_ENTRIES, choose_entries
from hornbeampulley.node._membership import NodeAddress

LIMIT = 64


def make_node(number, zone, capacity=0.5):
    address = f'10.0.{number // 250}.{number % 250 + 1}'
    return NodeAddress(
        f'{number:016x}',
        f'host-{number}',
        zone,
        Endpoint(address, 80),
        Endpoint(address, 81),
        is_draining=False,
        processor_capacity=capacity,
    )


def make_zone(zone, start, strong=3, weak=30):
    capacities = [2.15] * strong + [0.5] * weak
    return [
        make_node(start + place, zone, capacity)
        for place, capacity in enumerate(capacities)
    ]


NODES = make_zone('a', 0) + make_zone('b', 100)


def test_of_a_small_deployment_all_nodes_are_told():
    nodes = [make_node(number, 'ab'[number % 2]) for number in range(9)]
    assert len(choose_entries(nodes, 'a', LIMIT)) == 9


# Pattern: hundreds of unlike hosts; callers were sent to the first 64 by name,
# in whatever zone, so that each kept connections to each target.
def test_callers_are_sent_to_the_strongest_hosts_of_their_zone():
    chosen = choose_entries(NODES, 'b', LIMIT)
    assert len(chosen) == MIN_ENTRIES
    assert {node.availability_zone for node in chosen} == {'b'}
    assert [node.processor_capacity for node in chosen[:3]] == [2.15] * 3


def test_hosts_of_equal_strength_share_the_callers_by_capacity():
    nodes = make_zone('a', 0, strong=0, weak=60) + make_zone('b', 100)
    chosen = choose_entries(nodes, 'a', LIMIT)
    assert len(chosen) == 15
    assert chosen == choose_entries(list(reversed(nodes)), 'a', LIMIT)


def test_callers_of_an_unknown_zone_are_told_of_some_hosts():
    chosen = choose_entries(NODES, 'elsewhere', LIMIT)
    assert len(chosen) >= MIN_ENTRIES


def test_a_zone_with_few_hosts_is_helped_by_others():
    nodes = [*NODES, make_node(300, 'c')]
    chosen = choose_entries(nodes, 'c', LIMIT)
    assert chosen[0].availability_zone == 'c'
    assert len(chosen) == MIN_ENTRIES


def test_draining_and_suspected_hosts_are_told_only_if_there_are_no_others():
    strong = [dataclasses.replace(one, is_suspect=True) for one in NODES[:2]]
    leaving = dataclasses.replace(NODES[2], is_draining=True)
    chosen = choose_entries([*strong, leaving, *NODES[3:]], 'a', LIMIT)
    assert not {one.host for one in chosen} & {'host-0', 'host-1', 'host-2'}
    assert choose_entries([leaving], 'a', LIMIT) == [leaving]
