"""End-to-end tests of the order of events, with targets that answer raw bytes."""

import pytest
import trio

from standins.metadata import KEY_OF_CONFIG
from tests.nodes import (
    BACKEND_PORT,
    make_config,
    make_route,
    run_nodes,
    unchunk,
)
from tests.raw_targets import receive

HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


def make_events(*numbers):
    return b''.join(b'id: %d\ndata: t%d\n\n' % (one, one) for one in numbers)


class Script:
    """A target that answers the attempts in turn with lists of event ids.

    The last answer is repeated; only it has an end.
    """

    def __init__(self, *answers, make=make_events):
        self._answers = list(answers)
        self._make = make
        self.resumed_after = []

    async def serve(self, address):
        await trio.serve_tcp(self._serve, BACKEND_PORT, host=address)

    async def _serve(self, stream):
        lower = (await receive(stream)).lower()
        if not lower:
            return
        request_id = lower.partition(b'attempt-id: ')[2].split()[0]
        after = lower.partition(b'last-event-id: ')[2].split()
        self.resumed_after.append(after[0] if after else None)
        events = self._make(*self._answers[0])
        answer = HEAD.replace(b'%s', request_id)
        answer += b'%x\r\n%b\r\n' % (len(events), events)
        if len(self._answers) == 1:
            answer += LAST_CHUNK
        else:
            self._answers.pop(0)
        # All in one segment.
        await stream.send_all(answer)
        await stream.aclose()


def play(script, is_resumable=True, **headers):
    """Call a route whose targets all follow a script; return the answer."""
    results = []

    async def scenario(fleet):
        address = fleet.address(200)
        fleet.nursery.start_soon(script.serve, address)
        route = make_route(
            'stream', 'streaming', resumable=is_resumable, max_attempts=3
        )
        config = make_config(2, routes=[route])
        fleet.store.put(KEY_OF_CONFIG, config)
        for name, backend in fleet.backends.items():
            entry = backend.describe(address, BACKEND_PORT)
            fleet.store.put(f'servers/{name}', {**entry, 'born': 2})
        await trio.sleep(0.3)
        results.append(await fleet.call('/stream/a', **headers))

    run_nodes(scenario)
    return results[0]


# ORDER: events before a fault in the same read were counted but not passed on, so
# that the next target went on after events that the caller never got.
def test_no_event_is_missing_where_a_resumed_stream_goes_wrong():
    script = Script([1, 2], [3, 4, 2], [5, 6])
    status, _, body = play(script)
    assert status == 200
    assert script.resumed_after == [None, b'2', b'4']
    assert unchunk(body) == make_events(1, 2, 3, 4, 5, 6)


# ORDER: a target that started anew at the first event in place of the next one was
# passed on to a caller that had taken the stream up.
def test_a_taken_up_stream_does_not_start_anew():
    script = Script([1, 2, 3, 4], [4, 5])
    _, _, body = play(script, last_event_id='3', resumes='r0')
    assert script.resumed_after == [b'3', b'3']
    assert unchunk(body) == make_events(4, 5)


# ORDER: events that come twice, or go back, in a first run.
@pytest.mark.parametrize('wrong', [[1, 2, 2, 3], [1, 2, 1, 2, 3]])
def test_an_event_that_comes_twice_is_not_passed_on(wrong):
    script = Script(wrong, [3, 4])
    _, _, body = play(script)
    assert script.resumed_after == [None, b'2']
    assert unchunk(body) == make_events(1, 2, 3, 4)


def make_texts(*numbers):
    return b''.join(b'data: t%d\n\n' % one for one in numbers)


def make_empty_ids(*numbers):
    return b''.join(b'id:\ndata: t%d\n\n' % one for one in numbers)


# ORDER: a stream whose last event had no id, or an empty one, began anew at another
# target, in the same answer.
@pytest.mark.parametrize('make', [make_texts, make_empty_ids])
def test_a_stream_whose_last_event_has_no_id_does_not_go_on(make):
    script = Script([1, 2], [1, 2, 3], make=make)
    _, _, body = play(script)
    assert script.resumed_after == [None]
    assert unchunk(body) == make(1, 2)
    assert not body.endswith(LAST_CHUNK)


# ORDER: a caller that took a stream up, after its route had become one whose streams
# can't be, got all events once more.
def test_a_take_up_is_refused_where_streams_begin_anew():
    script = Script([1, 2, 3])
    status, _, _ = play(script, is_resumable=False, last_event_id='2')
    assert status == 503
    assert not script.resumed_after
