"""The protocol between the system's own processes."""

from hornbeampulley.wire._conversions import (
    HASH_MASK,
    read_progress,
    read_release,
    read_reserve,
    write_action,
)
from hornbeampulley.wire._frames import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    decode_body,
    encode_frame,
)
from hornbeampulley.wire._links import (
    HEARTBEAT_MS,
    SILENCE_MS,
    Link,
    open_stream,
    serve_links,
)

__all__ = (
    'HASH_MASK',
    'HEARTBEAT_MS',
    'MAX_FRAME_BYTES',
    'SILENCE_MS',
    'FrameDecoder',
    'Link',
    'decode_body',
    'encode_frame',
    'open_stream',
    'read_progress',
    'read_release',
    'read_reserve',
    'serve_links',
    'write_action',
)
