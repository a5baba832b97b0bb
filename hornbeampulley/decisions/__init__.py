"""The decision core: a pure state machine from events to actions."""

from hornbeampulley.decisions._actions import (
    Action,
    Lease,
    Preempt,
    Reason,
    Refuse,
    Warn,
)
from hornbeampulley.decisions._baselines import (
    FifoTiers,
    LeastLoad,
    RoundRobin,
)
from hornbeampulley.decisions._core import Core
from hornbeampulley.decisions._events import (
    CacheEvent,
    Configure,
    Event,
    HomeLost,
    LoadReport,
    Outcome,
    PartQuarantine,
    Progress,
    Quarantine,
    Release,
    Reserve,
    StartShare,
    TakeoverEnded,
    TargetDown,
    TargetSignals,
    TargetsLeaving,
    Tick,
    Withdraw,
)
from hornbeampulley.decisions._policies import Policy, policies
from hornbeampulley.views import PoolState, TargetView

__all__ = (
    'Action',
    'CacheEvent',
    'Configure',
    'Core',
    'Event',
    'FifoTiers',
    'HomeLost',
    'Lease',
    'LeastLoad',
    'LoadReport',
    'Outcome',
    'PartQuarantine',
    'Policy',
    'PoolState',
    'Preempt',
    'Progress',
    'Quarantine',
    'Reason',
    'Refuse',
    'Release',
    'Reserve',
    'RoundRobin',
    'StartShare',
    'TakeoverEnded',
    'TargetDown',
    'TargetSignals',
    'TargetView',
    'TargetsLeaving',
    'Tick',
    'Warn',
    'Withdraw',
    'policies',
)
