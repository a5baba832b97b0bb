"""The registry of scheduling policies."""

from collections.abc import Callable
from typing import Final, Protocol

from hornbeampulley.decisions._actions import Action
from hornbeampulley.decisions._events import Event
from hornbeampulley.registry import Registry


class Policy(Protocol):
    """A scheduling policy for one pool shard; it does no I/O."""

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            What happened.
        now_ms : float
            The current time; must not decrease from call to call.

        Returns
        -------
        tuple of Action
            In the order in which they must be executed.
        """


PolicyFactory = Callable[[str, int], Policy]

policies: Final[Registry[PolicyFactory]] = Registry('policy')
"""Maps policy names to factories, which take a pool's name and a seed."""
