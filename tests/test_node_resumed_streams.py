"""End-to-end tests of streams whose next target answers something else."""

import pytest
import trio

from standins.backend import SEAL
from tests.nodes import BACKEND_PORT, EVENTS, run_nodes, wait_until
from tests.raw_targets import receive

HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n' + SEAL + b': s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
TEXT = b'Content-Type: text/plain\r\n'
BEGUN = HEAD + EVENT_STREAM + b'\r\n' + EVENTS[0]
NEXT = {
    'an error': b'HTTP/1.1 500 X\r\nAttempt-Id: %s\r\nContent-Length: 5\r\n\r\n'
    b'error',
    'an error without a length': b'HTTP/1.1 500 X\r\nAttempt-Id: %s\r\n\r\n'
    b'error\n\n',
    'an error that looks like a success': HEAD
    + TEXT
    + b'Content-Length: 7\r\n\r\nerror\n\n',
    'a text without a length': HEAD + TEXT + b'\r\nid: 2\ndata: x\n\n',
    'another success': b'HTTP/1.1 204 X\r\nAttempt-Id: %s\r\n\r\n',
    'a redirection': b'HTTP/1.1 302 X\r\nAttempt-Id: %s\r\n'
    b'Content-Length: 5\r\n\r\nmoved',
    'a head in a stream': HEAD
    + EVENT_STREAM
    + b'\r\nHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror',
    'a refusal': b'HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n'
    b'Content-Length: 5\r\n\r\nerror',
    'no answer in HTTP': b'error\r\n\r\n',
    'events from the start': HEAD
    + EVENT_STREAM
    + b'\r\n'
    + EVENTS[0]
    + EVENTS[1],
}


class BreakingTarget:
    """Breaks a stream off after an event; answers otherwise when resumed."""

    def __init__(self, answer):
        self.resumed = 0
        self._answer_bytes = answer

    async def serve(self, address, port):
        await trio.serve_tcp(self._answer, port, host=address)

    async def _answer(self, stream):
        request = (await receive(stream)).lower()
        if not request:
            return
        name = request.partition(b'attempt-id: ')[2].split()[0]
        is_resumed = b'last-event-id' in request
        self.resumed += is_resumed
        answer = self._answer_bytes if is_resumed else BEGUN
        await stream.send_all(answer.replace(b'%s', name))
        if not is_resumed:
            # Breaks off in the middle of the next event.
            await stream.send_all(EVENTS[1][:5])


# Operators' point: when a stream broke off and the next target answered with an
# error, its text or head stood in the stream, or the stream looked complete.
@pytest.mark.parametrize('answer', NEXT.values(), ids=NEXT)
def test_nothing_but_events_follows_in_a_stream_that_has_begun(answer):
    async def scenario(fleet):
        target = BreakingTarget(answer)
        await put_engines(fleet, target)
        status, _, body = await fleet.call('/stream/a', body=b'p')
        assert target.resumed
        assert status == 200
        assert b'error' not in body
        assert b'moved' not in body
        assert b'HTTP/1.1' not in body
        assert body.count(EVENTS[0]) == 1
        assert not body.endswith(b'\r\n0\r\n\r\n')

    run_nodes(scenario)


async def put_engines(fleet, target):
    """Replace both engines by a target."""
    address = fleet.address(201)
    fleet.nursery.start_soon(target.serve, address, BACKEND_PORT)
    for number in (1, 2):
        name = f'engines-{number}'
        entry = fleet.backends[name].describe(address, BACKEND_PORT)
        fleet.store.put(f'servers/{name}', {**entry, 'sequence': 2, 'born': 2})
    known = fleet.nodes[0].store_view.targets.records
    await wait_until(
        lambda: all(known[f'engines-{one}'].born_ms == 2 for one in (1, 2))
    )
