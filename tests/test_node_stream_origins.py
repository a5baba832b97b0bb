"""Tests of where streams began."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._owners import (
    KEEPERS_OF_MANY,
    MANY_HOSTS,
    STANDBYS,
    OwnerFinder,
)
from hornbeampulley.node._stream_binding import (
    NEWS_MS,
    bind_stream,
    make_unknown_refusal,
)
from hornbeampulley.node._stream_origin_messages import (
    read_stream_origins,
    write_stream_origins,
)
from hornbeampulley.node._stream_origins import (
    MAX_STREAMS,
    StreamOrigin,
    StreamOrigins,
    make_stream_name,
)
from hornbeampulley.wire import decode_body, encode_frame
from tests.nodes import run_nodes, unchunk, wait_until
from tests.test_node_membership import exchange_news, make
from tests.test_node_stream_versions import (
    NEW,
    OLD,
    begin_and_break,
    set_versions,
)


def test_a_stream_is_known_for_as_long_as_it_may_be_taken_up():
    clock = ManualClock()
    origins = StreamOrigins(clock)
    origins.keep(StreamOrigin(7, 'v1', 1000))
    clock.advance(999)
    origins.sweep()
    assert origins.find(7) == 'v1'
    clock.advance(2)
    assert origins.find(7) is None


def test_streams_that_have_ended_take_no_memory():
    clock = ManualClock()
    origins = StreamOrigins(clock)
    for stream, left_ms in enumerate((1000, 5000, 1000), start=1):
        origins.keep(StreamOrigin(stream, 'v1', left_ms))
    clock.advance(1001)
    origins.sweep()
    assert list(origins._kept) == [2, 3]
    clock.advance(4000)
    origins.sweep()
    assert not origins._kept


# LOST: a stream of a lost home was known to an owner that told nobody.
def test_all_streams_are_told_to_the_next_owner():
    clock = ManualClock()
    origins = StreamOrigins(clock)
    origins.keep(StreamOrigin(7, 'v1', 300))
    origins.keep(StreamOrigin(8, 'v2', 1000))
    clock.advance(400)
    assert list(origins.list_all()) == [StreamOrigin(8, 'v2', 600)]


def test_the_memory_for_streams_is_bounded():
    origins = StreamOrigins(ManualClock())
    for stream in range(MAX_STREAMS + 1):
        origins.keep(StreamOrigin(stream, 'v1', 1000))
    assert origins.find(0) is None
    assert origins.find(MAX_STREAMS) == 'v1'


# ORDER: an id of another workspace or route must not lead to its version.
def test_a_stream_can_not_be_named_from_elsewhere():
    parts = [b'id', b'other'], ['w', 'x'], ['r', 's'], ['p', 'q']
    names = {
        make_stream_name(request_id, workspace, route, pool)
        for request_id in parts[0]
        for workspace in parts[1]
        for route in parts[2]
        for pool in parts[3]
    }
    assert len(names) == 16


@given(
    st.lists(
        st.builds(
            StreamOrigin,
            st.integers(1, (1 << 63) - 1),
            st.text(max_size=20),
            st.integers(0, 60_000).map(float),
        ),
        max_size=5,
    )
)
def test_origins_arrive_as_they_were_sent(origins):
    frame = encode_frame([write_stream_origins(origins)])
    (received,) = decode_body(frame[4:]).messages
    assert read_stream_origins(received) == origins


def test_a_request_that_takes_up_no_stream_is_free():
    clock = ManualClock()
    event = decisions.Reserve('r', 'h', 'w', 'a@p', 't')
    assert bind_stream(event, StreamOrigins(clock)) is event


def test_a_new_owner_may_still_learn_of_a_stream():
    event = decisions.Reserve('r', 'h', 'w', 'a@p', 't', stream=7)
    assert make_unknown_refusal(event, NEWS_MS - 1).retry_after_ms > 0
    assert make_unknown_refusal(event, NEWS_MS).retry_after_ms == 0


# ORDER, LOST: the home that began a stream is lost, or the owner of the pool is.
def test_a_stream_is_known_after_any_one_host_is_lost():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        begun = await begin_and_break(fleet, b'a')
        await wait_until(
            lambda: sum(_knows_stream(node) for node in fleet.nodes) > STANDBYS
        )
        knowing = [
            number
            for number, node in enumerate(fleet.nodes)
            if _knows_stream(node)
        ]
        assert len(knowing) > 1
        status, _, body = await fleet.call(
            '/stream/a', knowing[-1], b'p', b'b', resumes='a', last_event_id='1'
        )
        assert status == 200
        assert unchunk(body)
        assert begun.runs[b'b'] == 1

    run_nodes(scenario, count=3)


# LOST: seven of eight hosts were killed; the last one knew none of the streams.
def test_all_hosts_of_a_small_deployment_know_where_a_stream_began():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        await begin_and_break(fleet, b'a')
        await wait_until(lambda: all(map(_knows_stream, fleet.nodes)))

    run_nodes(scenario, count=5)


def test_of_many_hosts_a_few_know_where_a_stream_began():
    clock = ManualClock()
    members = [make(one, clock) for one in range(MANY_HOSTS + 1)]
    exchange_news(*members)
    finder = OwnerFinder(members[0], None, clock)
    assert len(finder.list_keepers('pool/p')) == KEEPERS_OF_MANY


# LOST: a host that came back owned the pool before a peer had linked to it.
def test_a_host_that_starts_learns_of_streams_before_it_answers():
    async def scenario(fleet):
        await set_versions(fleet, engines_1=OLD, engines_2=NEW)
        await begin_and_break(fleet, b'a')
        await wait_until(lambda: all(map(_knows_stream, fleet.nodes)))
        node = fleet.add_node()
        await wait_until(lambda: node.is_ready)
        assert _knows_stream(node)

    run_nodes(scenario, count=2)


def _knows_stream(node):
    name = make_stream_name(b'a', 'w', 'stream', 'engines')
    return node.scheduling.origins.find(name) is not None
