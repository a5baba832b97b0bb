"""Store of the change tickets in force, whose numbers never decrease."""

from collections.abc import Iterable, Mapping

import xxhash

from hornbeampulley.errors import FaultsError
from hornbeampulley.membership._outcomes import (
    Applied,
    Conflict,
    Outcome,
    Rejected,
    Same,
    Stale,
    Stamp,
    get_stamp,
)
from hornbeampulley.membership._tickets import Ticket, parse_document


class TicketStore:
    """Holds the ticket in force of each scope."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}
        self._stamps: dict[str, Stamp] = {}
        self._applied_ms: dict[str, float] = {}
        self._conflicts: dict[str, Conflict] = {}
        self._new_conflicts: list[Conflict] = []
        self._serial = _hash_stamps(())

    def offer(self, text: bytes, source: str, now_ms: float) -> Outcome:
        """Apply a ticket if its number is higher than that of the one in force.

        Parameters
        ----------
        text : bytes
            Text of a change ticket or of a host list.
        source : str
            Peer that offers it, or ``service``; used in messages.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        Applied, Stale, Same, Conflict or Rejected
            The outcome.
        """
        for held in self._tickets.values():
            if held.text == text:
                return Same(held.scope, held.number)
        try:
            ticket = parse_document(text)
        except FaultsError as error:
            return Rejected(error.faults, source)
        known = self.compare(get_stamp(ticket), source)
        return known or self._apply(ticket, source, now_ms)

    def compare(
        self,
        stamp: Stamp,
        source: str,
    ) -> Stale | Same | Conflict | None:
        """Compare a ticket with the one in force by its stamp alone.

        Parameters
        ----------
        stamp : Stamp
            The ticket's stamp.
        source : str
            Peer that offers it, or ``service``; used in messages.

        Returns
        -------
        Stale, Same, Conflict or None
            None if the ticket is newer than the one in force.
        """
        held = self._tickets.get(stamp.scope)
        if held is None or stamp.number > held.number:
            return None
        if stamp.number < held.number:
            return Stale(stamp.scope, stamp.number, held.number, source)
        if stamp.digest == held.digest:
            return Same(stamp.scope, stamp.number)
        conflict = Conflict(
            stamp.scope,
            stamp.number,
            held.digest,
            stamp.digest,
            source,
        )
        self._record_conflict(conflict)
        return conflict

    def get_serial(self) -> int:
        """Return the serial of the tickets in force.

        Returns
        -------
        int
            64-bit hash over all stamps; equal in two processes if they hold
            the same tickets.
        """
        return self._serial

    def get_stamps(self) -> dict[str, Stamp]:
        """Return the stamps of all tickets in force.

        Returns
        -------
        dict
            Maps scopes to stamps.
        """
        return dict(self._stamps)

    def list_newer_than(
        self,
        stamps: Mapping[str, Stamp],
    ) -> tuple[Ticket, ...]:
        """List the tickets that are newer than those of another process.

        Parameters
        ----------
        stamps : mapping
            Maps scopes to the stamps of the other process.

        Returns
        -------
        tuple of Ticket
            Those with a higher number, or of a scope unknown to the other.
        """
        return tuple(
            ticket
            for scope, ticket in self._tickets.items()
            if scope not in stamps or ticket.number > stamps[scope].number
        )

    def find(self, scope: str) -> Ticket | None:
        """Return the ticket in force.

        Parameters
        ----------
        scope : str
            The scope.

        Returns
        -------
        Ticket or None
            None if no ticket of the scope is in force.
        """
        return self._tickets.get(scope)

    def list_tickets(self) -> tuple[Ticket, ...]:
        """List the tickets in force.

        Returns
        -------
        tuple of Ticket
            One per scope.
        """
        return tuple(self._tickets.values())

    def list_conflicts(self) -> tuple[Conflict, ...]:
        """List the conflicts not yet resolved by a ticket of higher number.

        Returns
        -------
        tuple of Conflict
            The latest conflict of each scope.
        """
        return tuple(self._conflicts.values())

    def pop_new_conflicts(self) -> tuple[Conflict, ...]:
        """Return the conflicts found since the last call.

        Returns
        -------
        tuple of Conflict
            A ticket offered repeatedly, even by different peers, counts once.
        """
        found = tuple(self._new_conflicts)
        self._new_conflicts = []
        return found

    def get_age_ms(self, scope: str, now_ms: float) -> float:
        """Return how long the ticket of a scope has been in force here.

        Parameters
        ----------
        scope : str
            The scope.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        float
            In ms; infinite if none is in force.
        """
        return now_ms - self._applied_ms.get(scope, float('-inf'))

    def _record_conflict(self, conflict: Conflict) -> None:
        known = self._conflicts.get(conflict.scope)
        if known and known.other_digest == conflict.other_digest:
            return
        self._conflicts[conflict.scope] = conflict
        self._new_conflicts.append(conflict)

    def _apply(self, ticket: Ticket, source: str, now_ms: float) -> Applied:
        held = self._tickets.get(ticket.scope)
        self._tickets[ticket.scope] = ticket
        self._applied_ms[ticket.scope] = now_ms
        self._conflicts.pop(ticket.scope, None)
        self._stamps[ticket.scope] = get_stamp(ticket)
        self._serial = _hash_stamps(self._stamps.values())
        return Applied(ticket, source, held.number if held else 0)


def _hash_stamps(stamps: Iterable[Stamp]) -> int:
    lines = sorted(
        f'{stamp.scope} {stamp.number} {stamp.digest}' for stamp in stamps
    )
    return xxhash.xxh3_64_intdigest('\n'.join(lines).encode('utf-8'))
