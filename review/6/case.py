"""A requester leaves a busy pool a few times; its slots stay taken for ever."""

import asyncio
import collections
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))
import lab as deployment  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Kinds of magline-obits with requests a second, at half of the sheet as the site
# plays them; objective, rank and events of an answer, of which plain ones have none.
KINDS = {
    'full-draft': (10.2, 1000, 0, 76),
    'column-trim': (9.24, 400, 1, 58),
    'fact-flag': (13.0, 400, 2, 5),
    'placement-file': (8.09, 125, 2, 0),
    'status-read': (4.0, 125, 2, 0),
}
TOKENS = {'full-draft': 6610, 'column-trim': 628, 'fact-flag': 1800}
# `hot_tenant` x 7.5 for 6.5 s: one tenant, with half of the 44.5 requests a second,
# may send 167 a second. Here its requester sends a batch of drafts a few times.
BATCH = 110
BATCHES_S = (3.0, 4.2, 5.4, 6.6, 7.8)
# `give_up` x 1500 for 5 s: it leaves within 1.5 s, with all its channels at once, as its
# process ends.
LEAVES_S = 0.8
END_S = 85.0
# Nothing happens in the last part, which is looked at by itself too.
CALM_S = 40.0


class Traffic:
    """Requesters with open-loop requests."""

    def __init__(self, lab):
        self.lab = lab
        # Kind, time sent, whether it was served, whether its requester left.
        self.ended = []
        self._tasks = set()

    async def send(self, kind):
        """Send requests of a kind until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(KINDS[kind][0]))
            self.start(kind)

    def start(self, kind):
        """Send a request."""
        task = asyncio.create_task(self._ask(kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send_batch(self, has_trouble):
        """Send many requests at once, and leave soon if that is the trouble."""
        tasks = [self.start('full-draft') for _ in range(BATCH)]
        await asyncio.sleep(LEAVES_S)
        if has_trouble:
            self.lab.record.write('requester_leaves', channels=BATCH)
            for task in tasks:
                task.cancel()

    async def _ask(self, kind):
        lab = self.lab
        _, _, _, events = KINDS[kind]
        headers = {}
        if events:
            tokens = TOKENS[kind]
            headers = {
                'Model': 'm',
                'Token-Usage': f'{tokens},{events * 5}',
                'Prompt-Prefix': f'a1:60,{random.getrandbits(60):x}:{tokens}',
            }
        limit_s = {'full-draft': 15, 'column-trim': 15, 'fact-flag': 3}
        sent_s = lab.record.now()
        method = 'GET' if kind == 'status-read' else 'POST'
        path = f'/stream-{kind}/a' if events else f'/{kind}/a'
        try:
            answer = await lab.call(
                random.choice(lab.nodes),
                method,
                path,
                headers,
                limit_s=limit_s.get(kind, 1.5),
            )
        except asyncio.CancelledError:
            self.ended.append((kind, sent_s, False, True))
            raise
        is_served = answer.status == 200 and answer.is_whole
        self.ended.append((kind, sent_s, is_served, False))


def count_shares(ended, since_s=0):
    """Return the served shares of all kinds, and that of all requests.

    What a requester has given up is not owed.
    """
    owed = [one for one in ended if not one[3] and one[1] >= since_s]
    shares = {}
    for kind in KINDS:
        served = [one[2] for one in owed if one[0] == kind]
        shares[kind] = sum(served) / max(len(served), 1)
    return shares, sum(one[2] for one in owed) / max(len(owed), 1)


async def play(record, has_trouble):
    """Play the case."""
    async with deployment.open_lab(record) as lab:
        for number in range(6):
            lab.add_server(f'i-scribe{number}', 'scribe-pool', 9, 54)
        for number in range(3):
            lab.add_server(f'i-ledger{number}', 'ledger-desk', 6)
        lab.add_nodes(8)
        lab.store.put(deployment.CONFIG, make_config())
        for server in lab.servers:
            server.work_s, server.pause_s = 0.0225, 0.023
            server.choose_events = choose_events
        await lab.start()
        traffic = Traffic(lab)
        began_s = record.now()
        tasks = [asyncio.create_task(traffic.send(kind)) for kind in KINDS]
        for moment_s in BATCHES_S:
            await asyncio.sleep(began_s + moment_s - record.now())
            await traffic.send_batch(has_trouble)
        await asyncio.sleep(began_s + END_S - record.now())
        for task in tasks:
            task.cancel()
        return judge(lab, traffic, began_s)


def judge(lab, traffic, began_s):
    """Tell whether a kind was served less than a quarter as often as all."""
    busy = {one.name: one.running for one in lab.servers}
    lab.record.write('servers_run', **busy)
    for label, since_s in (
        ('whole', began_s),
        ('calm', began_s + END_S - CALM_S),
    ):
        shares, of_all = count_shares(traffic.ended, since_s)
        texts = {kind: round(share, 3) for kind, share in shares.items()}
        lab.record.write(f'served_{label}', all=round(of_all, 3), **texts)
        print(label, round(of_all, 3), texts)
        starved = [one for one in shares if shares[one] < of_all / 4]
        if label == 'whole':
            is_broken = bool(starved)
    print('running at the servers', busy)
    return is_broken


def make_config():
    """Make the config of the sheet."""
    routes = [
        deployment.make_route(
            f'stream-{kind}' if events else kind,
            'streaming'
            if events
            else 'idempotent'
            if kind == 'status-read'
            else 'non_idempotent',
            'scribe-pool' if events else 'ledger-desk',
            target_latency_ms=objective_ms,
            priority=rank,
            timeout_ms=15000 if events else 800,
            gap_target_ms=250 if events else 0,
        )
        for kind, (_, objective_ms, rank, events) in KINDS.items()
    ]
    tenant = {'name': deployment.TENANT, 'api_keys': [deployment.KEY]}
    return deployment.make_config(routes, tenants=[tenant])


def choose_events(path):
    """Return how many events the stream of a path has."""
    kind = path.split('/')[1].removeprefix('stream-')
    return KINDS[kind][3]


if __name__ == '__main__':
    raise SystemExit(deployment.main(play, FOLDER, HAS_TROUBLE))
