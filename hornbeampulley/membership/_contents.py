"""Compresses and decompresses the texts of tickets sent to peers."""

import zlib
from typing import Final

from hornbeampulley.errors import WireError
from hornbeampulley.membership._tickets import MAX_TICKET_BYTES, Ticket

_FAST_LEVEL: Final = 1


class ContentCache:
    """Caches the compressed text of each ticket that peers pull."""

    def __init__(self) -> None:
        self._compressed: dict[str, tuple[str, bytes]] = {}

    def compress(self, ticket: Ticket) -> bytes:
        """Return the compressed text of a ticket.

        Parameters
        ----------
        ticket : Ticket
            Its text is compressed once, however many peers pull it.

        Returns
        -------
        bytes
            A zlib stream, to be read by ``decompress``.
        """
        digest, content = self._compressed.get(ticket.scope, ('', b''))
        if digest != ticket.digest:
            content = zlib.compress(ticket.text, _FAST_LEVEL)
            self._compressed[ticket.scope] = (ticket.digest, content)
        return content

    def drop(self, scope: str) -> None:
        """Remove a ticket that peers no longer pull from the cache.

        Parameters
        ----------
        scope : str
            The ticket's scope.
        """
        self._compressed.pop(scope, None)


def decompress(content: bytes) -> bytes:
    """Decompress the text of a ticket.

    Parameters
    ----------
    content : bytes
        The result of ``ContentCache.compress`` at a peer.

    Returns
    -------
    bytes
        The text. A longer one is cut off one byte past `MAX_TICKET_BYTES`, so
        that the parser rejects it without all of it being decompressed.

    Raises
    ------
    WireError
        If the content is not a complete zlib stream.
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(content, MAX_TICKET_BYTES + 1)
    except zlib.error as error:
        raise WireError(
            f'a ticket from a peer cannot be decompressed: {error}',
        ) from error
    if not stream.eof and len(text) <= MAX_TICKET_BYTES:
        raise WireError('a ticket from a peer is truncated')
    return text
