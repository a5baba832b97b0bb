"""Small deployment for the scripts of a review: nodes and stand-ins on loopback.

The nodes are started with the command and the template of the deploy file. The
store, the servers and the requesters are stand-ins in the process of the script;
they keep to the users' pages.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY = 8221, 8224, 8229, 8220
INTERNAL = (7600, 7615)
STORE_PORT, SERVER_PORT = 8225, 8080
KEY = 'i9n73hh2b9wu3fexd9dn'
TENANT = 'hule930'
HOST = 'ficu95.example'
# The sheets of both users' smaller installations.
BOUNDS = {
    'drain_ms': 2000,
    'grace_s': 8,
    'ttl_max_s': 5,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'quota_overage': 0.25,
    'quota_slack': 140000,
    'quota_window_s': 8,
}
LIMITS = {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 150, 'max_fds': 4100}
HEARTBEAT_S = 1.2
CONFIG = 'op/config'
_JSON = {'Content-Type': 'application/json'}


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in s."""
        return time.monotonic() - self._start

    def write(self, event: str, **pairs: object) -> None:
        """Write one line."""
        texts = ' '.join(f'{name}={value}' for name, value in pairs.items())
        self._file.write(f'{self.now():9.4f} {event} {texts}\n')
        self._file.flush()


class Headers(dict):
    """Headers with lower-case names."""


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, first: list[str], headers: Headers, body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], Headers]:
    """Read the head of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    headers = Headers()
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    return first.split(' ', 2), headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; empty at the end of the body."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    part = await reader.readexactly(size + 2)
    return part[:-2]


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a whole request."""
    first, headers = await read_head(reader)
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while part := await read_chunk(reader):
            body += part
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first, headers, body)


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a whole answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Listener:
    """A server on one address that can crash and come back."""

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.is_up = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, self.address, self.port, reuse_address=True
        )
        self.is_up = True

    async def crash(self) -> None:
        """Close the port and all connections at once, as a killed process."""
        self.is_up = False
        self._server.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await self.serve(reader, writer)
        self._writers.discard(writer)
        self._tasks.discard(task)
        writer.transport.abort() if writer.is_closing() else writer.close()


