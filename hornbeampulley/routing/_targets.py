"""Table of the registered targets."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from hornbeampulley.endpoints import Endpoint


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RunStamp:
    """Place of a record among all that a target has written of itself.

    Unlike a revision of the store it holds in all histories of the store.

    Attributes
    ----------
    born_ms : int
        Wall time of the start of the target's run.
    sequence : int
        Number of records that the target had written in this run.
    """

    born_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Registration record of a target.

    Attributes
    ----------
    name : str
        Name of the target; a later run may use the same name again.
    pool : str
        Pool that the target belongs to.
    endpoint : Endpoint
        Address and port that it listens on.
    availability_zone : str
        Availability zone that it runs in.
    slots : int
        Requests that it runs concurrently.
    state : TargetState
        Whether it accepts new requests.
    born_ms : int
        Wall time of its start, which tells its runs apart; 0 if not given.
    cold_ms : float
        Time in ms for which it is still slow after its start.
    sequence : int or None
        Number of records that it had written in this run; None if not given.
    software : str
        Version of its software; empty if not given.
    """

    name: str
    pool: str
    endpoint: Endpoint
    availability_zone: str
    slots: int
    state: TargetState = TargetState.READY
    born_ms: int = 0
    cold_ms: float = 0
    sequence: int | None = dataclasses.field(default=None, compare=False)
    software: str = ''

    @property
    def stamp(self) -> RunStamp | None:
        """Place of this record among those of the target; None if not given."""
        if self.sequence is None:
            return None
        return RunStamp(self.born_ms, self.sequence)


class TargetTable:
    """Registered targets by name.

    A draining target does not become ready again within the same run.
    """

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}

    @property
    def records(self) -> Mapping[str, TargetRecord]:
        """Records by name of the target."""
        return self._records

    def put(self, record: TargetRecord) -> bool:
        """Insert or replace a record, unless it is of an older run.

        Parameters
        ----------
        record : TargetRecord
            Record as registered by the target.

        Returns
        -------
        bool
            Whether the table has changed.
        """
        known = self._records.get(record.name)
        if known is not None and record.born_ms < known.born_ms:
            return False
        is_same_run = known is not None and known.born_ms == record.born_ms
        if is_same_run and known.state is TargetState.DRAINING:
            record = dataclasses.replace(record, state=TargetState.DRAINING)
        self._records[record.name] = record
        return record != known

    def remove(self, name: str) -> bool:
        """Remove a target.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        bool
            False if the target was not in the table.
        """
        return self._records.pop(name, None) is not None

    def keep_only(self, names: Iterable[str]) -> list[str]:
        """Remove all targets except the given ones.

        Parameters
        ----------
        names : iterable of str
            Names of the targets to keep.

        Returns
        -------
        list of str
            Names of the removed targets.
        """
        gone = sorted(self._records.keys() - set(names))
        for name in gone:
            self._records.pop(name)
        return gone

    def list_draining(self) -> frozenset[str]:
        """List the draining targets, which get no new requests.

        Returns
        -------
        frozenset of str
            Names of the targets.
        """
        return frozenset(
            name
            for name, record in self._records.items()
            if record.state is TargetState.DRAINING
        )
