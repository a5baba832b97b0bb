"""Tests of the routing table."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.routing import (
    CallKind,
    HttpRoute,
    RoutingTable,
    Split,
    UsageCap,
    WorkspaceKeys,
    choose_pool,
)


def make_route(prefix, **options):
    options.setdefault('splits', (Split('p'),))
    return HttpRoute(prefix, 'h.example', prefix, CallKind.ONCE, **options)


TABLE = RoutingTable(
    1,
    [make_route('/a/'), make_route('/a/b/'), make_route('/')],
    workspaces=[WorkspaceKeys('w', frozenset((b'k1', b'k2')))],
)


def find(path, host='h.example'):
    route = TABLE.find_route(host, path)
    return route and route.prefix


def test_the_longest_prefix_wins():
    assert find('/a/b/c') == '/a/b/'
    assert find('/a/bc') == '/a/'
    assert find('/ab') == '/'


def test_hosts_are_distinguished_without_case_and_port():
    assert find('/a/', host='other.example') is None
    assert find('/a/', host='H.Example:8221') == '/a/'


@given(st.lists(st.sampled_from('ab/'), max_size=12).map(''.join))
def test_a_look_up_agrees_with_a_search(tail):
    path = f'/{tail}'
    prefixes = [route.prefix for route in TABLE.routes]
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    assert find(path) == max(fitting, key=len)


def test_a_key_identifies_its_workspace():
    assert TABLE.find_workspace(b'k2').name == 'w'
    assert TABLE.find_workspace(b'k3') is None
    assert TABLE.find_workspace(None) is None


def test_splits_follow_their_weights():
    route = make_route('/s/', splits=(Split('p', 90), Split('q', 10)))
    chosen = [choose_pool(route, b'%d' % number) for number in range(2000)]
    assert 140 <= chosen.count('q') <= 260
    assert choose_pool(route, b'7') == chosen[7]


def test_units_of_a_cap():
    tokens = UsageCap(10, 10, counts_tokens=True, plain_tokens=200)
    assert tokens.count_units(50) == 50
    assert tokens.count_units(None) == 200
    assert UsageCap(10, 10).count_units(50) == 1
