"""Tests of change tickets and of the configuration built from them."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.configuration import RoutingRule, ServiceKind, Tier
from hornbeampulley.errors import TicketError
from hornbeampulley.membership import (
    MAX_TICKET_BYTES,
    build_configuration,
    check_references,
    parse_ticket,
)

TARGET = {
    'name': 'm1',
    'address': '192.0.2.1',
    'port': 8000,
    'availability_zone': 'split-a',
}


def write(scope, *state, number=1):
    document = {'ticket': number, 'scope': scope, 'state': state}
    return json.dumps(document).encode()


def list_faults(text):
    with pytest.raises(TicketError) as caught:
        parse_ticket(text)
    return [str(fault) for fault in caught.value.faults]


def test_complete_configuration():
    tickets = [
        parse_ticket(write('tiers', {'name': 'gold', 'rank': 0}, number=17)),
        parse_ticket(write('workspaces', {'name': 'shop', 'share': 2})),
        parse_ticket(write('services', {'name': 'tag', 'pool': 'model-pool'})),
        parse_ticket(
            write('rules', {'workspace': '*', 'service': '*', 'tier': 'gold'}),
        ),
        parse_ticket(write('targets/model-pool', TARGET)),
    ]
    configuration = build_configuration(tickets)
    assert configuration.numbers['tiers'] == 17
    assert configuration.rules == (RoutingRule('*', '*', 'gold'),)
    route = configuration.find_route('shop', 'tag')
    assert route.tier == Tier('gold', 0)
    assert configuration.targets['m1'].kind is ServiceKind.MODEL
    assert configuration.targets['m1'].pool == 'model-pool'
    assert check_references(tickets) == ()


def test_every_fault_is_listed():
    faults = list_faults(
        write(
            'tiers',
            {'name': 'gold', 'rank': 0, 'colour': 1},
            {'name': 'a b', 'rank': -1, 'headroom': 2},
            {'name': 'x', 'rank': True},
            {'rank': 3},
            {'name': 'c', 'rank': 4, 'floor': 0.7},
            {'name': 'd', 'rank': 4, 'floor': 0.7},
            7,
            number=0,
        ),
    )
    for part in (
        'ticket: is 0; write a whole number from 1',
        "state[0]: has unknown key 'colour'",
        'state[1].name',
        'state[1].rank: is -1',
        'state[1].headroom: is 2',
        'state[2].rank: is True',
        'state[3].name: is missing',
        'rank 4 stands 2 times',
        'floor add up to 1.4',
        'state[6]: is 7',
    ):
        assert any(part in fault for fault in faults), part
    assert len(faults) == 10


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        (b'', 'is not JSON'),
        (b'{"ticket": 1, "sco', 'is not JSON'),
        (b'\xff', 'is not JSON'),
        (b'[' * 100_000, 'is not JSON'),
        (b'{"ticket": NaN, "scope": "tiers", "state": []}', 'is not JSON'),
        (b'[]', 'write an object'),
        (b'{"ticket": 1, "ticket": 2}', 'stands twice'),
        (b' ' * (MAX_TICKET_BYTES + 1), 'write at most 1048576 bytes'),
        (write('tiers'), 'empty list'),
        (write('colours'), 'use one of tiers'),
        (write('targets'), 'targets/<pool>'),
        (write('tiers/x'), 'use one of'),
        (write('targets/'), 'pool is'),
        (write('targets/p', {**TARGET, 'address': 'm1.example'}), 'IPv4'),
        (write('targets/p', {**TARGET, 'port': 0}), 'from 1 to 65535'),
        (write('targets/p', TARGET, TARGET), 'stands 2 times'),
        (write('workspaces', {'name': 'w', 'share': 0}), 'share: is 0'),
        (write('workspaces', {'name': 'w', 'share': 1e999}), 'not JSON'),
        (write('services', {'name': 's', 'pool': 'p', 'kind': 'x'}), 'kind'),
    ],
)
def test_fault(text, part):
    assert part in '\n'.join(list_faults(text))


@pytest.mark.parametrize(
    'address',
    ['0.0.0.0', '255.249.199.99', '10.0.0.1', '2001:db8::7'],
)
def test_address(address):
    text = write('targets/p', {**TARGET, 'address': address})
    assert parse_ticket(text).state[0].address == address


@pytest.mark.parametrize(
    'address',
    ['256.0.0.1', '1.2.3', '01.2.3.4', '1.2.3.4.5', 16909060, '1.2.3.4 ', ''],
)
def test_invalid_address(address):
    text = write('targets/p', {**TARGET, 'address': address})
    assert 'IPv4' in list_faults(text)[0]


def test_faults_of_a_large_ticket_are_bounded():
    faults = list_faults(write('tiers', *range(9000)))
    assert len(faults) == 1001
    assert '8000 more faults' in faults[-1]


def test_digest_ignores_layout_only():
    plain = parse_ticket(write('tiers', {'name': 'gold', 'rank': 0}))
    spaced = parse_ticket(plain.text.replace(b' ', b'\n  '))
    other = parse_ticket(write('tiers', {'name': 'gold', 'rank': 1}))
    assert plain.digest == spaced.digest
    assert plain.digest != other.digest


def test_dangling_references_are_warnings():
    tickets = [
        parse_ticket(
            write('rules', {'workspace': 'w', 'service': '*', 'tier': 't'}),
        ),
        parse_ticket(write('services', {'name': 's', 'pool': 'none'})),
        parse_ticket(write('targets/a', TARGET)),
        parse_ticket(write('targets/b', TARGET)),
    ]
    warnings = '\n'.join(str(fault) for fault in check_references(tickets))
    assert 'no tier t is in force' in warnings
    assert 'no workspace w is in force' in warnings
    assert 'pool none has no target of kind model' in warnings
    assert 'stands in pool a too' in warnings
    assert build_configuration(tickets).targets['m1'].pool == 'a'


_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_scope = st.sampled_from(['tiers', 'rules', 'services', 'targets/p']) | _json


@given(_json, _scope, st.lists(_json))
def test_any_json_is_parsed_or_rejected(number, scope, state):
    document = {'ticket': number, 'scope': scope, 'state': state}
    for value in (document, state):
        text = json.dumps(value).encode()
        try:
            parse_ticket(text)
        except TicketError as error:
            assert error.faults


@given(st.binary())
def test_any_bytes_are_rejected(text):
    assert list_faults(text)
