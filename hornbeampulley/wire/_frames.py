"""Frames: a 4-byte length, then a thrift struct in the compact protocol."""

import struct
from collections.abc import Iterable, Iterator
from typing import Any, Final

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAccelerated,
    TCompactProtocolAcceleratedFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

from hornbeampulley.errors import WireError
from hornbeampulley.wire.generated.peer import ttypes

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
_LENGTH: Final = struct.Struct('>I')

# Maps the type of a message to its field in the union ``Message``.
_FIELD_OF_TYPE: Final = {
    specification[3][0]: specification[2]
    for specification in ttypes.Message.thrift_spec
    if specification is not None
}


def encode_frame(messages: Iterable[Any], hlc: int = 0) -> bytes:
    """Encode messages as one frame.

    Parameters
    ----------
    messages : iterable of thrift structs
        Each of a type that is a member of the union ``Message``.
    hlc : int
        Packed timestamp of the sender's hybrid logical clock; 0 if it has
        none.

    Returns
    -------
    bytes
        The frame: length and body.

    Raises
    ------
    WireError
        If the frame would be larger than `MAX_FRAME_BYTES`.
    """
    wrapped = [
        ttypes.Message(**{_FIELD_OF_TYPE[type(message)]: message})
        for message in messages
    ]
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAcceleratedFactory().getProtocol(buffer)
    ttypes.Frame(hlc, wrapped).write(protocol)
    body = buffer.getvalue()
    if len(body) > MAX_FRAME_BYTES:
        raise WireError(
            f'a frame of {len(body)} bytes is over the limit of '
            f'{MAX_FRAME_BYTES}; send fewer messages in a frame',
        )
    return _LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> ttypes.Frame:
    """Decode the body of a frame.

    Parameters
    ----------
    body : bytes
        The bytes after the length.

    Returns
    -------
    Frame
        Its ``messages`` are the structs themselves, without the union.

    Raises
    ------
    WireError
        If the body is not a valid frame.
    """
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(body),
        string_length_limit=len(body),
        container_length_limit=len(body),
    )
    frame = ttypes.Frame()
    try:
        frame.read(protocol)
    # The decoder raises many types of errors on bytes that are not thrift.
    except Exception as error:
        raise WireError(
            'a peer sent a frame that is not thrift; check that only '
            f'processes of one version use this port: {error!r}',
        ) from error
    frame.messages = [_unwrap(message) for message in frame.messages or ()]
    return frame


def _unwrap(message: Any) -> Any:
    for name in message.__slots__:
        inner = getattr(message, name)
        if inner is not None:
            return inner
    raise WireError(
        'a peer sent a message of an unknown type; restart it with the '
        'version that runs here',
    )


class FrameDecoder:
    """Splits a byte stream into frames; buffers at most one partial frame.

    Parameters
    ----------
    max_bytes : int
        Longest body of a frame.

    Attributes
    ----------
    max_bytes : int
        Longest body of the next frame.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[ttypes.Frame]:
        """Add received bytes and yield the frames that they complete.

        Parameters
        ----------
        received : bytes
            The next bytes of the stream.

        Yields
        ------
        Frame
            The decoded frames, in the order sent.

        Raises
        ------
        WireError
            If a frame is too large or malformed; the stream must be closed.
        """
        self._buffer += received
        while len(self._buffer) >= _LENGTH.size:
            end = _LENGTH.size + self._read_length()
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield decode_body(body)

    def _read_length(self) -> int:
        length = _LENGTH.unpack_from(self._buffer)[0]
        if length > self.max_bytes:
            raise WireError(
                f'a peer announced a frame of {length} bytes, over the limit '
                f'of {self.max_bytes}; it is not a peer of this version',
            )
        return length
