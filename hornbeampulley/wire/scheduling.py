"""Messages between home entries and schedulers.

Kept apart from the rest of ``wire``: the agent does not need these messages,
nor the packages ``decisions`` and ``identity`` on which they depend.
"""

from hornbeampulley.wire._actions import read_action, write_action
from hornbeampulley.wire._events import (
    read_event,
    read_part_quarantine,
    read_target_signals,
    write_event,
    write_part_quarantine,
    write_reserve,
    write_target_signals,
)
from hornbeampulley.wire._parts import (
    FINGERPRINT_MASK,
    HASH_MASK,
    PART_MASK,
    read_request_id,
    read_stamp,
    write_stamp,
)

__all__ = (
    'FINGERPRINT_MASK',
    'HASH_MASK',
    'PART_MASK',
    'read_action',
    'read_event',
    'read_part_quarantine',
    'read_request_id',
    'read_stamp',
    'read_target_signals',
    'write_action',
    'write_event',
    'write_part_quarantine',
    'write_reserve',
    'write_stamp',
    'write_target_signals',
)
