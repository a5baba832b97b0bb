"""Turns for requests that take much processor time to receive.

A request in chunks or packets of a few bytes costs hundreds of times as much per
byte as others. Only one part of such requests is parsed in each turn of the event
loop, so that a crowd of them delays others by one part, not by all.
"""

from typing import Final

import trio

# Bytes of such a request that are parsed at a time.
PART_BYTES: Final = 4096


class ParsingTurns:
    """Lets one costly part be parsed in each turn of the event loop.

    Parameters
    ----------
    part_bytes : int
        Bytes of such a request that are parsed at a time.

    Attributes
    ----------
    part_bytes : int
        Bytes of such a request that are parsed at a time.
    waits : int
        Number of parts that had to wait for a turn.
    """

    def __init__(self, part_bytes: int = PART_BYTES) -> None:
        self.part_bytes = part_bytes
        self.waits = 0
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, first come first served."""
        self.waits += 1
        # One task acquires it in each turn of the event loop.
        async with self._lock:
            return
