"""Routing configuration: routes, pools, workspaces, caps and targets."""

from hornbeampulley.routing._caps import CapSettings, TokenBucket, take_part
from hornbeampulley.routing._retries import HostRetryBudget, RetrySettings
from hornbeampulley.routing._table import (
    CallKind,
    EngineSpec,
    HttpRoute,
    PoolSpec,
    RoutingTable,
    Split,
    UsageCap,
    WorkspaceKeys,
    choose_pool,
)
from hornbeampulley.routing._targets import (
    RunStamp,
    TargetRecord,
    TargetState,
    TargetTable,
)
from hornbeampulley.routing._translation import (
    BLOCK_TOKENS,
    find_pool,
    get_service_name,
    get_tier_name,
    make_configuration,
)

__all__ = (
    'BLOCK_TOKENS',
    'CallKind',
    'CapSettings',
    'EngineSpec',
    'HostRetryBudget',
    'HttpRoute',
    'PoolSpec',
    'RetrySettings',
    'RoutingTable',
    'Split',
    'RunStamp',
    'TargetRecord',
    'TargetState',
    'TargetTable',
    'TokenBucket',
    'UsageCap',
    'WorkspaceKeys',
    'choose_pool',
    'find_pool',
    'get_service_name',
    'get_tier_name',
    'make_configuration',
    'take_part',
)
