"""Request ids, their windows, and the fate of a lost home's requests."""

from hornbeampulley.identity._ids import IdLease, RequestId
from hornbeampulley.identity._ledger import Ledger, LedgerLimits
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