class Store(Listener):
    """The platform's store: ranges, watches, and times in which it is silent."""

    def __init__(self, address: str, record: Record) -> None:
        super().__init__(address, STORE_PORT)
        self.revision = 100
        self.era = 1
        self._record = record
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._up = asyncio.Event()
        self._up.set()

    def put(self, key: str, document: object) -> None:
        """Write an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(document).encode()).decode()
        known = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self._publish(self._items[key])

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    @property
    def is_serving(self) -> bool:
        """Whether it answers and takes writes."""
        return self._up.is_set()

    def fall_silent(self) -> None:
        """Answer nothing from now on."""
        self._record.write('store_down')
        self._up.clear()

    async def come_back(self) -> None:
        """Answer again; what was open meanwhile is closed."""
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._up.set()
        self._record.write('store_up')

    async def wait_serving(self) -> None:
        """Wait until it takes writes."""
        await self._up.wait()

    def _publish(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            await self._up.wait()
            url = urlsplit(request.first[1])
            query = {n: t[0] for n, t in parse_qs(url.query).items()}
            if url.path == '/-/kv-range':
                status, body = 200, self._list(query)
            elif url.path == '/-/kv-watch':
                status, body = await self._watch(query)
            else:
                status, body = 404, {}
            await self._up.wait()
            head = {**_JSON, 'Store-Era': str(self.era)}
            writer.write(encode(status, head, json.dumps(body).encode()))
            await writer.drain()

    def _list(self, query: dict[str, str]) -> dict:
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query['prefix']) and key > query.get('after', '')
        ]
        page = items[:500]
        return {
            'items': page,
            'has_more': len(page) < len(items),
            'store_revision': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])
        if after < 100 or after > self.revision:
            return 410, {}
        ends = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = [
                one
                for one in self._events
                if one['revision'] > after
                and one['key'].startswith(query['prefix'])
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Server(Listener):
    """A server of a service; processes `slots` requests and queues some more."""

    def __init__(
        self,
        lab: 'Lab',
        name: str,
        service: str,
        address: str,
        slots: int,
        queue: int,
    ) -> None:
        super().__init__(address, SERVER_PORT)
        self.name = name
        self.service = service
        self.slots = slots
        self.version = 'v1'
        self.state = 'ready'
        # Time for a plain answer, and between two events of a stream.
        self.work_s = 0.09
        self.pause_s = 0.05
        self.choose_events: Callable[[str], int] = lambda path: 20
        # Called with each request that begins to run.
        self.on_run: Callable[[Message], None] = lambda request: None
        self._lab = lab
        self._queue = queue
        self._born = 0
        self._sequence = 0
        self._written: dict | None = None
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._beat: asyncio.Task | None = None

    @property
    def running(self) -> int:
        """Number of requests that it runs."""
        return self._running

    async def start(self, version: str = 'v1') -> None:
        """Start a new lifetime and write its entry."""
        self.version = version
        self.state = 'ready'
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._written = None
        self._free = asyncio.Semaphore(self.slots)
        self._running = self._waiting = 0
        await self.open()
        self._lab.record.write(
            'server_started', name=self.name, version=version, born=self._born
        )
        self._beat = asyncio.create_task(self._write_entries())

    async def crash(self) -> None:
        """End without a word."""
        self._beat.cancel()
        self._lab.record.write(
            'server_crashed', name=self.name, version=self.version
        )
        await super().crash()

    async def _write_entries(self) -> None:
        while True:
            await self._lab.store.wait_serving()
            self._sequence += 1
            entry = {
                'service': self.service,
                'address': f'{self.address}:{self.port}',
                'zone': 'atl-a',
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'cold_remaining_ms': 0,
                'born': self._born,
            }
            # The entry changes when more than `sequence` changes.
            if entry != self._written:
                self._written = entry
                whole = {**entry, 'sequence': self._sequence}
                self._lab.store.put(f'servers/{self.name}', whole)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            work = asyncio.create_task(self._answer(request, writer))
            # A request is dropped when its channel closes.
            try:
                while not work.done():
                    await asyncio.wait((work,), timeout=0.005)
                    if reader.at_eof() or reader.exception():
                        return
                work.result()
            finally:
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)

    def _make_head(self, request: Message) -> dict[str, str]:
        load = f'{self._running},{self._waiting},{self.slots}'
        name = request.headers.get('attempt-id', '')
        head = {'Attempt-Id': name, 'Server-Load': load}
        return head if name else _JSON

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        _, path, _ = request.first
        headers = request.headers
        if headers.get('expect-instance', self.name) != self.name:
            head = {**self._make_head(request), 'Instance-Id': self.name}
            writer.write(encode(421, head, b''))
        elif path == '/-/report':
            report = {'stage': 'unified', 'born': self._born, 'sequence': 0}
            body = json.dumps(report).encode()
            writer.write(encode(200, _JSON, body))
        elif self._waiting >= self._queue:
            head = {**self._make_head(request), 'Not-Executed': '1'}
            writer.write(encode(503, head, b''))
        else:
            await self._run(request, writer)
        await writer.drain()

    async def _run(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self._lab.record_run(self, request)
            self.on_run(request)
            if request.first[1].startswith('/stream'):
                await self._stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                head = {**self._make_head(request), 'Server-Seal': 'seal'}
                writer.write(encode(200, head, b'x' * 800))
        finally:
            self._running -= 1
            self._free.release()

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        head = {
            **self._make_head(request),
            'Server-Seal': 'seal',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = [f'{name}: {text}' for name, text in head.items()]
        writer.write('\r\n'.join(['HTTP/1.1 200 X', *lines, '', '']).encode())
        first = int(request.headers.get('last-event-id', 0)) + 1
        last = self.choose_events(request.first[1])
        for number in range(first, last + 1):
            await asyncio.sleep(self.pause_s)
            event = f'id: {number}\ndata: {self.name} {self.version}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
        writer.write(b'0\r\n\r\n')


class Answer:
    """What a requester got."""

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.body = b''
        self.is_whole = False


class PeerProxy(Listener):
    """Stands between a node and the links of its peers, which it can cut.

    Peers connect from their own addresses, so that a cut may hold for some of
    them. What is sent over a cut link is held back, and it is reset afterwards.
    """

    def __init__(self, address: str, listen: str) -> None:
        super().__init__(address, CONTROL)
        self._listen = listen
        self._cut: frozenset[str] = frozenset()
        self._pairs: dict[asyncio.StreamWriter, str] = {}
        self._healed = asyncio.Event()

    def cut(self, peers: frozenset[str]) -> None:
        """Hold back what comes from and goes to some addresses."""
        self._cut = peers
        self._healed = asyncio.Event()

    def heal(self) -> None:
        """Pass on again; links that were cut are reset."""
        for writer, peer in tuple(self._pairs.items()):
            if peer in self._cut:
                writer.transport.abort()
        self._cut = frozenset()
        self._healed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info('peername')[0]
        while peer in self._cut:
            await self._healed.wait()
        inner_reader, inner = await asyncio.open_connection(
            self._listen, CONTROL
        )
        self._pairs[writer] = self._pairs[inner] = peer
        pumps = (
            asyncio.create_task(self._pump(peer, reader, inner)),
            asyncio.create_task(self._pump(peer, inner_reader, writer)),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            for one in (writer, inner):
                self._pairs.pop(one, None)
                one.transport.abort()

    async def _pump(
        self,
        peer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while part := await reader.read(65536):
            while peer in self._cut:
                await self._healed.wait()
            writer.write(part)
            await writer.drain()


class Node:
    """A node as a process."""

    def __init__(self, lab: 'Lab', number: int, zone: str) -> None:
        self.name = f'edge-{zone}-{number}'
        self.address = lab.address(10 + number)
        # Where it takes the links of peers, if a proxy stands before it.
        self.listen_address = self.address
        self.proxy: PeerProxy | None = None
        self.zone = zone
        self.process: asyncio.subprocess.Process | None = None
        self.log = lab.folder / f'{self.name}.log'
        self._lab = lab

    async def start(self) -> None:
        """Start the process."""
        lab = self._lab
        path = lab.folder / f'{self.name}.ini'
        path.write_text(lab.render(self))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['HORNBEAMPULLEY_NODE_FILE'] = str(path)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(lab.role['run']),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        lab.record.write('node_started', name=self.name, address=self.address)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._lab.record.write(
            'node_signalled', name=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    @property
    def incarnation(self) -> str:
        """Id of the present run, out of the log."""
        found = re.findall(r'incarnation=(\S+)', self.log.read_text())
        return found[-1] if found else ''


class Lab:
    """A small deployment."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['node']
        self._template = (ROOT / self.role['template']).read_text()
        self._prefix = _find_free_prefix()
        self.store = Store(self.address(1), record)
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        self.runs: list[tuple[float, Server, Message]] = []
        self.bounds = dict(BOUNDS)
        self._numbers = itertools.count(1)

    def address(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f'{self._prefix}.{number}'

    def add_server(
        self, name: str, service: str, slots: int, queue: int = 24
    ) -> Server:
        """Add a server, which is to be started."""
        address = self.address(100 + len(self.servers))
        server = Server(self, name, service, address, slots, queue)
        self.servers.append(server)
        return server

    def add_nodes(self, count: int) -> None:
        """Add nodes, which are to be started."""
        for number in range(count):
            zone = ('atl-a', 'atl-b', 'atl-c')[number % 3]
            self.nodes.append(Node(self, number, zone))

    def add_peer_proxies(self) -> None:
        """Let peers reach each node through a proxy."""
        for number, node in enumerate(self.nodes):
            node.listen_address = self.address(50 + number)
            node.proxy = PeerProxy(node.address, node.listen_address)

    async def start(self) -> None:
        """Start everything and wait until each node serves."""
        await self.store.open()
        for node in self.nodes:
            if node.proxy is not None:
                await node.proxy.open()
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await self._wait_ready(node)
        # All nodes find one another.
        await asyncio.sleep(2.5)

    def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.end()

    def make_id(self) -> str:
        """Return a new id of an attempt."""
        return f'{random.getrandbits(40):010x}{next(self._numbers):06x}'

    def record_run(self, server: Server, request: Message) -> None:
        """Record that a server begins to run a request."""
        self.runs.append((self.record.now(), server, request))
        self.record.write(
            'run',
            id=request.headers.get('attempt-id'),
            server=server.name,
            version=server.version,
            path=request.first[1],
            tokens=request.headers.get('token-usage'),
            after=request.headers.get('last-event-id'),
        )

    def render(self, node: Node) -> str:
        """Fill in the template of the settings."""
        fields = {
            'node': node.name,
            'ip': node.address,
            'zone': node.zone,
            'region': 'southeast',
            'listen': {
                'front': f'{node.address}:{FRONT}',
                'ready': f'{node.address}:{READY}',
                'control': f'{node.listen_address}:{CONTROL}',
                'directory': f'{node.address}:{DIRECTORY}',
            },
            'internal_ports': list(INTERNAL),
            'platform': {'address': f'{self.store.address}:{STORE_PORT}'},
            'seeds': [f'{one.address}:{CONTROL}' for one in self.nodes[:3]],
            'bounds': self.bounds,
            'limits': LIMITS,
        }
        return _render(self._template, fields)

    async def _wait_ready(self, node: Node) -> None:
        for _ in range(200):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await self.call(
                    node, 'GET', '/-/readyz', port=READY, is_recorded=False
                )
                if answer.status == 200:
                    return
            if node.process.returncode is not None:
                raise CouldNotRunError(f'{node.name} has ended')
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f'{node.name} is not ready')

    async def call(
        self,
        node: Node,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        port: int = FRONT,
        limit_s: float = 15,
        *,
        is_recorded: bool = True,
    ) -> Answer:
        """Send a request on a new channel and read the answer.

        The status is 0 if there was none.
        """
        name = self.make_id()
        lines = {
            'Host': HOST,
            'Attempt-Id': name,
            'Api-Key': KEY,
            'Deadline-Ms': str(round(limit_s * 1000)),
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        name = lines['Attempt-Id']
        head = [f'{method} {path} HTTP/1.1']
        head += [f'{key}: {text}' for key, text in lines.items()]
        answer = Answer(0, Headers())
        if is_recorded:
            self.record.write('sent', id=name, node=node.name, path=path)
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    node.address, port
                )
                writer.write('\r\n'.join([*head, '', '']).encode() + body)
                await _read_answer(reader, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            if is_recorded:
                self.record.write('broken', id=name, error=repr(error))
        finally:
            if writer is not None:
                writer.transport.abort()
            if is_recorded:
                self.record.write(
                    'answered',
                    id=name,
                    status=answer.status,
                    whole=answer.is_whole,
                )
        return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    first, headers = await read_head(reader)
    answer.status = int(first[1])
    answer.headers.update(headers)
    if 'chunked' in headers.get('transfer-encoding', ''):
        while part := await read_chunk(reader):
            answer.body += part
    else:
        length = int(headers.get('content-length', 0))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True


def _find_free_prefix() -> str:
    for _ in range(100):
        prefix = f'127.{random.randint(30, 250)}.{random.randint(1, 250)}'
        try:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f'{prefix}.1', STORE_PORT))
        except OSError:
            continue
        return prefix
    raise CouldNotRunError('no free loopback addresses')


