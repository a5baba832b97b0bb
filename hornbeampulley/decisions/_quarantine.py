"""Contents that crash targets: suspects, isolation and refusal."""

import itertools
from collections.abc import Iterable
from typing import Final

MAX_FINGERPRINTS: Final = 10000


class QuarantineList:
    """Counts crashes against the fingerprints that ran at the time.

    A first crash makes suspects of all that ran on the target. A second one
    convicts a fingerprint, unless others that ran beside it are as likely.
    A conviction explains its crashes, so that it clears the others.
    """

    def __init__(self) -> None:
        self._crashes = itertools.count()
        self._suspects: dict[int, frozenset[int]] = {}
        self._quarantined: dict[int, None] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a content must run alone."""
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tell whether a content is refused."""
        return fingerprint in self._quarantined

    def record_crash(self, fingerprints: Iterable[int]) -> int:
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
        """Refuse a content from now on."""
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
        """Take back the last charge, as the request was never sent."""
        crashes = self._suspects.pop(fingerprint, frozenset())
        if len(crashes) > 1:
            self._suspects[fingerprint] = crashes - {max(crashes)}

    def clear_suspicion(self, fingerprint: int) -> None:
        """Drop the suspicion of a content that completed."""
        self._suspects.pop(fingerprint, None)
