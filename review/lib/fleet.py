"""Stand-ins and clients of the review's scripts; standard library only.

The nodes are separate processes, started with the command of the deploy file.
The store, the servers and the clients run in the process of the script, each on
a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = 'shop.example'
KEY = 'k4m2p9x7'
TENANT = 'grinders'
HEARTBEAT_S = 1.2
# Bounds of the users' sheet; a server's entry lapses after three heartbeats.
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'stable_window_ms': 3000,
    'ack_ms': 4000, 'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8,
    'loss_slack_ms': 200, 'config_apply_ms': 2000, 'back_ms': 250,
    'outer_ms': 5000, 'revoke_ms': 5000, 'retry_ratio': 0.2,
    'retry_window_s': 10, 'retry_slack': 56, 'quota_window_s': 8,
    'quota_overage': 0.25, 'quota_slack': 140000, 'recover_s': 12,
    'pass_ms': 120, 'reuse_window_s': 10, 'ttl_max_s': 5,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Network:
    """A free loopback network, and free ports that all nodes share."""

    def __init__(self):
        self.prefix = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}.'
        addresses = [self.at(10 + number) for number in range(8)]
        names = ('callers', 'ready', 'directory', 'peers', 'gossip', 'metrics')
        self.ports = dict(zip(names, self._find_ports(addresses, len(names))))
        self.store_port = self._find_ports([self.at(1)], 1)[0]

    def at(self, number):
        return f'{self.prefix}{number}'

    @staticmethod
    def _find_ports(addresses, count):
        found = []
        while len(found) < count:
            port = random.randint(20000, 30000)
            if port not in found and all(_is_free(one, port) for one in addresses):
                found.append(port)
        return found


def _is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


async def read_message(reader):
    """Read a head and its body; return the first line, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return first, headers, None
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


