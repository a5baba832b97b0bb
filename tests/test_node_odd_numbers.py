"""End-to-end tests of numbers in headers that no message can hold."""

import pytest
import trio

from tests.nodes import run_nodes


# Found while looking for odd entries: a caller's number that no message between
# hosts can hold ended the host that got the request.
@pytest.mark.parametrize(
    'headers',
    [
        {'token_usage': '999999999999999,999999999999999'},
        {'token_usage': '800,3800', 'length_hint': '999999999999999'},
        {'token_usage': '800,3800', 'prompt_prefix': 'f:' + '9' * 400},
        {'token_usage': '8,3', 'prompt_prefix': 'f' * 400 + ':5'},
    ],
)
def test_a_number_out_of_range_ends_no_host_and_no_link(headers):
    async def scenario(fleet):
        for number in range(2):
            with trio.move_on_after(2):
                await fleet.call('/stream/a', number, body=b'x', **headers)
        for number in range(2):
            answer = await fleet.call('/stream/a', number, body=b'x')
            assert answer[0] == 200

    run_nodes(scenario, count=2)
