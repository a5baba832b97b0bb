"""Quarantine of request contents that crash targets."""

import itertools
from collections.abc import Iterable
from typing import Final

MAX_FINGERPRINTS: Final = 10000


class QuarantineList:
    """Attributes crashes to the fingerprints that were running at the time.

    After a first crash, all contents that ran on the target are suspect. After
    a second one, a suspect content is quarantined if it is the only suspect
    that ran. This explains its crashes, so contents that are suspect only
    because of them are cleared.
    """

    def __init__(self) -> None:
        self._crashes = itertools.count()
        self._suspects: dict[int, frozenset[int]] = {}
        self._quarantined: dict[int, None] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a content is suspect, and so must run alone."""
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tell whether a content is quarantined, and so refused."""
        return fingerprint in self._quarantined

    def record_crash(self, fingerprints: Iterable[int]) -> int:
        """Count a crash against all contents that ran on the target.

        Parameters
        ----------
        fingerprints : iterable of int
            Fingerprints of the contents; 0 for an unknown one.

        Returns
        -------
        int
            The fingerprint quarantined because of this crash, or 0.
        """
        running = {content for content in fingerprints if content}
        running -= self._quarantined.keys()
        repeated = [content for content in running if content in self._suspects]
        crash = frozenset((next(self._crashes),))
        for content in sorted(running):
            earlier = self._suspects.pop(content, frozenset())
            self._suspects[content] = earlier | crash
        while len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.pop(next(iter(self._suspects)))
        if len(repeated) != 1:
            return 0
        self.add(repeated[0])
        return repeated[0]

    def add(self, fingerprint: int) -> None:
        """Quarantine a content."""
        explained = self._suspects.pop(fingerprint, frozenset())
        self._quarantined[fingerprint] = None
        if len(self._quarantined) > MAX_FINGERPRINTS:
            self._quarantined.pop(next(iter(self._quarantined)))
        self._suspects = {
            content: crashes - explained
            for content, crashes in self._suspects.items()
            if crashes - explained
        }

    def retract_crash(self, fingerprint: int) -> None:
        """Undo the last crash of a content, as its request was never sent."""
        crashes = self._suspects.pop(fingerprint, frozenset())
        if len(crashes) > 1:
            self._suspects[fingerprint] = crashes - {max(crashes)}

    def clear_suspicion(self, fingerprint: int) -> None:
        """Clear a content from suspicion, as a request with it completed."""
        self._suspects.pop(fingerprint, None)
