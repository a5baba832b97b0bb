"""End-to-end tests of streams while targets of two software versions serve.

What two versions write does not fit together, and targets do not check it: a
stream goes on only at the version that began it.
"""

import time

import pytest
import trio

from tests.nodes import (
    BACKEND_PORT,
    EVENTS,
    Fleet,
    run_nodes,
    unchunk,
    wait_until,
)

OLD = 'v1'
NEW = 'v1.1'
# A little longer than the timeout of the route of streams.
LONGEST_STREAM_S = 5.1


async def set_versions(fleet, **versions):
    """Let engines, by their numbers, serve in software versions."""
    for name, version in versions.items():
        number = name.removeprefix('engines_')
        backend = fleet.backends[f'engines-{number}']
        place = list(fleet.backends).index(backend.name)
        entry = backend.describe(fleet.address(100 + place), BACKEND_PORT)
        changed = {**entry, 'version': version, 'sequence': 2}
        fleet.store.put(f'servers/{backend.name}', changed)
    revision = fleet.store.revision
    await wait_until(
        lambda: all(
            node.store_view.position.targets.number >= revision
            for node in fleet.nodes
        )
    )


async def wait_known(fleet, count):
    """Wait until all nodes know all targets."""
    await wait_until(
        lambda: all(
            len(node.store_view.targets.records) == count
            for node in fleet.nodes
        )
    )


def get_engines(fleet):
    return [
        backend
        for name, backend in fleet.backends.items()
        if name.startswith('engines')
    ]


async def begin_and_break(fleet, request_id=b'r1', number=0):
    """Let a stream break off after its first event; return its engine."""
    engines = get_engines(fleet)
    for engine in engines:
        engine.behaviour.breaks_after = 1
    status, _, body = await fleet.call(
        '/stream/a', number, b'p', request_id=request_id
    )
    for engine in engines:
        engine.behaviour.breaks_after = -1
    assert status == 200
    assert unchunk(body) == EVENTS[0]
    (begun,) = [one for one in engines if one.runs[request_id]]
    return begun


# ORDER: the host itself went on at a target of another version after a break.
def test_a_broken_stream_does_not_go_on_at_another_version():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        begun = await begin_and_break(fleet)
        (other,) = [one for one in get_engines(fleet) if one is not begun]
        assert not other.runs

    run_nodes(scenario)


# The same version serves elsewhere: the stream goes on there.
def test_a_broken_stream_goes_on_at_its_version():
    async def scenario(fleet):
        for number in (3, 4):
            fleet.add_backend(f'engines-{number}', 'engines')
        await wait_known(fleet, 6)
        await set_versions(
            fleet, engines_1=OLD, engines_2=OLD, engines_3=NEW, engines_4=NEW
        )
        engines = get_engines(fleet)
        for engine in engines:
            engine.behaviour.breaks_after = 1
            engine.behaviour.pause_ms = 50

        async def mend():
            await wait_until(
                lambda: sum(len(one.runs) for one in engines) > 1, 0.001
            )
            for engine in engines:
                engine.behaviour.breaks_after = -1

        fleet.nursery.start_soon(mend)
        status, _, body = await fleet.call('/stream/a', body=b'p')
        assert status == 200
        ran = {one.name for one in engines if one.runs}
        assert ran in ({'engines-1', 'engines-2'}, {'engines-3', 'engines-4'})
        assert unchunk(body) == b''.join(EVENTS)

    run_nodes(scenario)


# ORDER: a caller took a stream up at another host, which sent it anywhere.
def test_a_stream_that_is_taken_up_goes_on_at_its_version():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        for number in range(6):
            first = b'a%d' % number
            begun = await begin_and_break(fleet, first)
            status, _, body = await fleet.call(
                '/stream/a',
                1,
                b'p',
                request_id=b'b%d' % number,
                resumes=first.decode(),
                last_event_id='1',
            )
            assert status == 200
            assert unchunk(body) == b''.join(EVENTS[1:])
            assert begun.runs[b'b%d' % number] == 1

    run_nodes(scenario, count=2)


def test_a_chain_of_take_ups_names_the_first_attempt():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        begun = await begin_and_break(fleet, b'a')
        for engine in get_engines(fleet):
            engine.behaviour.breaks_after = 2
        await fleet.call(
            '/stream/a',
            1,
            b'p',
            request_id=b'b',
            resumes='a',
            last_event_id='1',
        )
        for engine in get_engines(fleet):
            engine.behaviour.breaks_after = -1
        status, _, body = await fleet.call(
            '/stream/a',
            0,
            b'p',
            request_id=b'c',
            resumes='a',
            last_event_id='2',
        )
        assert status == 200
        assert unchunk(body) == EVENTS[2]
        assert begun.runs[b'c'] == 1

    run_nodes(scenario, count=2)


# ORDER: the targets of the version had left; the stream went on at another.
def test_a_stream_whose_version_has_left_is_refused():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        begun = await begin_and_break(fleet)
        fleet.store.delete(f'servers/{begun.name}')
        await wait_known(fleet, 3)
        (other,) = [one for one in get_engines(fleet) if one is not begun]
        status, _, _ = await fleet.call(
            '/stream/a', 0, b'p', b'b', resumes='r1', last_event_id='1'
        )
        assert status == 503
        assert not other.runs

    run_nodes(scenario)


