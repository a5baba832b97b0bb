"""End-to-end tests of nodes with odd entries among those of the store."""

import json

import pytest

from tests.nodes import run_nodes, wait_until

ENTRY = {
    'service': 'ledger',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 1,
}


def change(**fields):
    return json.dumps(ENTRY | fields).encode()


ODD = {
    'nested': b'[' * 200_000,
    'digits': b'{"born": ' + b'9' * 5000 + b'}',
    'large': change(cold_remaining_ms=10**400),
    'infinite': change(cold_remaining_ms=float('inf')),
    'no address': change(address='not an ip\0:80'),
    'half': change(address='\ud800:80'),
    'dots': change(address='a..b:80'),
    'long': change(address='a' * 70 + ':80'),
    'port': change(address='10.0.0.1:70000'),
    'zone': change(zone='\ud800'),
    'bytes': b'\xff\xfe',
    'null': b'null',
}


# Operators' point: one odd entry among those of the servers ended hosts again
# and again, or they stopped following the list.
@pytest.mark.parametrize('content', ODD.values(), ids=ODD)
def test_nodes_follow_the_store_beside_an_odd_entry(content):
    async def scenario(fleet):
        fleet.store.put('servers/odd', content)
        fleet.store.delete('servers/ledger-2')
        for node in fleet.nodes:
            known = node.store_view.targets
            await wait_until(lambda: 'ledger-2' not in known.records)  # noqa: B023
            assert 'odd' not in known.records
        for number in range(6):
            answer = await fleet.call('/once/a', number % 2, body=b'x')
            assert answer[0] == 200

    run_nodes(scenario, count=2)
