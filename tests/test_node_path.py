"""End-to-end tests over the users' protocol, on loopback."""

import json

import trio

from hornbeampulley.http1 import find_header
from hornbeampulley.node.stored import StoredItem, StoreUnavailableError
from standins.metadata import KEY_OF_CONFIG
from tests.nodes import (
    EVENTS,
    count_runs,
    make_config,
    make_route,
    run_nodes,
    unchunk,
    wait_until,
)
from tests.stored import at


def test_a_stream_a_booking_and_a_look_up_are_answered():
    async def scenario(fleet):
        status, head, body = await fleet.call('/stream/a', body=b'p')
        assert status == 200
        assert b'server-seal: engines-' in head
        assert unchunk(body) == b''.join(EVENTS)
        status, head, body = await fleet.call('/once/a', body=b'deposit')
        assert (status, body[-7:]) == (200, b'deposit')
        assert b'attempt-id: r1' in head
        status, _, _ = await fleet.call('/look/a')
        assert status == 200
        assert count_runs(fleet) == 3

    run_nodes(scenario)


def test_a_target_gets_workspace_and_its_own_name_but_no_key():
    async def scenario(fleet):
        await fleet.call('/once/a', body=b'x', tenant='forged')
        (request,) = [
            one for target in fleet.backends.values() for one in target.seen
        ]
        assert find_header(request.headers, b'tenant') == b'w'
        assert find_header(request.headers, b'api-key') is None
        assert find_header(request.headers, b'expect-instance')

    run_nodes(scenario)


def test_unknown_routes_and_keys_are_refused():
    async def scenario(fleet):
        assert (await fleet.call('/none/a'))[0] == 404
        assert (await fleet.call('/look/a', api_key='wrong'))[0] == 401
        assert count_runs(fleet) == 0

    run_nodes(scenario)


def test_a_rejected_request_goes_to_another_target():
    async def scenario(fleet):
        fleet.backends['ledger-1'].behaviour.is_full = True
        for number in range(4):
            name = b'r%d' % number
            status, _, _ = await fleet.call('/once/a', request_id=name)
            assert status == 200
        assert sum(fleet.backends['ledger-2'].runs.values()) == 4

    run_nodes(scenario)


def test_a_refusal_after_rejections_says_when_to_come_back():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.is_full = True
        status, head, _ = await fleet.call('/once/a')
        assert status == 503
        assert b'retry-after: 0.' in head
        assert count_runs(fleet) == 0

    run_nodes(scenario)


def test_a_booking_whose_answer_is_cut_short_is_not_repeated():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.is_cut_short = True
        status, head, _ = await fleet.call('/once/a')
        assert status == 502
        assert b'server-seal' not in head
        assert count_runs(fleet) == 1

    run_nodes(scenario)


def test_a_failed_look_up_is_repeated_at_another_target():
    async def scenario(fleet):
        fleet.backends['ledger-1'].behaviour.status = 500
        for number in range(4):
            name = b'r%d' % number
            status, _, body = await fleet.call('/look/a', request_id=name)
            assert status == 200
            assert body.startswith(b'ledger-2')

    run_nodes(scenario)


def test_a_promise_that_a_target_has_no_right_to_is_not_passed_on():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.status = 503
        status, head, _ = await fleet.call('/once/a')
        assert status == 502
        assert b'server-seal' not in head

    run_nodes(scenario)


def test_an_answer_to_another_request_is_skipped():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.has_stray_answer = True
        status, head, body = await fleet.call('/once/a', body=b'mine')
        assert status == 200
        assert body.endswith(b'mine')
        assert b'attempt-id: r1' in head

    run_nodes(scenario)


def test_a_route_that_takes_too_long_gets_its_answer_in_time():
    async def scenario(fleet):
        for name in ('ledger-1', 'ledger-2'):
            fleet.backends[name].behaviour.pause_ms = 10_000
        routes = [make_route('once', 'non_idempotent', timeout_ms=300)]
        fleet.store.put(KEY_OF_CONFIG, make_config(2, routes=routes))
        await wait_for_version(fleet, 2)
        started = trio.current_time()
        status, _, _ = await fleet.call('/once/a')
        assert status == 504
        assert trio.current_time() - started < 0.8

    run_nodes(scenario)


def test_a_workspace_over_its_cap_gets_retry_after():
    async def scenario(fleet):
        workspace = {
            'name': 'w',
            'api_keys': ['secret'],
            'unit': 'tokens',
            'plain_tokens': 100,
            'rate_per_s': 10,
            'burst': 100,
        }
        config = make_config(2, tenants=[workspace])
        fleet.store.put(KEY_OF_CONFIG, config)
        await wait_for_version(fleet, 2)
        status, head, _ = await fleet.call('/look/a', number=1)
        assert status == 429
        assert b'retry-after: ' in head
        assert count_runs(fleet) == 0

    run_nodes(scenario, count=2)


