"""Quarantine of request contents that crash targets."""

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
        self._suspects: dict[int, frozenset[int]] = {}
        self._quarantined: dict[int, None] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a content is suspect, and so must run alone."""
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tell whether a content is quarantined, and so refused."""
        return fingerprint in self._quarantined

    def add_suspect(self, fingerprint: int, crash: int) -> None:
        """Make a content suspect that had been sent to a target that crashed.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the content; 0 if it is not known.
        crash : int
            Number of the crash.
        """
        if not fingerprint or fingerprint in self._quarantined:
            return
        earlier = self._suspects.pop(fingerprint, frozenset())
        self._suspects[fingerprint] = earlier | {crash}
        while len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.pop(next(iter(self._suspects)))

    def conclude(self, crash: int) -> int:
        """Conclude a crash, all suspects of which are known.

        Parameters
        ----------
        crash : int
            Number of the crash.

        Returns
        -------
        int
            The fingerprint quarantined because of this crash, or 0.
        """
        repeated = [
            content
            for content, crashes in self._suspects.items()
            if crash in crashes and len(crashes) > 1
        ]
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

    def clear_suspicion(self, fingerprint: int) -> None:
        """Clear a content from suspicion, as a request with it completed."""
        self._suspects.pop(fingerprint, None)
