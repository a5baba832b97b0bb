"""End-to-end tests of targets that end a connection within the head.

A target that stops in the middle of the head of its answer has answered nothing.
"""

import pytest
import trio

from standins.backend import SEAL
from tests.nodes import BACKEND_PORT, EVENTS, run_nodes, wait_until
from tests.raw_targets import receive

SEALED = b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n' + SEAL + b': s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
HEADS = {
    'with a length': SEALED + b'Content-Length: 2\r\n\r\n',
    'with no body': SEALED + b'Content-Length: 0\r\n\r\n',
    'in chunks': SEALED + b'Transfer-Encoding: chunked\r\n\r\n',
    'without length or chunks': SEALED + EVENT_STREAM + b'\r\n',
    'after early hints': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    + SEALED
    + b'Content-Length: 2\r\n\r\n',
    'with bare line feeds': SEALED.replace(b'\r', b'')
    + b'Content-Length: 2\n\n',
}
WHOLE = SEALED + b'Content-Length: 2\r\n\r\nok'
# Its body as it reaches callers, with a length and in chunks.
SENT = (b'ok', b'2\r\nok\r\n0\r\n\r\n')


class CuttingTarget:
    """Answers the first requests of a connection whole, the next one cut."""

    def __init__(self):
        self.answer = b''
        self.whole_answers = 0
        self.cuts = 0

    async def serve(self, address, port):
        await trio.serve_tcp(self._answer, port, host=address)

    async def _answer(self, stream):
        left = self.whole_answers
        while request := await receive(stream):
            name = request.lower().partition(b'attempt-id: ')[2].split()[0]
            answer = WHOLE if left else self.answer
            await stream.send_all(answer.replace(b'%s', name))
            if not left:
                self.cuts += 1
                return
            left -= 1


async def put_target(fleet, target):
    """Replace all backends by one target."""
    address = fleet.address(202)
    fleet.nursery.start_soon(target.serve, address, BACKEND_PORT)
    for name, backend in fleet.backends.items():
        entry = backend.describe(address, BACKEND_PORT)
        fleet.store.put(f'servers/{name}', {**entry, 'sequence': 2, 'born': 2})
    known = fleet.nodes[0].store_view.targets.records
    await wait_until(
        lambda: all(record.born_ms == 2 for record in known.values())
    )


# MIXED, ORDER: callers got 200 with an empty or short body that looked whole.
@pytest.mark.parametrize('path', ['/once/a', '/look/a', '/stream/a'])
@pytest.mark.parametrize('whole_answers', [0, 1])
@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
def test_a_head_that_is_cut_short_is_no_answer(head, whole_answers, path):
    async def scenario(fleet):
        target = CuttingTarget()
        target.whole_answers = whole_answers
        await put_target(fleet, target)
        target.answer = head
        # Every byte of the head once over the cases; the last ones always.
        length = len(head)
        places = [
            *range(whole_answers, length - 6, 9),
            *range(length - 6, length),
        ]
        for place in places:
            target.answer = head[:place]
            for number in range(whole_answers + 1):
                name = b'c%d-%d' % (place, number)
                status, _, body = await fleet.call(
                    path, body=b'p', request_id=name
                )
                is_sent_whole = status == 200 and body in SENT
                assert is_sent_whole or status in {502, 503}
        assert target.cuts > len(places) / 3

    run_nodes(scenario)


# MIXED: the same for a body that is cut where its length is known.
@pytest.mark.parametrize('path', ['/once/a', '/stream/a'])
@pytest.mark.parametrize(
    'answer',
    [
        SEALED + b'Content-Length: 2\r\n\r\no',
        SEALED + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok',
        SEALED + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n',
        SEALED
        + EVENT_STREAM
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + b'%x\r\n' % len(EVENTS[0])
        + EVENTS[0]
        + b'\r\n',
    ],
    ids=['length', 'chunk', 'last chunk', 'event'],
)
def test_a_body_that_is_cut_short_is_not_whole(answer, path):
    async def scenario(fleet):
        target = CuttingTarget()
        await put_target(fleet, target)
        target.answer = answer
        status, head, body = await fleet.call(path, body=b'p')
        is_chunked = b'transfer-encoding: chunked' in head
        is_whole = not is_chunked or body.endswith(b'0\r\n\r\n')
        assert target.cuts
        assert status >= 500 or not is_whole

    run_nodes(scenario)