def test_a_failed_core_is_restarted():
    async def scenario(fleet):
        await fleet.call('/once/a')
        cores = [
            core
            for node in fleet.nodes
            for core in node.scheduling.cores.values()
        ]
        for core in cores:
            core._handlers.clear()
        for number in range(2):
            name = b's%d' % number
            status, _, _ = await fleet.call('/once/a', number, b'x', name)
            assert status == 200

    run_nodes(scenario, count=2)


def test_a_periodic_step_that_fails_does_not_end_the_node():
    async def scenario(fleet):
        fleet.nodes[0].store_view.sweep = None
        await trio.sleep(0.6)
        assert (await fleet.call('/look/a'))[0] == 200

    run_nodes(scenario)


def test_the_scheduler_is_configured_at_once():
    async def scenario(fleet):
        node = fleet.nodes[0]
        fleet.store.put(KEY_OF_CONFIG, make_config(2))
        await wait_until(lambda: node.store_view.table.version == 2, 0.0001)
        assert node.scheduling.version == 2

    run_nodes(scenario)


def test_all_nodes_serve_and_apply_a_change():
    async def scenario(fleet):
        for number in range(3):
            assert (await fleet.call('/look/a', number=number))[0] == 200
        fleet.store.put(KEY_OF_CONFIG, make_config(2, routes=[]))
        await wait_for_version(fleet, 2)
        for number in range(3):
            assert (await fleet.call('/look/a', number=number))[0] == 404

    run_nodes(scenario, count=3)


def test_a_node_that_the_store_turns_away_learns_from_its_peers():
    async def scenario(fleet):
        node = fleet.nodes[1]
        for reader in node.follower.readers:
            reader._store = Unreachable()
            reader.retry_now()
        fleet.store.put(KEY_OF_CONFIG, make_config(2, routes=[]))
        fleet.store.delete('servers/ledger-1')
        await wait_for_version(fleet, 2)
        known = node.store_view.targets
        await wait_until(lambda: 'ledger-1' not in known.records)

    run_nodes(scenario, count=2)


# CONFIG, DRAIN: its numbers were those of before, so that nothing was newer.
def test_a_node_that_the_store_turns_away_learns_of_a_restore_from_its_peers():
    async def scenario(fleet):
        node = fleet.nodes[1]
        copy = fleet.store.revision
        fleet.store.put(KEY_OF_CONFIG, make_config(2))
        fleet.store.put(KEY_OF_CONFIG, make_config(3))
        await wait_for_version(fleet, 3)
        for reader in node.follower.readers:
            reader._store = Unreachable()
            reader.retry_now()
        fleet.store.restore(copy)
        fleet.store.put(KEY_OF_CONFIG, make_config(4, routes=[]))
        entry = fleet.backends['ledger-1'].describe(fleet.address(102), 8306)
        changes = {'state': 'draining', 'sequence': 2}
        fleet.store.put('servers/ledger-1', entry | changes)
        await wait_for_version(fleet, 4)
        known = node.store_view.targets
        await wait_until(lambda: 'ledger-1' in known.list_draining())

    run_nodes(scenario, count=2)


def test_a_draining_target_gets_no_new_request():
    async def scenario(fleet):
        backend = fleet.backends['ledger-1']
        entry = backend.describe(fleet.address(102), 8306)
        fleet.store.put('servers/ledger-1', entry | {'state': 'draining'})
        await trio.sleep(0.3)
        for number in range(6):
            name = b'r%d' % number
            assert (await fleet.call('/look/a', request_id=name))[0] == 200
        assert not backend.runs

    run_nodes(scenario)


class Unreachable:
    """A store that refuses all calls of this node."""

    async def list_items(self, prefix):
        return await self.watch(prefix, 0, 0)

    async def watch(self, prefix, revision, wait_ms):
        raise StoreUnavailableError('refused; ask a peer')


async def wait_for_version(fleet, version):
    await wait_until(
        lambda: all(
            node.store_view.table.version >= version
            and node.scheduling.version >= version
            for node in fleet.nodes
        ),
    )


# DRAIN: a home used a lease for a target of which it knew, unlike the owner of
# the pool, that it leaves.
def test_a_lease_of_an_owner_that_is_behind_reaches_no_leaving_target():
    async def scenario(fleet):
        await fleet.call('/look/a')
        owner = fleet.nodes[0].lease_client._find_owner('ledger')
        homes = [node.membership.incarnation for node in fleet.nodes]
        number = int(homes[0] == owner)
        fleet.backends['ledger-1'].runs.clear()
        entry = fleet.backends['ledger-1'].describe(fleet.address(102), 8306)
        content = json.dumps(entry | {'state': 'draining'}).encode()
        fleet.nodes[number].store_view.apply_relayed_items(
            [StoredItem('servers/ledger-1', content, at(1 << 40, 1))],
        )
        for attempt in range(8):
            request_id = b'r%d' % attempt
            answer = await fleet.call('/look/a', number, request_id=request_id)
            assert answer[0] == 200
        assert not fleet.backends['ledger-1'].runs

    run_nodes(scenario, count=2)
