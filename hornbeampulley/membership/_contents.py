"""Compressed texts of tickets, as peers send them."""

import zlib
from typing import Final

from hornbeampulley.errors import WireError
from hornbeampulley.membership._tickets import MAX_TICKET_BYTES, Ticket

_FAST_LEVEL: Final = 1


class ContentCache:
    """Compresses each ticket once, however many peers pull it."""

    def __init__(self) -> None:
        self._compressed: dict[str, tuple[str, bytes]] = {}

    def compress(self, ticket: Ticket) -> bytes:
        """Return the compressed text of a ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.

        Returns
        -------
        bytes
            To be read by ``decompress``.
        """
        digest, content = self._compressed.get(ticket.scope, ('', b''))
        if digest != ticket.digest:
            content = zlib.compress(ticket.text, _FAST_LEVEL)
            self._compressed[ticket.scope] = (ticket.digest, content)
        return content

    def drop(self, scope: str) -> None:
        """Free the memory of a ticket that peers no longer pull.

        Parameters
        ----------
        scope : str
            The ticket's scope.
        """
        self._compressed.pop(scope, None)


def decompress(content: bytes) -> bytes:
    """Return the text of a ticket.

    Parameters
    ----------
    content : bytes
        What ``ContentCache.compress`` returned at a peer.

    Returns
    -------
    bytes
        The text; one byte longer than the limit if it is too long.

    Raises
    ------
    WireError
        If the content is damaged.
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(content, MAX_TICKET_BYTES + 1)
    except zlib.error as error:
        raise WireError(f'a ticket from a peer is damaged: {error}') from error
    if not stream.eof and len(text) <= MAX_TICKET_BYTES:
        raise WireError('a ticket from a peer is cut short')
    return text
