"""When peers were asked, for answers that may lie unread for a while."""

from typing import Final

from hornbeampulley.clock import Clock

# Beyond this many, the questions asked first are dropped.
MAX_OPEN: Final = 100


class Questions:
    """Remembers when numbered questions were sent.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked_ms: dict[int, float] = {}

    def record(self, number: int) -> None:
        """Record that a question is sent now, or again.

        Parameters
        ----------
        number : int
            Number that the answer has to carry.
        """
        self._asked_ms.setdefault(number, self._clock.now())
        if len(self._asked_ms) > MAX_OPEN:
            self._asked_ms.pop(next(iter(self._asked_ms)))

    def pop(self, number: int) -> float | None:
        """Return when a question was first sent, as it is answered.

        Parameters
        ----------
        number : int
            Number of the answer.

        Returns
        -------
        float or None
            Time in ms; None if there is no such question.
        """
        return self._asked_ms.pop(number, None)
