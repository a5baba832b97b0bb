"""What a node is given at its start: who it is, and its platform."""

import dataclasses
from collections.abc import Callable

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node.dialect import Dialect
from hornbeampulley.node.stored import Decoder, Store


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """One run of a node.

    Attributes
    ----------
    incarnation : str
        Random name of the run: 16 hexadecimal digits.
    started_ms : int
        Wall time of its start.
    """

    incarnation: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """What connects the node to the platform that it runs on.

    Attributes
    ----------
    dialect : Dialect
        Headers of callers and targets.
    decoder : Decoder
        Items of the store.
    make_store : callable
        Returns the client of the store at an endpoint.
    """

    dialect: Dialect
    decoder: Decoder
    make_store: Callable[[Endpoint, Clock], Store]
