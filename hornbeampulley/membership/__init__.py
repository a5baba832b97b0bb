"""Host directory, shard ownership, change tickets and their gossip."""

from typing import TYPE_CHECKING

from hornbeampulley._lazy import LazyNames

if TYPE_CHECKING:
    from hornbeampulley.membership._assembly import (
        build_configuration,
        check_references,
        list_scopes,
    )
    from hornbeampulley.membership._buckets import (
        TokenBucket,
    )
    from hornbeampulley.membership._conditions import (
        HostCondition,
        HostNews,
    )
    from hornbeampulley.membership._directory import (
        Directory,
        DirectoryUpdate,
        HostRecord,
        Member,
        Pulse,
        Role,
    )
    from hornbeampulley.membership._gossip_settings import (
        GossipSettings,
    )
    from hornbeampulley.membership._hosts import (
        SCOPE_HOSTS,
        Host,
        HostList,
        HostListError,
        HostRole,
        HostState,
        HostTracker,
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
        GossipEvent,
        GossipOutput,
        GossipTick,
        PeerMessage,
        Read,
        ReadAnswer,
        ReadFailed,
        ReadUnchanged,
        Received,
        Report,
        Send,
        SetPeers,
        TicketBody,
        TicketNotice,
        TicketPull,
        TicketSummary,
    )
    from hornbeampulley.membership._orders import (
        DeferredOrder,
        LoadModel,
        OrderPlanner,
        OrderSettings,
        TargetReport,
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
    from hornbeampulley.membership._probing import (
        AskToProbe,
        Prober,
        ProbeStep,
        SendProbe,
        Unanswered,
    )
    from hornbeampulley.membership._reading import (
        ReadingSettings,
    )
    from hornbeampulley.membership._rendezvous import (
        MAX_SHARD_TARGETS,
        Ranking,
        Shard,
        rank_owners,
        split_into_shards,
    )
    from hornbeampulley.membership._roster import (
        SUSPICION_MS,
        Roster,
    )
    from hornbeampulley.membership._scopes import (
        scopes,
    )
    from hornbeampulley.membership._store import (
        TicketStore,
    )
    from hornbeampulley.membership._ticket_gossip import (
        TicketGossip,
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
    'DirectoryUpdate',
    'Directory',
    'MAX_SHARD_TARGETS',
    'MAX_TICKET_BYTES',
    'SCOPE_HOSTS',
    'SUSPICION_MS',
    'AskToProbe',
    'HostCondition',
    'HostNews',
    'ProbeStep',
    'Prober',
    'Roster',
    'SendProbe',
    'Unanswered',
    'Acquired',
    'Applied',
    'TicketBody',
    'Conflict',
    'DeferredOrder',
    'FailureDetector',
    'GossipEvent',
    'GossipOutput',
    'GossipSettings',
    'GossipTick',
    'HandedOver',
    'Host',
    'HostList',
    'HostListError',
    'HostRole',
    'HostState',
    'HostTracker',
    'JoinSettings',
    'LivenessSettings',
    'LoadModel',
    'TicketNotice',
    'OrderPlanner',
    'OrderSettings',
    'Outcome',
    'Ownership',
    'Peer',
    'PeerMessage',
    'PeerPicker',
    'PeerState',
    'TicketPull',
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
    'Stale',
    'Stamp',
    'StateChange',
    'TicketSummary',
    'TargetReport',
    'Ticket',
    'TicketGossip',
    'TicketStore',
    'TokenBucket',
    'Transfer',
    'build_configuration',
    'check_references',
    'choose_readers',
    'split_into_shards',
    'get_stamp',
    'list_scopes',
    'parse_document',
    'parse_hosts',
    'parse_ticket',
    'rank_owners',
    'scopes',
)

__getattr__ = LazyNames(
    __name__,
    {
        '_assembly': (
            'build_configuration',
            'check_references',
            'list_scopes',
        ),
        '_buckets': ('TokenBucket',),
        '_conditions': (
            'HostCondition',
            'HostNews',
        ),
        '_directory': (
            'Directory',
            'DirectoryUpdate',
            'HostRecord',
            'Member',
            'Pulse',
            'Role',
        ),
        '_gossip_settings': ('GossipSettings',),
        '_hosts': (
            'SCOPE_HOSTS',
            'Host',
            'HostList',
            'HostListError',
            'HostRole',
            'HostState',
            'HostTracker',
        ),
        '_joining': ('JoinSettings',),
        '_liveness': (
            'FailureDetector',
            'LivenessSettings',
            'PeerState',
            'StateChange',
        ),
        '_messages': (
            'GossipEvent',
            'GossipOutput',
            'GossipTick',
            'PeerMessage',
            'Read',
            'ReadAnswer',
            'ReadFailed',
            'ReadUnchanged',
            'Received',
            'Report',
            'Send',
            'SetPeers',
            'TicketBody',
            'TicketNotice',
            'TicketPull',
            'TicketSummary',
        ),
        '_orders': (
            'DeferredOrder',
            'LoadModel',
            'OrderPlanner',
            'OrderSettings',
            'TargetReport',
        ),
        '_outcomes': (
            'Applied',
            'Conflict',
            'Outcome',
            'Rejected',
            'Same',
            'Stale',
            'Stamp',
            'get_stamp',
        ),
        '_ownership': (
            'Acquired',
            'HandedOver',
            'Ownership',
            'SchedulerChooser',
            'Transfer',
        ),
        '_peers': (
            'Peer',
            'PeerPicker',
            'choose_readers',
        ),
        '_probing': (
            'AskToProbe',
            'Prober',
            'ProbeStep',
            'SendProbe',
            'Unanswered',
        ),
        '_reading': ('ReadingSettings',),
        '_rendezvous': (
            'MAX_SHARD_TARGETS',
            'Ranking',
            'Shard',
            'rank_owners',
            'split_into_shards',
        ),
        '_roster': (
            'SUSPICION_MS',
            'Roster',
        ),
        '_scopes': ('scopes',),
        '_store': ('TicketStore',),
        '_ticket_gossip': ('TicketGossip',),
        '_tickets': (
            'MAX_TICKET_BYTES',
            'Ticket',
            'parse_document',
            'parse_hosts',
            'parse_ticket',
        ),
    },
)
