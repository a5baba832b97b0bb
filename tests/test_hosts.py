"""Tests of the platform's host list."""

import json

import pytest

from hornbeampulley.configuration import Target
from hornbeampulley.membership import (
    Host,
    HostList,
    HostListError,
    HostRole,
    HostState,
    HostTracker,
    TicketStore,
    build_configuration,
    parse_hosts,
)

M1 = Target('m1', 'pool', '192.0.2.1', 8000, 'split-a')
M2 = Target('m2', 'pool', '192.0.2.2', 8000, 'split-a')
UNLISTED = Target('new', 'pool', '192.0.2.9', 8000, 'split-a')


def make_host(target, state=HostState.LIVE):
    return Host(target.name, target.address, 'a', HostRole.TARGET, state)


def write(version, **changes):
    host = {
        'name': 'h1',
        'address': '192.0.2.1',
        'availability_zone': 'a',
        'role': 'target',
        'state': 'leaving',
    }
    return json.dumps(
        {'version': version, 'hosts': [{**host, **changes}]},
    ).encode()


def test_parse():
    listed = parse_hosts(write(3))
    host = Host('h1', '192.0.2.1', 'a', HostRole.TARGET, HostState.LEAVING)
    assert listed.number == 3
    assert listed.state == (host,)


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        (write(0), 'version: is 0'),
        (write(1, role='printer'), 'write "entry" or "target"'),
        (write(1, colour=1), 'unknown key'),
        (write(1, address='h1'), 'address'),
        (b'{"version": 1, "hosts": []}', 'hosts: is a list'),
        (write(1)[:-4], 'not JSON'),
    ],
)
def test_faults(text, part):
    with pytest.raises(HostListError, match=part):
        parse_hosts(text)


def test_leaving_and_removed_targets_are_excluded():
    tracker = HostTracker()
    targets = (M1, M2, UNLISTED)
    assert tracker.list_excluded(targets) == frozenset()
    assert tracker.merge(HostList(1, (make_host(M1), make_host(M2))))
    assert tracker.list_excluded(targets) == frozenset()
    leaving = make_host(M1, HostState.LEAVING)
    assert tracker.merge(HostList(3, (leaving,)))
    assert tracker.list_excluded(targets) == {'m1', 'm2'}
    assert not tracker.merge(HostList(2, (make_host(M1), make_host(M2))))
    assert tracker.list_excluded(targets) == {'m1', 'm2'}
    assert tracker.merge(HostList(4, (make_host(M1), make_host(M2))))
    assert tracker.list_excluded(targets) == frozenset()


def test_store_keeps_the_list_with_the_highest_version():
    store = TicketStore()
    store.offer(write(3), 'service', 0)
    store.offer(write(2), 'service', 0)
    assert store.find('hosts').number == 3
    assert build_configuration(store.list_tickets()).numbers == {}
