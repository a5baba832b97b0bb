"""Memory for responses that are held until they are complete."""

from typing import Final

from hornbeampulley.http1._responses import ResponseBrokenError

# A response up to this size is held in any case.
SMALL_BYTES: Final = 65_536
UNLIMITED: Final = 1 << 62


class BuffersFullError(ResponseBrokenError):
    """A response is not read on, as too much is held already."""


class BufferBudget:
    """Bytes of responses that a process holds at the same time.

    Parameters
    ----------
    max_bytes : int
        Bytes that may be held.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held now.
    """

    def __init__(self, max_bytes: int = UNLIMITED) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes

    def open(self) -> 'Buffer':
        """Open a buffer for the responses of one request.

        Returns
        -------
        Buffer
            An empty buffer.
        """
        return Buffer(self)

    def has_room(self, more_bytes: int) -> bool:
        """Tell whether more bytes may be held.

        Parameters
        ----------
        more_bytes : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the budget allows it.
        """
        return self.held_bytes + more_bytes <= self._max_bytes


class Buffer:
    """The part of a budget that one request uses.

    Parameters
    ----------
    budget : BufferBudget, optional
        Budget of the process; without a limit if not given.
    """

    def __init__(self, budget: BufferBudget | None = None) -> None:
        self._budget = budget or BufferBudget()
        self._bytes = 0

    def resize(self, size: int) -> None:
        """Set how many bytes are held.

        Parameters
        ----------
        size : int
            Number of bytes.

        Raises
        ------
        BuffersFullError
            If the budget does not allow more and the size is not small.
        """
        more = size - self._bytes
        if more > 0 and size > SMALL_BYTES and not self._budget.has_room(more):
            raise BuffersFullError(
                f'responses of {self._budget.held_bytes} bytes are held, so '
                f'that one of over {size} bytes is not read on; look for '
                'targets whose answers do not end, or give the host more memory',
            )
        self._bytes = size
        self._budget.held_bytes += more

    def close(self) -> None:
        """Give back all bytes."""
        self.resize(0)