def _render(template: str, fields: dict) -> str:
    def find(name: str) -> object:
        found: object = fields
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return found

    def fill_section(match: re.Match) -> str:
        found = find(match[1])
        if found in (None, False, ''):
            return ''
        return match[2].replace('{{.}}', _format(found))

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', fill_section, template, flags=re.S
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda match: _format(find(match[1])), text
    )


def _format(found: object) -> str:
    if found is None:
        return ''
    if isinstance(found, list):
        return ','.join(map(str, found))
    return str(found)


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Make a route of the operator's config."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 15000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'anonymous': False,
        'sticky': kind == 'streaming',
        'resumable': False,
        **changes,
    }


def make_config(routes: list[dict], **changes: object) -> dict:
    """Make the operator's config, with figures of the pages' example."""
    engine = {'slots': 9, 'kv_capacity': 478286, 'stride': 5}
    return {
        'version': 7,
        'routes': routes,
        'services': [
            {
                'name': 'scribe-pool',
                'health_path': '/healthz',
                'max_conns': 370,
                'engine': engine,
            },
            {
                'name': 'ledger-desk',
                'health_path': '/healthz',
                'max_conns': 110,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
        **changes,
    }


@contextlib.asynccontextmanager
async def open_lab(record: Record) -> AsyncIterator[Lab]:
    """Open a deployment and end all its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(pathlib.Path(folder), record)
        try:
            yield lab
        finally:
            lab.end()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for node in lab.nodes:
                    target = pathlib.Path(keep) / node.log.name
                    target.write_bytes(node.log.read_bytes())


def main(
    play: Callable[[Record, bool], Awaitable[bool]],
    folder: pathlib.Path,
    has_trouble: bool,
    limit_s: float = 110,
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if it failed."""
    record = Record(folder / 'record.txt')
    record.write('begun', trouble=has_trouble)

    async def run() -> bool:
        async with asyncio.timeout(limit_s):
            return await play(record, has_trouble)

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        # Python ends with 1 otherwise, which says that the rule was broken.
        record.write('could_not_run', error=repr(error))
        traceback.print_exc()
        return 2
    record.write('ended', broken=is_broken)
    return int(is_broken)
