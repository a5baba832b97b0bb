"""Calls ASGI applications directly, without a network connection."""

import dataclasses
import json

import trio


@dataclasses.dataclass
class Answer:
    """The complete response of an application."""

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        return json.loads(self.body)

    @property
    def lines(self):
        return [json.loads(line) for line in self.body.splitlines()]


class Call:
    """One request, whose client may disconnect before the response."""

    def __init__(self, application, method, target, body=b'', **headers):
        path, _, query = target.partition('?')
        self.application = application
        self.scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': query.encode(),
            'headers': [
                (name.replace('_', '-').encode(), text.encode())
                for name, text in headers.items()
            ],
            'client': ('127.0.0.1', id(self)),
        }
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.inbox = [{'type': 'http.request', 'body': body}]
        self.messages = []
        self.left = trio.Event()

    async def run(self):
        await self.application(self.scope, self.receive, self.send)

    async def receive(self):
        if self.inbox:
            return self.inbox.pop()
        await self.left.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message):
        self.messages.append(message)
        await trio.lowlevel.checkpoint()

    @property
    def answer(self):
        start = self.messages[0]
        headers = {
            name.decode(): text.decode() for name, text in start['headers']
        }
        body = b''.join(message['body'] for message in self.messages[1:])
        return Answer(start['status'], headers, body)


async def call(application, method, target, body=b'', **headers):
    request = Call(application, method, target, body, **headers)
    await request.run()
    return request.answer
