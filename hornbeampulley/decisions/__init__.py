"""The pure decision core: events in, actions out."""

from hornbeampulley.decisions._baselines import (
    FifoTiers,
    LeastLoad,
    RoundRobin,
)
from hornbeampulley.decisions._core import Core
from hornbeampulley.decisions._messages import (
    Action,
    CacheEvent,
    Configure,
    Event,
    HomeLost,
    Lease,
    LoadReport,
    Outcome,
    Preempt,
    Progress,
    Quarantine,
    Reason,
    Refuse,
    Release,
    Reserve,
    TargetDown,
    TargetsLeaving,
    Tick,
    Warn,
    Withdraw,
)
from hornbeampulley.decisions._policies import Policy, policies
from hornbeampulley.decisions._views import PoolState, TargetView

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
    'TargetDown',
    'TargetView',
    'TargetsLeaving',
    'Tick',
    'Warn',
    'Withdraw',
    'policies',
)
