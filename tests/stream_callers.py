"""A caller of streams, which keeps what came of one that breaks off."""

import math
from typing import Final

import trio

from hornbeampulley.http1 import encode_request
from tests.nodes import CALLER_PORT, is_answer_whole, make_request
from tests.stream_checks import EVENT_END, decode_chunks

LONGEST_S: Final = 6
PAUSE_S: Final = 0.05


async def read_stream(address, request_id, *, most_events=math.inf, **headers):
    """Ask an address for the stream; close it after a number of events.

    Parameters
    ----------
    address : str
        Address of a node.
    request_id : bytes
        Id of the request.
    most_events : float
        Number of whole events after which the caller closes its connection.
    headers : dict of str
        Further headers of the request.

    Returns
    -------
    tuple of (int, bytes)
        Status, 0 if there was none, and the body as far as it came.
    """
    request = make_request('/stream/a', b'x', request_id, headers)
    received = b''
    try:
        stream = await trio.open_tcp_stream(address, CALLER_PORT)
    except OSError:
        # The node is down; a real caller would use another one.
        await trio.sleep(PAUSE_S)
        return 0, b''
    with trio.move_on_after(LONGEST_S):
        async with stream:
            try:
                await stream.send_all(encode_request(request))
                while not _is_read(received, most_events):
                    part = await stream.receive_some()
                    if not part:
                        break
                    received += part
            except trio.BrokenResourceError:
                # What came before the reset counts.
                pass
    head, found, body = received.partition(b'\r\n\r\n')
    return (int(head.split()[1]), body) if found else (0, b'')


def _is_read(received, most_events):
    body = received.partition(b'\r\n\r\n')[2]
    events = decode_chunks(body).content.count(EVENT_END)
    return events >= most_events or is_answer_whole(received)
