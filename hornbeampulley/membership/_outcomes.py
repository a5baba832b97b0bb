"""What becomes of a ticket that is offered to the store."""

import dataclasses

from hornbeampulley.errors import Fault
from hornbeampulley.membership._tickets import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """Which ticket of a scope is meant.

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
    """The ticket offered is in force now.

    Attributes
    ----------
    ticket : Ticket
        The ticket.
    source : str
        Who offered it.
    previous_number : int
        Number that was in force before; 0 if none.
    """

    ticket: Ticket
    source: str
    previous_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The ticket offered is older than the one in force.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        The number offered.
    number_in_force : int
        The number kept.
    source : str
        Who offered it.
    """

    scope: str
    number: int
    number_in_force: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Same:
    """The ticket offered is in force already.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        The number.
    """

    scope: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Two tickets carry one number; the one in force is kept.

    Attributes
    ----------
    scope : str
        The scope.
    number : int
        The number of both.
    digest : str
        Hash of the one in force.
    other_digest : str
        Hash of the one offered.
    source : str
        Who offered it.
    """

    scope: str
    number: int
    digest: str
    other_digest: str
    source: str

    def __str__(self) -> str:
        """Return the conflict with its remedy."""
        return (
            f'scope {self.scope}: two tickets carry number {self.number}; '
            f'{self.digest} stays in force, {self.other_digest} from '
            f'{self.source} does not; write the state wanted as a ticket '
            f'numbered {self.number + 1} or higher'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The text offered has faults; what was in force stays.

    Attributes
    ----------
    faults : tuple of Fault
        Every fault found.
    source : str
        Who offered it.
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
