"""The states of a request at its home, and what callers are told of it."""

import enum


class Executed(enum.Enum):
    """Whether a request was run, as far as the answering process knows."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class State(enum.Enum):
    """Where a request stands at its home."""

    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    DONE = 'done'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class Admission(enum.Enum):
    """What a home does with a request id that a caller sends.

    ``NEW`` is run; ``RUNNING`` attaches to the open request; ``KEPT`` gets the
    answer kept; ``HANDLED`` was handled but its answer is gone, or its lease
    is forgotten. All others are refused and were not admitted before.
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
