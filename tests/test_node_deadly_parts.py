"""End-to-end tests of prompts with a part that crashes targets."""

import trio

from tests.nodes import run_nodes, start_crashing

CALLER = 'c0ffee:82'
POISONED = 8
# From the users' rule: five crashes, then three more requests.
MAX_CRASHES = 5


async def call(fleet, path, part, number):
    """Send a request whose prompt has parts of caller, topic and own."""
    return await fleet.call(
        path,
        number % len(fleet.nodes),
        body=b'prompt %d' % number,
        request_id=b'%s-%d' % (part.encode(), number),
        prompt_prefix=f'{CALLER},{part}:95,{number + 1:x}:100',
        token_usage='277,20',
    )


async def call_until_served(fleet, number):
    """Send a sound request again until a target is up to serve it."""
    for _ in range(100):
        answer = await call(fleet, '/stream/a', 'beef', number)
        if answer[0] == 200:
            return
        await trio.sleep(0.1)
    raise AssertionError('a sound request is not served')


# BUDGET: requests with one part in common, no two alike, crashed target after
# target, since contents were only compared whole.
def test_requests_with_a_part_that_crashes_targets_are_refused():
    async def scenario(fleet):
        engines = start_crashing(fleet, b'dead')
        statuses = []
        for number in range(POISONED):
            statuses.append((await call(fleet, '/stream/a', 'dead', number))[0])
            await call(fleet, '/stream/a', 'beef', number)
        assert sum(engine.crashes for engine in engines) <= MAX_CRASHES
        assert statuses[-1] == 503
        await call_until_served(fleet, POISONED)

    run_nodes(scenario, count=2)
