"""Messages between agents, and events and outputs of the ticket gossip."""

import dataclasses

from hornbeampulley.membership._outcomes import Outcome, Stamp
from hornbeampulley.membership._peers import Peer


@dataclasses.dataclass(frozen=True, slots=True)
class TicketNotice:
    """Gossip digest, sent to a few peers in each round and on each change.

    Attributes
    ----------
    serial : int
        Hash over the stamps of all tickets that the sender holds.
    ages_ms : tuple of int
        Time since the configuration service last confirmed each ticket,
        ordered by the names of their scopes.
    changed : tuple of Stamp
        Stamps of the tickets that the sender applied recently.
    is_answer : bool
        Whether it answers a notice; such a notice is itself not answered.
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
        One per scope.
    wants_answer : bool
        Whether the receiver is to reply with its own summary.
    is_ready : bool
        Whether the sender may serve, that is, has itself completed its
        start-up.
    """

    stamps: tuple[Stamp, ...]
    wants_answer: bool
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TicketPull:
    """Request for the tickets of some scopes.

    Attributes
    ----------
    scopes : tuple of str
        Scopes of the tickets requested.
    """

    scopes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TicketBody:
    """A complete ticket, sent only in answer to a pull.

    Attributes
    ----------
    stamp : Stamp
        Stamp of the ticket.
    age_ms : float
        Time since the configuration service last confirmed it.
    content : bytes
        Its compressed text.
    """

    stamp: Stamp
    age_ms: float
    content: bytes = dataclasses.field(repr=False)


PeerMessage = TicketNotice | TicketSummary | TicketPull | TicketBody


@dataclasses.dataclass(frozen=True, slots=True)
class GossipTick:
    """Starts a gossip round; raised every ``GossipSettings.tick_ms``."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetPeers:
    """Replaces the set of known agents.

    Attributes
    ----------
    peers : tuple of Peer
        All agents; this agent need not be among them.
    """

    peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from a peer has arrived.

    Attributes
    ----------
    peer : str
        Name of the peer.
    message : PeerMessage
        The message.
    """

    peer: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswer:
    """The configuration service has answered a read or watch with a text.

    Attributes
    ----------
    scope : str
        The scope that was read.
    text : bytes
        Text of the ticket that the service holds.
    as_of_ms : float
        Time of the call, or time at which the watch reported the change.
    """

    scope: str
    text: bytes = dataclasses.field(repr=False)
    as_of_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUnchanged:
    """A watch of the configuration service has ended without a change.

    Attributes
    ----------
    scope : str
        The scope watched.
    as_of_ms : float
        Time at which the service reported that nothing had changed.
    """

    scope: str
    as_of_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The configuration service did not answer or has no such scope.

    Attributes
    ----------
    scope : str
        The scope that was read.
    """

    scope: str


GossipEvent = (
    GossipTick | SetPeers | Received | ReadAnswer | ReadUnchanged | ReadFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Instruction to send a message to a peer.

    Attributes
    ----------
    peer : str
        Name of the peer.
    message : PeerMessage
        The message.
    """

    peer: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Instruction to make one call to the configuration service.

    Attributes
    ----------
    scope : str
        The scope to read.
    held : Stamp or None
        Stamp of the ticket held; a watch ends at once if the service holds
        another one.
    watch_ms : float
        How long to wait for a change; 0 for a plain read.
    """

    scope: str
    held: Stamp | None
    watch_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcome of a ticket that a peer or the configuration service offered.

    Attributes
    ----------
    outcome : Outcome
        ``Applied`` if the configuration has changed; ``Conflict`` and
        ``Rejected`` need the operators' attention; ``Stale`` means that the
        source lags behind.
    """

    outcome: Outcome


GossipOutput = Send | Read | Report
