"""Errors raised by the HTTP client and server."""

from hornbeampulley.http1._buffers import BuffersFullError
from hornbeampulley.http1._connections import NotConnectedError
from hornbeampulley.http1._requests import BadRequestError
from hornbeampulley.http1._responses import ResponseBrokenError

__all__ = (
    'BadRequestError',
    'BuffersFullError',
    'NotConnectedError',
    'ResponseBrokenError',
)
