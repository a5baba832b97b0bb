"""End-to-end tests of targets that repeat an earlier answer."""

import pytest
import trio

from standins.backend import SEAL
from tests.nodes import BACKEND_PORT, run_nodes, wait_until
from tests.raw_targets import receive

REFUSAL = b'HTTP/1.1 503 X\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\n%s' + SEAL + b': s\r\nContent-Length: 2\r\n\r\nok'


class RepeatingTarget:
    """Refuses the first request of a connection, and once more the next one.

    The next one runs all the same.
    """

    def __init__(self, *, has_ids):
        self.runs = []
        self._has_ids = has_ids

    async def serve(self, address, port):
        await trio.serve_tcp(self._answer, port, host=address)

    async def _answer(self, stream):
        refusal = b''
        while request := await receive(stream):
            name = request.lower().partition(b'attempt-id: ')[2].split()[0]
            line = b'Attempt-Id: %s\r\n' % name
            if not refusal and not self.runs:
                refusal = REFUSAL % (line if self._has_ids else b'')
                await stream.send_all(refusal)
                continue
            await stream.send_all(refusal)
            self.runs.append(name)
            await trio.sleep(0.02)
            await stream.send_all(ANSWER % line)


async def put_target(fleet, target):
    """Leave a service only this target."""
    address = fleet.address(200)
    fleet.nursery.start_soon(target.serve, address, BACKEND_PORT)
    entry = fleet.backends['ledger-1'].describe(address, BACKEND_PORT)
    fleet.store.put('servers/ledger-1', {**entry, 'sequence': 2, 'born': 2})
    fleet.store.delete('servers/ledger-2')
    known = fleet.nodes[0].store_view.targets.records
    await wait_until(
        lambda: 'ledger-2' not in known and known['ledger-1'].born_ms == 2
    )


# Operators' point: a refusal that a target wrote once more was taken for the
# answer to a request that it was running (REFUSED, TWICE).
@pytest.mark.parametrize('has_ids', [True, False], ids=['id', 'no id'])
@pytest.mark.parametrize('path', ['/once/a', '/look/a'])
def test_a_repeated_refusal_is_not_taken_for_that_of_a_running_request(
    path, has_ids
):
    async def scenario(fleet):
        target = RepeatingTarget(has_ids=has_ids)
        await put_target(fleet, target)
        for number in range(3):
            name = b'r%d' % number
            status, _, _ = await fleet.call(path, request_id=name)
            assert status == 200 or name not in target.runs or status == 502
            assert target.runs.count(name) <= 1

    run_nodes(scenario)
