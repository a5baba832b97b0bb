"""HTTP/1.1 server and client on trio sockets.

The server accepts the requests of callers; the client sends requests to
targets.
"""

from hornbeampulley.http1._buffers import Buffer, BufferBudget
from hornbeampulley.http1._clients import CONNECTION_BYTES, Clients
from hornbeampulley.http1._connection_pool import ConnectionPool
from hornbeampulley.http1._connections import (
    Connection,
    ConnectionSettings,
    exchange,
    open_connection,
)
from hornbeampulley.http1._listening import open_listeners, serve_http
from hornbeampulley.http1._messages import (
    Header,
    Request,
    ResponseHead,
    drop_connection_headers,
    encode_request,
    find_header,
)
from hornbeampulley.http1._options import Handler, ServerOptions
from hornbeampulley.http1._replies import Reply
from hornbeampulley.http1._requests import MessageLimits, RequestParser
from hornbeampulley.http1._responses import ResponseParser
from hornbeampulley.http1._server import CallerConnection
from hornbeampulley.http1._sockets import set_receive_buffer
from hornbeampulley.http1._turns import ParsingTurns

__all__ = (
    'CONNECTION_BYTES',
    'Buffer',
    'BufferBudget',
    'CallerConnection',
    'Clients',
    'Connection',
    'ConnectionPool',
    'ConnectionSettings',
    'Handler',
    'Header',
    'MessageLimits',
    'ParsingTurns',
    'Reply',
    'Request',
    'RequestParser',
    'ResponseHead',
    'ResponseParser',
    'ServerOptions',
    'drop_connection_headers',
    'encode_request',
    'exchange',
    'find_header',
    'open_connection',
    'open_listeners',
    'serve_http',
    'set_receive_buffer',
)
