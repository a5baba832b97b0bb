"""Request ids, their windows, and the fate of a lost home's requests."""

from hornbeampulley.identity._fates import FateRecorder
from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._leases import LedgerLimits
from hornbeampulley.identity._ledger import Ledger
from hornbeampulley.identity._permits import DispatchPermit
from hornbeampulley.identity._sessions import (
    Handover,
    LeaseStamp,
    SchedulerHeartbeat,
    Stamp,
    Timing,
)
from hornbeampulley.identity._states import Admission, Ran, State

__all__ = (
    'Admission',
    'DispatchPermit',
    'FateRecorder',
    'Handover',
    'IdLease',
    'LeaseStamp',
    'Ledger',
    'LedgerLimits',
    'Ran',
    'RequestId',
    'SchedulerHeartbeat',
    'Stamp',
    'State',
    'Timing',
)
