"""Converts the origins of streams to and from messages for peers."""

from collections.abc import Iterable

from hornbeampulley.node._stream_origins import StreamOrigin
from hornbeampulley.wire.generated.peer import ttypes


def write_stream_origins(
    origins: Iterable[StreamOrigin],
) -> ttypes.StreamOrigins:
    """Convert origins to a message.

    Parameters
    ----------
    origins : iterable of StreamOrigin
        Streams and their software versions.

    Returns
    -------
    ttypes.StreamOrigins
        Message to send.
    """
    return ttypes.StreamOrigins(
        [
            ttypes.StreamOrigin(one.stream, one.software, round(one.left_ms))
            for one in origins
        ]
    )


def read_stream_origins(message: ttypes.StreamOrigins) -> list[StreamOrigin]:
    """Convert a message to origins.

    Parameters
    ----------
    message : ttypes.StreamOrigins
        Received message.

    Returns
    -------
    list of StreamOrigin
        Streams and their software versions.
    """
    return [
        StreamOrigin(one.stream, one.software, float(one.left_ms))
        for one in message.origins
    ]
