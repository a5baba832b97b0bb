"""The targets that have registered, as far as this process knows."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from hornbeampulley.endpoints import Endpoint


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target says of itself.

    Attributes
    ----------
    name : str
        Id of one run of a server; the same name may start again.
    pool : str
        Pool that it serves.
    endpoint : Endpoint
        Where it listens.
    availability_zone : str
        Where it stands.
    slots : int
        Requests that it runs side by side.
    state : TargetState
        Whether it takes new work.
    born_ms : int
        Wall time of its start; 0 if it does not say.
    cold_ms : float
        How much longer it is slow after its start.
    """

    name: str
    pool: str
    endpoint: Endpoint
    availability_zone: str
    slots: int
    state: TargetState = TargetState.READY
    born_ms: int = 0
    cold_ms: float = 0


class TargetTable:
    """Registered targets by name; a draining one never becomes ready again."""

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}

    @property
    def records(self) -> Mapping[str, TargetRecord]:
        """The records by name."""
        return self._records

    def put(self, record: TargetRecord) -> bool:
        """Take a newer record.

        Parameters
        ----------
        record : TargetRecord
            As its target wrote it.

        Returns
        -------
        bool
            True if it says anything new.
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
        """Forget a target.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        bool
            False if it was not known.
        """
        return self._records.pop(name, None) is not None

    def keep_only(self, names: Iterable[str]) -> list[str]:
        """Forget all targets but some.

        Parameters
        ----------
        names : iterable of str
            Names to keep.

        Returns
        -------
        list of str
            Names of those forgotten.
        """
        gone = sorted(self._records.keys() - set(names))
        for name in gone:
            self._records.pop(name)
        return gone

    def list_draining(self) -> frozenset[str]:
        """List the targets that get no new work.

        Returns
        -------
        frozenset of str
            Their names.
        """
        return frozenset(
            name
            for name, record in self._records.items()
            if record.state is TargetState.DRAINING
        )
