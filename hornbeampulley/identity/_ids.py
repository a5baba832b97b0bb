"""Request ids and the leases that allow callers to create them."""

import dataclasses
import re
from typing import Final, Self

from hornbeampulley.errors import RequestIdError

_PATTERN: Final = re.compile(
    r'([0-9a-f]{16})\.(0|[1-9][0-9]{0,11})\.(0|[1-9][0-9]{0,8})',
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RequestId:
    """The id of a request, which names its home.

    The home is the entry that alone dispatches the request.

    Attributes
    ----------
    incarnation : str
        Incarnation of the home: 16 lower-case hexadecimal digits.
    lease : int
        Number of the id lease that it belongs to.
    counter : int
        Position within the lease, from 0.
    """

    incarnation: str
    lease: int
    counter: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse the text form of an id.

        Parameters
        ----------
        text : str
            ``<incarnation>.<lease>.<counter>``.

        Returns
        -------
        RequestId
            The parsed id.

        Raises
        ------
        RequestIdError
            If the text is malformed.
        """
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise RequestIdError(
                f'malformed request id {text[:64]!r}; ask /v1/entries for an '
                'id lease and send <16 hex digits>.<lease>.<counter> with '
                'decimal numbers and no leading zeros',
            )
        incarnation, lease, counter = match.groups()
        return cls(incarnation, int(lease), int(counter))

    def __str__(self) -> str:
        """Return the text form, which ``parse`` reads."""
        return f'{self.incarnation}.{self.lease}.{self.counter}'


@dataclasses.dataclass(frozen=True, slots=True)
class IdLease:
    """Permission to create request ids for a limited time.

    Attributes
    ----------
    incarnation : str
        Incarnation of the home that granted it.
    number : int
        Number of the lease at that home.
    lifetime_ms : float
        How long new ids are admitted, in ms from the grant.
    count : int
        Counters 0 to ``count - 1`` may be used, each once.
    """

    incarnation: str
    number: int
    lifetime_ms: float
    count: int

    def make_id(self, counter: int) -> RequestId:
        """Make a request id under this lease.

        Parameters
        ----------
        counter : int
            A counter that was not used before.

        Returns
        -------
        RequestId
            The new id.

        Raises
        ------
        RequestIdError
            If the counter is outside the range of the lease.
        """
        if not 0 <= counter < self.count:
            raise RequestIdError(
                f'id lease {self.number} has counters 0 to {self.count - 1}, '
                f'not {counter}; ask /v1/entries for a new lease',
            )
        return RequestId(self.incarnation, self.number, counter)