# ORDER: nobody knows where such a stream began, as all hosts were lost, or the
# id is another workspace's or made up.
def test_a_stream_of_unknown_origin_does_not_go_on_beside_two_versions():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        for headers in ({'resumes': 'never-seen'}, {}):
            status, _, _ = await fleet.call(
                '/stream/a', 0, b'p', b'b', last_event_id='1', **headers
            )
            assert status == 503
        assert not any(one.runs for one in get_engines(fleet))

    run_nodes(scenario)


def test_a_stream_of_unknown_origin_goes_on_where_one_version_has_served():
    async def scenario(fleet):
        status, _, body = await fleet.call(
            '/stream/a', 0, b'p', b'b', resumes='x', last_event_id='1'
        )
        assert status == 200
        assert unchunk(body) == b''.join(EVENTS[1:])

    run_nodes(scenario)


# ORDER: the old version had just left when all hosts were lost.
def test_a_stream_of_unknown_origin_does_not_go_on_after_a_release():
    async def scenario(fleet):
        for number in (1, 2):
            backend = fleet.backends[f'engines-{number}']
            place = list(fleet.backends).index(backend.name)
            entry = backend.describe(fleet.address(100 + place), BACKEND_PORT)
            born = round(time.time() * 1000) - 3000
            changed = {**entry, 'version': NEW, 'born': born, 'sequence': 1}
            fleet.store.put(f'servers/{backend.name}', changed)
        revision = fleet.store.revision
        first = fleet.nodes[0].store_view
        await wait_until(lambda: first.position.targets.number >= revision)
        status, _, _ = await fleet.call(
            '/stream/a', 0, b'p', b'b', resumes='x', last_event_id='1'
        )
        assert status == 503

    run_nodes(scenario)


async def start_after_release(fleet, *, is_forgotten):
    """Start a host just after the older of two versions has left.

    No other host knows of it, and all targets that are left are old.
    """
    later = Fleet(fleet.nursery)
    later.start_store()
    for number in (1, 2):
        later.add_backend(f'engines-{number}', 'engines')
    entry = later.backends['engines-1'].describe(
        later.address(100), BACKEND_PORT
    )
    changed = {**entry, 'version': NEW, 'sequence': 2}
    later.store.put('servers/engines-1', changed)
    later.store.delete('servers/engines-2')
    later.backends.pop('engines-2')
    if is_forgotten:
        later.store.forgotten = later.store.revision
    later.add_node()
    await later.wait_ready()
    return later


# ORDER: all hosts were killed just after a version had left. The streams that it had
# begun went on at the other version, whose targets were old enough.
@pytest.mark.parametrize('is_forgotten', [False, True])
def test_no_stream_goes_on_after_a_version_left_and_all_hosts_were_lost(
    is_forgotten,
):
    async def scenario(fleet):
        later = await start_after_release(fleet, is_forgotten=is_forgotten)
        status, _, _ = await later.call(
            '/stream/a', 0, b'p', b'b', resumes='x', last_event_id='1'
        )
        assert status == 503
        assert not later.backends['engines-1'].runs

    run_nodes(scenario)


# ORDER: a host did not hear from the store while targets of another version joined,
# and took the only version that it had heard of for the only one.
@pytest.mark.parametrize('heard', ['nothing', 'an old answer'])
def test_a_host_that_is_out_of_step_does_not_join_two_versions(heard):
    async def scenario(fleet):
        node = fleet.nodes[0]
        await trio.sleep(LONGEST_STREAM_S)
        for reader in node.follower.readers:
            reader.set_active(is_active=False)
            reader.set_active = ignore
        backend = fleet.add_backend('engines-3', 'engines')
        entry = backend.describe(
            fleet.address(100 + len(fleet.backends) - 1), BACKEND_PORT
        )
        fleet.store.put(
            'servers/engines-3', {**entry, 'version': NEW, 'sequence': 2}
        )
        if heard == 'an old answer':
            # As after a pause, at whose end an answer from before it is read.
            node.store_view.freshness.confirm(node.clock.now())
        assert 'engines-3' not in node.store_view.targets.records
        status, _, _ = await fleet.call(
            '/stream/a', 0, b'p', b'b', resumes='x', last_event_id='1'
        )
        assert status == 503
        assert not any(one.runs for one in get_engines(fleet))

    run_nodes(scenario)


# The store does not answer: what it knows by now is not known here.
def test_a_stream_of_unknown_origin_is_refused_while_the_store_is_away():
    async def scenario(fleet):
        fleet.store.is_down = True
        status, head, _ = await fleet.call(
            '/stream/a', 0, b'p', b'b', resumes='x', last_event_id='1'
        )
        assert status == 503
        assert not any(one.runs for one in get_engines(fleet))

    run_nodes(scenario)


def ignore(**_options):
    """Leave a reader as it is."""


# ORDER: a target that started anew as another version under its old name, while the
# store still told the old run, got the rest of a stream that the old run had begun.
@pytest.mark.parametrize(('born', 'status'), [(1, 200), (2, 503)])
def test_a_stream_does_not_go_on_at_another_run_of_its_target(born, status):
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        begun = await begin_and_break(fleet)
        begun.behaviour.born = born
        answer = await fleet.call(
            '/stream/a',
            body=b'p',
            request_id=b'r2',
            resumes='r1',
            last_event_id='1',
        )
        assert answer[0] == status
        assert begun.runs[b'r2'] == (born == 1)

    run_nodes(scenario)
