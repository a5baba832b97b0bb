"""Contents that crash targets: suspects, isolation and refusal."""

from collections.abc import Iterable
from typing import Final

MAX_FINGERPRINTS: Final = 10000


class QuarantineList:
    """Counts crashes against the fingerprints that ran at the time.

    A first crash makes suspects of all that ran on the target. A second one
    convicts a fingerprint, unless others that ran beside it are as likely.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, None] = {}
        self._convicted: dict[int, None] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a content must run alone."""
        return fingerprint in self._suspects

    def is_convicted(self, fingerprint: int) -> bool:
        """Tell whether a content is refused."""
        return fingerprint in self._convicted

    def charge(self, fingerprints: Iterable[int]) -> int:
        """Count a crash against all that ran on the target.

        Parameters
        ----------
        fingerprints : iterable of int
            Contents that ran; 0 stands for an unknown one.

        Returns
        -------
        int
            The fingerprint convicted by this crash, or 0.
        """
        running = {print_ for print_ in fingerprints if print_}
        repeated = [print_ for print_ in running if print_ in self._suspects]
        self._remember(self._suspects, running - self._convicted.keys())
        if len(repeated) != 1:
            return 0
        self.convict(repeated[0])
        return repeated[0]

    def convict(self, fingerprint: int) -> None:
        """Refuse a content from now on."""
        self._suspects.pop(fingerprint, None)
        self._remember(self._convicted, {fingerprint})

    def clear(self, fingerprint: int) -> None:
        """Drop the suspicion of a content that completed."""
        self._suspects.pop(fingerprint, None)

    def _remember(self, table: dict[int, None], prints: set[int]) -> None:
        for print_ in sorted(prints):
            table[print_] = None
        while len(table) > MAX_FINGERPRINTS:
            table.pop(next(iter(table)))
