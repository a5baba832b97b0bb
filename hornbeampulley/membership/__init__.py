"""Hosts, ownership of shards, change tickets and their spread."""

from hornbeampulley.membership._assembly import (
    build_configuration,
    check_references,
)
from hornbeampulley.membership._directory import (
    Directory,
    DirectoryNews,
    HostRecord,
    Member,
    Pulse,
    Role,
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
from hornbeampulley.membership._liveness import (
    FailureDetector,
    LivenessSettings,
    PeerState,
    StateChange,
)
from hornbeampulley.membership._ownership import (
    Acquired,
    HandedOver,
    Ownership,
    Transfer,
    choose_scheduler,
)
from hornbeampulley.membership._rendezvous import (
    MAX_SHARD_TARGETS,
    Shard,
    cut_shards,
    rank_owners,
)
from hornbeampulley.membership._scopes import (
    scopes,
)
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
    'Role',
    'Pulse',
    'Member',
    'HostRecord',
    'DirectoryNews',
    'Directory',
    'MAX_SHARD_TARGETS',
    'MAX_TICKET_BYTES',
    'SCOPE_HOSTS',
    'Acquired',
    'Applied',
    'Conflict',
    'FailureDetector',
    'HandedOver',
    'Host',
    'HostBook',
    'HostList',
    'HostListError',
    'HostRole',
    'HostState',
    'LivenessSettings',
    'Outcome',
    'Ownership',
    'PeerState',
    'Rejected',
    'Same',
    'Shard',
    'Stale',
    'Stamp',
    'StateChange',
    'Ticket',
    'TicketStore',
    'Transfer',
    'build_configuration',
    'check_references',
    'choose_scheduler',
    'cut_shards',
    'get_stamp',
    'parse_hosts',
    'parse_ticket',
    'rank_owners',
    'scopes',
)
