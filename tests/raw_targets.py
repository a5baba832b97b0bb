"""What targets of tests that answer raw bytes have in common."""

REPORT = b'GET /-/report '
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


async def receive(stream):
    """Read the next request of a caller; nothing at the end of the connection.

    Questions for the start of the target are not found, and not returned.
    """
    request = REPORT
    while request.startswith(REPORT):
        request = b''
        while b'\r\n\r\n' not in request:
            part = await stream.receive_some()
            if not part:
                return b''
            request += part
        if request.startswith(REPORT):
            await stream.send_all(NOT_FOUND)
    return request
