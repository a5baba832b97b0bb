"""BUDGET: a part that crashes servers is never found deep in a long prompt."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
from fleet import (  # noqa: E402
    BROKEN, HELD, TROUBLE, make_model_service, make_route, run,
)

PARTS = 40
# Place of the part that crashes servers among the parts; the last never does.
POSITION = int(os.environ.get('POSITION', '36'))
DEADLY = 'dead0001'
SOUND_PER_S = 8
DEADLY_EACH = 8        # one of so many requests has the deadly part
LASTS_S = 45
DOWN_S = 3.0
STABLE_S = 3.0


def make_prompt(number, is_deadly):
    """Parts of a prompt: a long shared conversation, and an own last part."""
    names = [f'{0x5c100000 + place:x}' for place in range(PARTS - 1)]
    if is_deadly:
        names[POSITION - 1] = DEADLY
    names.append(f'{0xa0000000 + number:x}')
    return ','.join(f'{name}:20' for name in names)


async def case(fleet):
    crashes, arrivals, sound = [], [], []
    loop = asyncio.get_running_loop()

    async def restart(server):
        await asyncio.sleep(DOWN_S)
        await server.start()

    def make_answer(server):
        async def answer(attempt, headers, body, writer):
            if DEADLY in headers.get('prompt-prefix', ''):
                arrivals.append((loop.time(), attempt, server.name))
                if TROUBLE:
                    # It crashes as it begins to write the answer.
                    await asyncio.sleep(0.03)
                    if server.is_up:
                        crashes.append(loop.time())
                        server.crash()
                        background.add(asyncio.create_task(restart(server)))
                    raise ConnectionResetError
            await server.stream(attempt, headers, body, writer)
        return answer

    background = set()
    for n in range(6):
        server = fleet.add_server(f'i-{n}', 'pool')
        server.event_s = 0.02
        server.answer = make_answer(server)
    await fleet.start(
        [make_route('consult', 'streaming', 'pool', priority=0,
                    target_latency_ms=1000, gap_target_ms=250)],
        [make_model_service('pool')])
    await asyncio.sleep(3)

    async def ask(number, is_deadly):
        body = json.dumps({'events': 4, 'number': number}).encode()
        answer = await fleet.call(
            fleet.nodes[number % len(fleet.nodes)], '/consult/2f',
            fleet.make_attempt(), body, headers={
                'Model': 'm', 'Token-Usage': '800,20',
                'Prompt-Prefix': make_prompt(number, is_deadly)})
        if not is_deadly:
            sound.append(answer.is_whole and answer.status == 200)

    end = loop.time() + LASTS_S
    number = 0
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            number += 1
            group.create_task(ask(number, number % DEADLY_EACH == 0))
            await asyncio.sleep(1 / SOUND_PER_S)
    fifth = crashes[4] if len(crashes) >= 5 else loop.time()
    late = [one for one in arrivals if one[0] > fifth + STABLE_S]
    fleet.record.say(
        f'part {POSITION} of {PARTS}; requests with it that reached servers: '
        f'{len(arrivals)}, crashes: {len(crashes)}, reached servers later than '
        f'3 s after the fifth crash: {len(late)} (BUDGET allows 3)')
    fleet.record.say(f'sound requests: {len(sound)}, served: {sum(sound)}')
    if not TROUBLE:
        return HELD if all(sound) else BROKEN
    return BROKEN if len(late) > 3 else HELD


run(case)
