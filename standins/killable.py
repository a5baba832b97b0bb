"""Stand-in for a users' server as a process of its own, which can be killed.

Run as ``python -m standins.killable ADDRESS PORT EVENTS PAUSE_MS FRAMING [NAME
VERSION]``, with the framing ``chunks`` or ``close``. With a name it rejects what
is meant for another server, and its events bear the software version. What the
kernel tells the clients of a killed process can't be shown by a server in the
process of a test.
"""

import dataclasses
import functools
import json
import sys
import time
from typing import Final

import trio

REPORT_PATH: Final = b'/-/report'
RECEIVE_BYTES: Final = 65_536
_HEAD_END: Final = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a server answers.

    Attributes
    ----------
    events : int
        Number of events of a stream.
    pause_ms : float
        Delay before each event and before a plain answer, in ms.
    is_chunked : bool
        Whether answers have framing; they end with their connection otherwise.
    born_ms : int
        Start of the process, in ms since 1970.
    name : bytes
        Instance id; empty if it answers for any.
    mark : bytes
        Text in each event.
    """

    events: int
    pause_ms: float
    is_chunked: bool
    born_ms: int
    name: bytes = b''
    mark: bytes = b''


async def answer(plan: Plan, stream: trio.SocketStream) -> None:
    """Answer the requests of one connection.

    Parameters
    ----------
    plan : Plan
        How to answer.
    stream : trio.SocketStream
        Connection of a client.
    """
    received = b''
    while True:
        while not _is_request(received):
            part = await stream.receive_some(RECEIVE_BYTES)
            if not part:
                return
            received += part
        head, _, received = received.partition(_HEAD_END)
        headers = _read_headers(head)
        received = received[_read_length(headers) :]
        path = head.split(b' ', 2)[1]
        expected = headers.get(b'expect-instance', plan.name)
        if plan.name and expected != plan.name:
            await _reject(stream, headers)
            continue
        if path.startswith(REPORT_PATH):
            await _send_report(plan, stream)
        elif path.startswith(b'/stream/'):
            await _send_stream(plan, stream, headers)
        else:
            await _send_plain(plan, stream, headers)
        if not plan.is_chunked and not path.startswith(REPORT_PATH):
            return


def _is_request(received: bytes) -> bool:
    """Tell whether a whole request has come."""
    head, found, body = received.partition(_HEAD_END)
    return bool(found) and len(body) >= _read_length(_read_headers(head))


def _read_length(headers: dict[bytes, bytes]) -> int:
    return int(headers.get(b'content-length', b'0'))


def _read_headers(head: bytes) -> dict[bytes, bytes]:
    lines = [line.partition(b':') for line in head.split(b'\r\n')[1:]]
    return {name.lower(): text.strip() for name, _, text in lines}


async def _send_report(plan: Plan, stream: trio.SocketStream) -> None:
    body = json.dumps({'stage': 'unified', 'born': plan.born_ms}).encode()
    await stream.send_all(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body)
    )


async def _reject(
    stream: trio.SocketStream, headers: dict[bytes, bytes]
) -> None:
    """Answer a request that is meant for another server."""
    await stream.send_all(
        b'HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %b\r\n'
        b'Content-Length: 0\r\n\r\n' % headers.get(b'attempt-id', b'')
    )


async def _send_plain(
    plan: Plan, stream: trio.SocketStream, headers: dict[bytes, bytes]
) -> None:
    """Send a plain answer in two halves with a pause between them."""
    head = _make_head(plan, headers, b'text/plain')
    await stream.send_all(head + _encode(plan, b'first half, '))
    await trio.sleep(plan.pause_ms / 1000)
    await stream.send_all(_encode(plan, b'second half') + _encode(plan, b''))


async def _send_stream(
    plan: Plan, stream: trio.SocketStream, headers: dict[bytes, bytes]
) -> None:
    await stream.send_all(_make_head(plan, headers, b'text/event-stream'))
    last = int(headers.get(b'last-event-id', b'0'))
    for number in range(last + 1, plan.events + 1):
        await trio.sleep(plan.pause_ms / 1000)
        event = b'id: %d\ndata: t%d%b\n\n' % (number, number, plan.mark)
        await stream.send_all(_encode(plan, event))
    await stream.send_all(_encode(plan, b''))


def _make_head(
    plan: Plan, headers: dict[bytes, bytes], content_type: bytes
) -> bytes:
    lines = [
        b'HTTP/1.1 200 OK',
        b'Attempt-Id: %b' % headers.get(b'attempt-id', b''),
        b'Server-Seal: killable',
        b'Content-Type: %b' % content_type,
    ]
    if plan.is_chunked:
        lines.append(b'Transfer-Encoding: chunked')
    return b'\r\n'.join(lines) + _HEAD_END


def _encode(plan: Plan, part: bytes) -> bytes:
    if not plan.is_chunked:
        return part
    return b'%x\r\n%b\r\n' % (len(part), part)


async def serve(address: str, port: int, plan: Plan) -> None:
    """Serve until cancelled; print a line once connections are accepted.

    Parameters
    ----------
    address : str
        Address to listen on.
    port : int
        Port to listen on.
    plan : Plan
        How to answer.
    """

    async def handle(stream: trio.SocketStream) -> None:  # noqa: WPS430
        try:
            await answer(plan, stream)
        except trio.BrokenResourceError as error:
            print(f'a client has left: {error!r}', file=sys.stderr)

    async with trio.open_nursery() as nursery:
        listen = functools.partial(trio.serve_tcp, handle, port, host=address)
        await nursery.start(listen)
        print(json.dumps({'born': plan.born_ms}), flush=True)


def main() -> None:
    """Run the server that the command line describes."""
    address, port, *answers = sys.argv[1:]
    events, pause_ms, framing, *identity = answers
    name, version = identity or ('', '')
    plan = Plan(
        int(events),
        float(pause_ms),
        framing == 'chunks',
        time.time_ns() // 1_000_000,
        name.encode(),
        f'@{version}'.encode() if version else b'',
    )
    trio.run(serve, address, int(port), plan)


if __name__ == '__main__':
    main()
