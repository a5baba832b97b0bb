"""Request ids, id leases, dispatch permits and execution tracking."""

from hornbeampulley.identity._execution_tracker import ExecutionTracker
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._leases import LedgerLimits
from hornbeampulley.identity._ledger import Ledger
from hornbeampulley.identity._permits import DispatchPermit
from hornbeampulley.identity._sessions import (
    Handover,
    LeaseStamp,
    SchedulerHeartbeat,
    SessionStamp,
    SessionTiming,
)
from hornbeampulley.identity._states import Admission, Executed, State

__all__ = (
    'Admission',
    'DispatchPermit',
    'Executed',
    'ExecutionTracker',
    'Handover',
    'IdLease',
    'LeaseStamp',
    'Ledger',
    'LedgerLimits',
    'RequestId',
    'SchedulerHeartbeat',
    'SessionStamp',
    'SessionTiming',
    'State',
)
