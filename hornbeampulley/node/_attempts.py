"""Result of sending a request to one target."""

import dataclasses

from hornbeampulley.decisions import Outcome
from hornbeampulley.node._calls import Answer


@dataclasses.dataclass(slots=True)
class Attempt:
    """Result of sending a request to one target.

    Attributes
    ----------
    outcome : Outcome
        Outcome reported to the scheduler.
    reason : str
        Short description for the log.
    answer : Answer or None
        Response to forward; None if there is none, or it was streamed.
    is_complete : bool
        Whether a stream was forwarded to its end.
    events : int
        Number of stream events forwarded.
    first_ms : float
        Time in ms from dispatch to the first part of a stream; 0 if none
        came.
    duration_ms : float
        Time in ms from dispatch to the end.
    is_unframed : bool
        Whether the answer has neither a length nor chunks.
    pause_ms : float
        Longest time in ms between two parts of a stream; 0 if the target does
        not report its slowness.
    """

    outcome: Outcome
    reason: str
    answer: Answer | None = None
    is_complete: bool = False
    events: int = 0
    first_ms: float = 0
    duration_ms: float = 0
    is_unframed: bool = False
    pause_ms: float = 0
