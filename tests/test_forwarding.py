"""Tests of requests sent to an entry that is not their home."""

import pytest
import trio

from hornbeampulley.pipeline._exchanges import Exchange
from hornbeampulley.pipeline._forwarding import AnswerBrokenError, Forwarder
from hornbeampulley.pipeline._requests import IncomingRequest
from tests.asgi import Call
from tests.networks import MemoryNetwork

ID = '0123456789abcdef.1.1'
BODY = b'0123456789'


def send_part(count, *, ends=False):
    async def step(connection):
        await connection.start(content_type='text/plain')
        await connection.write(BODY[:count])
        if ends:
            await connection.end()
        return ends

    return step


def send_problem():
    async def step(connection):
        await connection.send_problem(410, 'answer no longer kept', 'unknown')

    return step


def run_forward(mock_run, *steps):
    """Forward a request to a home that runs one step per connection."""
    script = iter(steps)
    request = Call(None, 'POST', f'/v1/requests/{ID}')

    async def serve(connection):
        return await next(script)(connection)

    async def main():
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            network.scripts['home'] = serve
            forwarder = Forwarder(
                lambda _: 'http://home',
                None,
                '127.0.0.1',
                network,
            )
            exchange = Exchange(request.scope, request.receive, request.send)
            await forwarder.forward(exchange, IncomingRequest('', '', b'', ID))

    try:
        mock_run(main)
    except* AnswerBrokenError as group:
        raise group.exceptions[0] from group
    return request


def is_ended(request):
    return not request.messages[-1].get('more_body', True)


def test_a_broken_answer_resumes_where_it_stopped(mock_run):
    request = run_forward(mock_run, send_part(4), send_part(10, ends=True))
    assert request.answer.body == BODY
    assert is_ended(request)


@pytest.mark.parametrize('after', [(), (send_problem(),)])
def test_an_answer_that_stays_broken_never_looks_complete(mock_run, after):
    requests = []
    with pytest.raises(AnswerBrokenError):
        requests.append(
            run_forward(mock_run, send_part(4), *after, *[close_early] * 40)
        )
    assert not requests


async def close_early(_connection):
    return False
