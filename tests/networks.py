"""In-memory network with scripted servers, for httpcore."""

import json

import httpcore
import trio
import trio.testing


class MemoryStream(httpcore.AsyncNetworkStream):
    """Client side of an in-memory connection."""

    def __init__(self, stream):
        self._stream = stream

    async def read(self, max_bytes, timeout=None):
        with trio.move_on_after(timeout or float('inf')):
            return await self._receive(max_bytes)
        raise httpcore.ReadTimeout

    async def write(self, buffer, timeout=None):
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return None

    async def _receive(self, max_bytes):
        try:
            return await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError from error


class Connection:
    """Server side of a connection; parses requests and sends responses."""

    def __init__(self, stream):
        self._stream = stream
        self.method = self.path = ''
        self.headers = {}
        self.body = b''

    @property
    def request_id(self):
        return self.path.rpartition('/')[2]

    async def receive(self):
        received = b''
        while b'\r\n\r\n' not in received:
            chunk = await self._stream.receive_some()
            if not chunk:
                return False
            received += chunk
        head, _, self.body = received.partition(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')
        self.method, self.path, _ = first.split()
        pairs = (line.split(': ', 1) for line in lines)
        self.headers = {name.lower(): text for name, text in pairs}
        while len(self.body) < int(self.headers.get('content-length', 0)):
            self.body += await self._stream.receive_some()
        return True

    async def start(self, status=200, **headers):
        headers = {'transfer-encoding': 'chunked'} | headers
        lines = [f'HTTP/1.1 {status} X']
        lines += [
            f'{name.replace("_", "-")}: {headers[name]}' for name in headers
        ]
        await self._stream.send_all('\r\n'.join([*lines, '\r\n']).encode())

    async def write(self, chunk):
        await self._stream.send_all(b'%x\r\n%b\r\n' % (len(chunk), chunk))

    async def end(self):
        await self._stream.send_all(b'0\r\n\r\n')

    async def send_json(self, document, status=200, **headers):
        await self.start(status, **headers)
        await self.write(json.dumps(document).encode())
        await self.end()

    async def send_problem(self, status, title, ran, **members):
        document = {'title': title, 'ran': ran, 'detail': 'x', **members}
        kind = 'application/problem+json'
        await self.send_json(document, status, content_type=kind)

    async def stay_silent(self):
        await trio.sleep_forever()


class MemoryNetwork(httpcore.AsyncNetworkBackend):
    """Maps host names to server scripts.

    Connections to a host without a script are refused.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.scripts = {}
        self.opened = 0
        self.connections = []
        self.silent = set()

    async def connect_tcp(self, host, port, *_, **__):
        await trio.lowlevel.checkpoint()
        if host not in self.scripts:
            raise httpcore.ConnectError
        self.opened += 1
        client, server = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, host, server)
        return MemoryStream(client)

    async def _serve(self, host, stream):
        connection = Connection(stream)
        self.connections.append(connection)
        try:
            while await connection.receive():
                if connection in self.silent:
                    await connection.stay_silent()
                if await self.scripts[host](connection) is False:
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await stream.aclose()
