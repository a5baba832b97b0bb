"""Hosts, ownership of shards, change tickets and their spread."""

from hornbeampulley.membership._assembly import (
    build_configuration,
    check_references,
)
from hornbeampulley.membership._scopes import scopes
from hornbeampulley.membership._tickets import (
    MAX_TICKET_BYTES,
    Ticket,
    parse_ticket,
)

__all__ = (
    'MAX_TICKET_BYTES',
    'Ticket',
    'build_configuration',
    'check_references',
    'parse_ticket',
    'scopes',
)
