"""Outcomes of offering a ticket to the store."""

import dataclasses

from hornbeampulley.errors import Fault
from hornbeampulley.membership._tickets import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """Identity of a ticket: scope, number and digest of the content.

    Attributes
    ----------
    scope : str
        The ticket's scope.
    number : int
        The ticket's number.
    digest : str
        Hash of the ticket's content.
    """

    scope: str
    number: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The offered ticket was applied and is now in force.

    Attributes
    ----------
    ticket : Ticket
        The offered ticket.
    source : str
        Peer that offered it, or ``service``.
    previous_number : int
        Number of the ticket that was in force before; 0 if there was none.
    """

    ticket: Ticket
    source: str
    previous_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The offered ticket is older than the one in force and was ignored.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        Number of the offered ticket.
    number_in_force : int
        Number of the ticket in force.
    source : str
        Peer that offered it, or ``service``.
    """

    scope: str
    number: int
    number_in_force: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Same:
    """The offered ticket is already in force.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        Its number.
    """

    scope: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Two different tickets have the same number; the one in force is kept.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        Number of both tickets.
    digest : str
        Hash of the content of the ticket in force.
    other_digest : str
        Hash of the content of the offered ticket.
    source : str
        Peer that offered it, or ``service``.
    """

    scope: str
    number: int
    digest: str
    other_digest: str
    source: str

    def __str__(self) -> str:
        """Describe the conflict and how to resolve it."""
        return (
            f'scope {self.scope}: two tickets carry number {self.number}; '
            f'{self.digest} stays in force, {self.other_digest} from '
            f'{self.source} does not; write the state wanted as a ticket '
            f'numbered {self.number + 1} or higher'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The offered text is not a valid ticket; nothing has changed.

    Attributes
    ----------
    faults : tuple of Fault
        Every fault found.
    source : str
        Peer that offered it, or ``service``.
    """

    faults: tuple[Fault, ...]
    source: str


Outcome = Applied | Stale | Same | Conflict | Rejected


def get_stamp(ticket: Ticket) -> Stamp:
    """Return the stamp of a ticket.

    Parameters
    ----------
    ticket : Ticket
        The ticket.

    Returns
    -------
    Stamp
        Its scope, number and digest.
    """
    return Stamp(ticket.scope, ticket.number, ticket.digest)
