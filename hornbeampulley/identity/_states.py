"""States of a request at its home and results of its admission."""

import enum


class Executed(enum.Enum):
    """Whether a request was executed, as far as the process knows."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class State(enum.Enum):
    """State of a request at its home."""

    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    DONE = 'done'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class Admission(enum.Enum):
    """What a home does with a request id that a caller sends.

    A ``NEW`` request is run. ``RUNNING`` attaches the caller to the open
    request and ``KEPT`` returns the stored answer. ``HANDLED`` means that the
    answer, or the record of the id lease, has already been removed. All other
    results refuse the id; it was not admitted before for this workspace.
    """

    NEW = 'new'
    RUNNING = 'running'
    KEPT = 'kept'
    HANDLED = 'handled'
    EXPIRED_LEASE = 'expired_lease'
    UNKNOWN_LEASE = 'unknown_lease'
    FOREIGN = 'foreign'
    WRONG_WORKSPACE = 'wrong_workspace'
    WINDOW_FULL = 'window_full'
