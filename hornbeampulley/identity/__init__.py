"""Request ids, their windows, and the fate of a lost home's requests."""

from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._leases import LedgerLimits
from hornbeampulley.identity._ledger import Ledger
from hornbeampulley.identity._states import Admission, Ran, State

__all__ = (
    'Admission',
    'IdLease',
    'Ledger',
    'LedgerLimits',
    'Ran',
    'RequestId',
    'State',
)
