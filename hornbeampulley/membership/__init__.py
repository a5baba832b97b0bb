"""Hosts, ownership of shards, change tickets and their spread."""

from hornbeampulley.membership._assembly import (
    build_configuration,
    check_references,
)
from hornbeampulley.membership._hosts import (
    SCOPE_HOSTS,
    Host,
    HostBook,
    HostList,
    HostListError,
    HostRole,
    HostState,
)
from hornbeampulley.membership._scopes import scopes
from hornbeampulley.membership._store import (
    Applied,
    Conflict,
    Outcome,
    Rejected,
    Same,
    Stale,
    Stamp,
    TicketStore,
    get_stamp,
)
from hornbeampulley.membership._tickets import (
    MAX_TICKET_BYTES,
    Ticket,
    parse_hosts,
    parse_ticket,
)

__all__ = (
    'MAX_TICKET_BYTES',
    'SCOPE_HOSTS',
    'Applied',
    'Conflict',
    'Host',
    'HostBook',
    'HostList',
    'HostListError',
    'HostRole',
    'HostState',
    'Outcome',
    'Rejected',
    'Same',
    'Stale',
    'Stamp',
    'Ticket',
    'TicketStore',
    'build_configuration',
    'check_references',
    'get_stamp',
    'parse_hosts',
    'parse_ticket',
    'scopes',
)
