"""What operators say of routes, pools, workspaces and targets."""

from hornbeampulley.routing._caps import CapSettings, TokenBucket
from hornbeampulley.routing._retries import RetryAllowance, RetrySettings
from hornbeampulley.routing._table import (
    CallKind,
    EngineFacts,
    HttpRoute,
    PoolFacts,
    RoutingTable,
    Split,
    UsageCap,
    WorkspaceKeys,
    choose_pool,
)
from hornbeampulley.routing._targets import (
    TargetBook,
    TargetRecord,
    TargetState,
)
from hornbeampulley.routing._translation import (
    form_configuration,
    name_service,
    name_tier,
)

__all__ = (
    'CallKind',
    'CapSettings',
    'EngineFacts',
    'HttpRoute',
    'PoolFacts',
    'RetryAllowance',
    'RetrySettings',
    'RoutingTable',
    'Split',
    'TargetBook',
    'TargetRecord',
    'TargetState',
    'TokenBucket',
    'UsageCap',
    'WorkspaceKeys',
    'choose_pool',
    'form_configuration',
    'name_service',
    'name_tier',
)
