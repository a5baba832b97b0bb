"""Hosts, ownership of shards, change tickets and their spread."""

from hornbeampulley.membership._assembly import (
    build_configuration,
    check_references,
    list_scopes,
)
from hornbeampulley.membership._buckets import (
    TokenBucket,
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
from hornbeampulley.membership._joining import (
    JoinSettings,
)
from hornbeampulley.membership._liveness import (
    FailureDetector,
    LivenessSettings,
    PeerState,
    StateChange,
)
from hornbeampulley.membership._messages import (
    Body,
    Notice,
    PeerMessage,
    Pull,
    Read,
    ReadAnswer,
    ReadFailed,
    ReadUnchanged,
    Received,
    Report,
    Send,
    SetPeers,
    SpreadEvent,
    SpreadOutput,
    SpreadTick,
    Summary,
)
from hornbeampulley.membership._orders import (
    LoadModel,
    OrderPlanner,
    OrderSettings,
    TargetReport,
    Withheld,
)
from hornbeampulley.membership._outcomes import (
    Applied,
    Conflict,
    Outcome,
    Rejected,
    Same,
    Stale,
    Stamp,
    get_stamp,
)
from hornbeampulley.membership._ownership import (
    Acquired,
    HandedOver,
    Ownership,
    SchedulerChooser,
    Transfer,
)
from hornbeampulley.membership._peers import (
    Peer,
    PeerPicker,
    choose_readers,
)
from hornbeampulley.membership._reading import (
    ReadingSettings,
)
from hornbeampulley.membership._rendezvous import (
    MAX_SHARD_TARGETS,
    Ranking,
    Shard,
    cut_shards,
    rank_owners,
)
from hornbeampulley.membership._scopes import (
    scopes,
)
from hornbeampulley.membership._spread import (
    Spreader,
)
from hornbeampulley.membership._spread_settings import (
    SpreadSettings,
)
from hornbeampulley.membership._store import (
    TicketStore,
)
from hornbeampulley.membership._tickets import (
    MAX_TICKET_BYTES,
    Ticket,
    parse_document,
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
    'Body',
    'Conflict',
    'FailureDetector',
    'HandedOver',
    'Host',
    'HostBook',
    'HostList',
    'HostListError',
    'HostRole',
    'HostState',
    'JoinSettings',
    'LivenessSettings',
    'LoadModel',
    'Notice',
    'OrderPlanner',
    'OrderSettings',
    'Outcome',
    'Ownership',
    'Peer',
    'PeerPicker',
    'PeerMessage',
    'PeerState',
    'Pull',
    'Ranking',
    'Read',
    'ReadAnswer',
    'ReadFailed',
    'ReadUnchanged',
    'ReadingSettings',
    'Received',
    'Rejected',
    'Report',
    'Same',
    'SchedulerChooser',
    'Send',
    'SetPeers',
    'Shard',
    'SpreadEvent',
    'SpreadOutput',
    'SpreadSettings',
    'SpreadTick',
    'Spreader',
    'Stale',
    'Stamp',
    'StateChange',
    'Summary',
    'TargetReport',
    'Ticket',
    'TicketStore',
    'TokenBucket',
    'Transfer',
    'Withheld',
    'build_configuration',
    'check_references',
    'choose_readers',
    'cut_shards',
    'get_stamp',
    'list_scopes',
    'parse_document',
    'parse_hosts',
    'parse_ticket',
    'rank_owners',
    'scopes',
)
