"""Identity of a node and the adapter for its platform."""

import dataclasses
from collections.abc import Callable

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node.dialect import Dialect
from hornbeampulley.node.stored import Decoder, Store


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one run of a node.

    Attributes
    ----------
    incarnation : str
        Random name of the run: 16 hexadecimal digits.
    started_ms : int
        Wall time of the start, in ms.
    """

    incarnation: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Connects the node to the platform that it runs on.

    Attributes
    ----------
    dialect : Dialect
        Reads and writes the headers of callers and targets.
    decoder : Decoder
        Reads the items of the store.
    make_store : callable
        Factory of store clients, called with endpoint and clock.
    """

    dialect: Dialect
    decoder: Decoder
    make_store: Callable[[Endpoint, Clock], Store]