def make_head(status, headers):
    lines = [f'HTTP/1.1 {status} -', *(f'{k}: {v}' for k, v in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def abort(writer):
    """Reset a connection, as the end of a process does."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store: lists and watches, one revision counter."""

    def __init__(self, address, port, record):
        self.address, self.port = address, port
        self.revision = 100
        # While it is dark it answers nothing; writes wait until it is back.
        self.is_dark = False
        self._back = asyncio.Event()
        self._waiting = []
        self._record = record
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self._serve, self.address, self.port)

    def wake(self):
        """Take the writes that have waited, and answer again."""
        waiting, self._waiting = self._waiting, []
        for key, document in waiting:
            self.put(key, document)
        self._back.set()
        self._back = asyncio.Event()

    def put(self, key, document):
        if self.is_dark:
            self._waiting.append((key, document))
            return
        self.revision += 1
        text = base64.b64encode(json.dumps(document).encode()).decode()
        created = self._items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': text, 'revision': self.revision,
                'created': created, 'lease': 0}
        self._items[key] = item
        self._publish(item)
        self._record.write(f'store put {key} revision={self.revision}')

    def delete(self, key):
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})
        self._record.write(f'store delete {key} revision={self.revision}')

    def _publish(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _, _ = await read_message(reader)
                url = urllib.parse.urlsplit(first.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self._answer(url.path, query)
                if self.is_dark:
                    # What was asked while it was dark is never answered.
                    await self._back.wait()
                    return
                text = json.dumps(body).encode()
                writer.write(make_head(status, {
                    'Content-Type': 'application/json', 'Store-Era': '1',
                    'Content-Length': len(text)}) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get('prefix', '')
        if path == '/-/kv-range':
            keys = sorted(k for k in self._items
                          if k.startswith(prefix) and k > query.get('after', ''))
            return 200, {'items': [self._items[k] for k in keys[:50]],
                         'has_more': len(keys) > 50,
                         'store_revision': self.revision}
        if path == '/-/kv-watch':
            after = int(query['after'])
            end = time.monotonic() + int(query['wait_ms']) / 1000
            while True:
                events = [one for one in self._events
                          if one['key'].startswith(prefix)
                          and one['revision'] > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {'events': events,
                                 'store_revision': self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}


class Server:
    """A server of a service; `answer` may be replaced by a case."""

    def __init__(self, fleet, name, service, address, version='v1', slots=9):
        self.fleet, self.name, self.service = fleet, name, service
        self.address, self.version, self.slots = address, version, slots
        self.port = Network._find_ports([address], 1)[0]
        self.event_s = 0.1
        self.answer = self.stream
        self.extra = {}
        self.writers = set()
        self.starts = 0
        self._listener = None

    async def start(self):
        self.starts += 1
        self.born = int(time.time() * 1000)
        self._listener = await asyncio.start_server(
            self._serve, self.address, self.port, reuse_address=True)
        self.fleet.record.write(f'server {self.name} {self.version} starts')
        self.register()

    def register(self, state='ready'):
        self.fleet.store.put(f'servers/{self.name}', {
            'service': self.service, 'address': f'{self.address}:{self.port}',
            'zone': 'split-a', 'version': self.version, 'slots': self.slots,
            'state': state, 'cold_remaining_ms': 0, 'stage': 'unified',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': self.starts, 'born': self.born})

    def crash(self):
        """End as a process does: no listener, all connections reset."""
        self.fleet.record.write(f'server {self.name} crashes')
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in tuple(self.writers):
            abort(writer)
        self.writers.clear()

    @property
    def is_up(self):
        return self._listener is not None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self._handle(first, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, first, headers, body, writer):
        path = first.split()[1]
        attempt = headers.get('attempt-id', '')
        if path.startswith('/-/') or path == '/healthz':
            writer.write(make_head(200, {'Instance-Id': self.name,
                                         'Content-Length': 0}))
            return
        if headers.get('expect-instance') not in {None, self.name}:
            writer.write(make_head(421, {'Attempt-Id': attempt,
                                         'Instance-Id': self.name,
                                         'Content-Length': 0}))
            return
        self.fleet.record.write(
            f'arrives server={self.name} version={self.version} '
            f'attempt={attempt} after={headers.get("last-event-id")}')
        await self.answer(attempt, headers, body, writer)

    async def stream(self, attempt, headers, body, writer):
        """Write an event stream; the requester names its length in the body."""
        count = json.loads(body)['events']
        last = int(headers.get('last-event-id') or 0)
        writer.write(make_head(200, {
            'Attempt-Id': attempt, 'Server-Seal': f'seal.{self.name}',
            'Content-Type': 'text/event-stream', 'Weight-Versions': 1,
            'Transfer-Encoding': 'chunked', **self.extra}))
        for number in range(last + 1, count + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                raise ConnectionResetError
            event = f'id: {number}\ndata: {self.version} {self.name}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    async def plain(self, attempt, headers, body, writer):
        await asyncio.sleep(0.02)
        text = f'{self.name} {attempt}'.encode()
        writer.write(make_head(200, {
            'Attempt-Id': attempt, 'Server-Seal': f'seal.{self.name}',
            'Content-Length': len(text), **self.extra}) + text)


def fill(template, values):
    """Fill in the platform's placeholders of a template."""
    def find(name, current):
        if name == '.':
            return current
        found = values
        for part in name.split('.'):
            try:
                found = found[int(part)] if isinstance(found, list) else found[part]
            except (KeyError, IndexError):
                return None
        return found

    def write(found):
        if found is None:
            return ''
        return ','.join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match):
        found = find(match[1], None)
        if found is None or found is False:
            return ''
        return match[2].replace('{{.}}', write(found))

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template,
                  flags=re.S)
    return re.sub(r'\{\{([\w.]+)\}\}', lambda m: write(find(m[1], None)), text)


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.address = fleet.network.at(10 + number)
        self.process = None
        self.started = 0.0

    async def start(self):
        fleet, ports = self.fleet, self.fleet.network.ports
        role = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text())['roles']['node']
        seeds = [f'{fleet.network.at(10 + one)}:{ports["peers"]}'
                 for one in range(min(3, fleet.node_count))]
        text = fill((ROOT / role['template']).read_text(), {
            'node': f'edge-split-a-{self.number + 1}', 'ip': self.address,
            'zone': 'split-a', 'region': 'dalmacija', 'seeds': seeds,
            'internal_ports': [ports['gossip'], ports['metrics']],
            'listen': {'front': f'{self.address}:{ports["callers"]}',
                       'ready': f'{self.address}:{ports["ready"]}',
                       'control': f'{self.address}:{ports["peers"]}',
                       'directory': f'{self.address}:{ports["directory"]}'},
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300,
                       'max_fds': 4100},
            'bounds': BOUNDS,
            'platform': {'address': f'{fleet.store.address}:{fleet.store.port}'}})
        path = fleet.folder / f'node-{self.number}.ini'
        path.write_text(text)
        environment = {name: os.environ[name]
                       for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['HORNBEAMPULLEY_NODE_FILE'] = str(path)
        with open(fleet.folder / f'node-{self.number}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(), cwd=ROOT, env=environment,
                stdout=log, stderr=log)
        self.started = time.monotonic()
        fleet.record.write(f'node {self.number} starts')

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.fleet.record.write(f'node {self.number} killed')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.fleet.network.ports['ready'])
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n'
                         b'Connection: close\r\n\r\n')
            first, _, _ = await read_message(reader)
            return first.split()[1] == '200'
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Answer:
    """What a client got for one attempt."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.events = []
        self.is_whole = False


class Fleet:
    """Store, servers and nodes of one case."""

    def __init__(self, folder, node_count=3):
        self.folder = folder
        self.node_count = node_count
        self.record = Record(
            pathlib.Path(os.environ.get('RECORD', 'record.txt')))
        self.network = Network()
        self.store = Store(self.network.at(1), self.network.store_port,
                           self.record)
        self.nodes = [Node(self, number) for number in range(node_count)]
        self.servers = []
        self._attempts = 0

    def add_server(self, name, service, **more):
        address = self.network.at(100 + len(self.servers))
        server = Server(self, name, service, address, **more)
        self.servers.append(server)
        return server

    async def start(self, routes, services, tenants=None, wait_s=20):
        await self.store.start()
        self.store.put('op/config', {
            'version': 7, 'routes': routes, 'services': services,
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
            'tenants': tenants or [{'name': TENANT, 'api_keys': [KEY]}]})
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            await node.start()
        await self.wait_ready(wait_s)

    async def wait_ready(self, wait_s=20):
        end = time.monotonic() + wait_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end or node.process.returncode is not None:
                    raise CannotRun(f'node {node.number} does not get ready')
                await asyncio.sleep(0.05)

    def make_attempt(self):
        self._attempts += 1
        return f'{random.getrandbits(40):010x}{self._attempts:06x}'

    async def call(self, node, path, attempt, body=b'', deadline_ms=15000,
                   headers=None, until=None, method='POST'):
        """Send one attempt on a new channel; return what came of it.

        `until` is called with the answer after each event; if it returns true,
        the client closes the channel.
        """
        answer = Answer()
        lines = {'Host': HOST, 'Attempt-Id': attempt,
                 'Deadline-Ms': round(deadline_ms), 'Api-Key': KEY,
                 **(headers or {})}
        if method != 'GET':
            lines['Content-Length'] = len(body)
        text = f'{method} {path} HTTP/1.1\r\n' + ''.join(
            f'{name}: {value}\r\n' for name, value in lines.items()) + '\r\n'
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    node.address, self.network.ports['callers'])
                writer.write(text.encode() + body)
                first, answer.headers, whole = await read_message(reader)
                answer.status = int(first.split()[1])
                if whole is not None:
                    answer.body, answer.is_whole = whole, True
                else:
                    await self._read_chunks(reader, answer, until)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(
            f'answered attempt={attempt} node={node.number} '
            f'status={answer.status} whole={answer.is_whole} '
            f'events={len(answer.events)}')
        return answer

    @staticmethod
    async def _read_chunks(reader, answer, until):
        rest = b''
        while True:
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            part = (await reader.readexactly(size + 2))[:-2]
            if not size:
                answer.is_whole = True
                return
            rest += part
            *events, rest = rest.split(b'\n\n')
            for event in events:
                fields = dict(line.split(': ', 1)
                              for line in event.decode().split('\n'))
                answer.events.append((int(fields['id']), fields['data']))
            if until is not None and until(answer):
                return

    async def end(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()


def make_route(name, kind, service, **more):
    return {'name': name, 'host': HOST, 'prefix': f'/{name}/',
            'route_kind': kind, 'timeout_ms': 15000, 'target_latency_ms': 400,
            'priority': 1, 'service': service, 'max_attempts': 1,
            'anonymous': False, 'sticky': kind == 'streaming',
            'resumable': False, **more}


def make_model_service(name, slots=9):
    return {'name': name, 'health_path': '/healthz', 'max_conns': 370,
            'protocol': 'h1', 'tls': False,
            'engine': {'slots': slots, 'kv_capacity': 478286,
                       'kv_token_bytes': 18432, 'link_mbps': 370000.0,
                       'moves': True, 'backups': True, 'stride': 5,
                       'models': [{'name': 'm'}]}}


def make_plain_service(name):
    return {'name': name, 'health_path': '/healthz', 'max_conns': 110,
            'protocol': 'h1', 'tls': False}


def run(case, node_count=3, limit_s=115):
    """Run a case in a temporary folder; exit with its result."""
    async def main(folder):
        fleet = Fleet(pathlib.Path(folder), node_count)
        fleet.record.say(f'trouble: {"yes" if TROUBLE else "no"}')
        try:
            async with asyncio.timeout(limit_s):
                return await case(fleet)
        except (CannotRun, TimeoutError) as error:
            fleet.record.say(f'could not run: {error!r}')
            return CANNOT_RUN
        finally:
            await fleet.end()
            kept = os.environ.get('KEEP_LOGS')
            if kept:
                for path in pathlib.Path(folder).glob('node-*.log'):
                    (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())

    if not (ROOT / 'target/deps').is_dir():
        print('could not run: no build of the deploy file in target/')
        sys.exit(CANNOT_RUN)
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(main(folder))
    sys.stdout.flush()
    os._exit(result)
