"""What agents tell each other, and what the ticket gossip takes and returns."""

import dataclasses

from hornbeampulley.membership._outcomes import Outcome, Stamp
from hornbeampulley.membership._peers import Peer


@dataclasses.dataclass(frozen=True, slots=True)
class TicketNotice:
    """Sent to a few peers on each tick and at once on a change.

    Attributes
    ----------
    serial : int
        Serial of all tickets that the sender holds.
    ages_ms : tuple of int
        Time since the service last confirmed each ticket, in order of the
        names of their scopes.
    changed : tuple of Stamp
        Tickets that the sender applied lately.
    is_answer : bool
        Whether it answers a notice; an answer is not answered by another.
    """

    serial: int
    ages_ms: tuple[int, ...]
    changed: tuple[Stamp, ...] = ()
    is_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TicketSummary:
    """The stamps of all tickets that the sender holds.

    Attributes
    ----------
    stamps : tuple of Stamp
        One a scope.
    wants_answer : bool
        Whether the receiver is to send its own summary back.
    is_ready : bool
        Whether the sender has itself asked its peers since its start.
    """

    stamps: tuple[Stamp, ...]
    wants_answer: bool
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TicketPull:
    """Asks for the tickets of some scopes.

    Attributes
    ----------
    scopes : tuple of str
        The scopes.
    """

    scopes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TicketBody:
    """A whole ticket, sent only on a pull.

    Attributes
    ----------
    stamp : Stamp
        Which ticket it is.
    age_ms : float
        Time since the service last confirmed it.
    content : bytes
        The compressed text.
    """

    stamp: Stamp
    age_ms: float
    content: bytes = dataclasses.field(repr=False)


PeerMessage = TicketNotice | TicketSummary | TicketPull | TicketBody


@dataclasses.dataclass(frozen=True, slots=True)
class GossipTick:
    """Time has passed; sent every ``tick_ms`` of the settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetPeers:
    """Replaces the agents that are known.

    Attributes
    ----------
    peers : tuple of Peer
        All agents; the ticket gossip's own entry is ignored.
    """

    peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A peer has sent a message.

    Attributes
    ----------
    peer : str
        Name of the peer.
    message : PeerMessage
        What it sent.
    """

    peer: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswer:
    """The service has answered a read or a watch with a text.

    Attributes
    ----------
    scope : str
        The scope asked for.
    text : bytes
        The ticket's text as the service holds it.
    as_of_ms : float
        When the call was made, or when the watch reported the change.
    """

    scope: str
    text: bytes = dataclasses.field(repr=False)
    as_of_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUnchanged:
    """A watch has ended with no change.

    Attributes
    ----------
    scope : str
        The scope watched.
    as_of_ms : float
        When the service said so.
    """

    scope: str
    as_of_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The service did not answer, or holds no such scope.

    Attributes
    ----------
    scope : str
        The scope asked for.
    """

    scope: str


GossipEvent = (
    GossipTick | SetPeers | Received | ReadAnswer | ReadUnchanged | ReadFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer.

    Attributes
    ----------
    peer : str
        Name of the peer.
    message : PeerMessage
        What to send.
    """

    peer: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Make one call to the configuration service.

    Attributes
    ----------
    scope : str
        The scope.
    held : Stamp or None
        The ticket held; a watch ends at once if the service's differs.
    watch_ms : float
        How long to wait for a change; 0 for a plain read.
    """

    scope: str
    held: Stamp | None
    watch_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What became of a ticket that a peer or the service offered.

    Attributes
    ----------
    outcome : Outcome
        ``Applied`` if the configuration has changed; ``Conflict`` and
        ``Rejected`` are for the operators; ``Stale`` means that the source
        lags behind.
    """

    outcome: Outcome


GossipOutput = Send | Read | Report
