"""Parts of prompts that crash each target that begins to answer on them.

Requests with such a part need not be alike otherwise, and share their other
parts with sound ones. What tells them apart is that no answer has ever begun
on the part.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from hornbeampulley.decisions._events import PartQuarantine

# Crashes after which a part is quarantined, and one more if an answer began
# on it shortly before.
MIN_CRASHES: Final = 2
MIN_PROMPTS: Final = 2
RECENT_MS: Final = 10_000.0
FIRST_PERIOD_MS: Final = 20_000.0
PERIOD_FACTOR: Final = 3.0
MAX_PERIOD_MS: Final = 3_600_000.0
MAX_PARTS: Final = 10_000


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Crashes under a part since an answer last began on it.

    Attributes
    ----------
    prompts : dict of int to set of int
        Last parts of the prompts that ran with the part, by crash.
    position : int
        Latest position of the part in a prompt.
    answers : int
        Answers that had begun in the pool at its last crash.
    targets : set of str
        Targets that have crashed since then.
    latest : tuple of (int, int)
        Number of the last crash of a target, and of the one that it belongs to.
    """

    prompts: dict[int, set[int]] = dataclasses.field(default_factory=dict)
    position: int = 0
    answers: int = -1
    targets: set[str] = dataclasses.field(default_factory=set)
    latest: tuple[int, int] = (0, 0)

    def count_prompts(self) -> int:
        """Return the number of different prompts in all crashes."""
        return len(set().union(*self.prompts.values()))


@dataclasses.dataclass(slots=True)
class _Quarantine:
    """Until when a part is quarantined, and for how long after a crash."""

    until_ms: float
    period_ms: float


class DeadlyParts:
    """Attributes crashes to parts of the prompts that had not begun to answer.

    A part is quarantined after crashes under different prompts. Targets that end
    together count once: between two crashes another answer must have begun in
    the pool, or the same target must have come back. Of several such parts the one
    in most crashes explains them, then the one on which an answer began longest
    ago, then the one furthest back in the prompt. After its period one request is
    let through; if it crashes a target too, the period has grown.

    The last part of a prompt belongs to the request alone and only tells
    prompts apart.
    """

    def __init__(self) -> None:
        self._evidence: dict[int, _Evidence] = {}
        self._quarantines: dict[int, _Quarantine] = {}
        self._begun_ms: dict[int, float] = {}
        self._answers = 0
        self._crashes = 0

    def is_refused(self, parts: tuple[int, ...], now_ms: float) -> bool:
        """Tell whether a prompt has a part whose period is not over.

        Parameters
        ----------
        parts : tuple of int
            Ids of the parts of the prompt, in order.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            Whether the request must not run.
        """
        return self.get_time_left(parts, now_ms) > 0

    def begin_probe(
        self, parts: tuple[int, ...], now_ms: float
    ) -> list[PartQuarantine]:
        """Begin a longer period, as a request is let through after one.

        Parameters
        ----------
        parts : tuple of int
            Ids of the parts of the prompt, in order.
        now_ms : float
            The current time.

        Returns
        -------
        list of PartQuarantine
            Extended quarantines; none for most requests.
        """
        for entry in self._find_entries(parts):
            entry.period_ms = min(
                entry.period_ms * PERIOD_FACTOR, MAX_PERIOD_MS
            )
        return self._extend(parts, now_ms)

    def record_begun(
        self, parts: tuple[int, ...], now_ms: float
    ) -> list[PartQuarantine]:
        """Clear the parts of a prompt, as an answer has begun on it.

        Parameters
        ----------
        parts : tuple of int
            Ids of the parts of the prompt, in order.
        now_ms : float
            The current time.

        Returns
        -------
        list of PartQuarantine
            Quarantines that are lifted.
        """
        self._answers += 1
        lifted = []
        for part in parts[:-1]:
            self._begun_ms.pop(part, None)
            self._begun_ms[part] = now_ms
            self._evidence.pop(part, None)
            if self._quarantines.pop(part, None) is not None:
                lifted.append(PartQuarantine(part))
        _drop_oldest(self._begun_ms)
        return lifted

    def record_crash(
        self,
        target: str,
        prompts: Iterable[tuple[int, ...]],
        now_ms: float,
    ) -> list[PartQuarantine]:
        """Count a crash against the parts of prompts without an answer.

        Parameters
        ----------
        target : str
            Name of the target.
        prompts : iterable of tuple of int
            Parts of the prompts that ran on the target and on which no answer
            had begun.
        now_ms : float
            The current time.

        Returns
        -------
        list of PartQuarantine
            New and extended quarantines.
        """
        self._crashes += 1
        listed = [prompt for prompt in prompts if len(prompt) > 1]
        changed = []
        for prompt in listed:
            suspects = self._find_suspects(prompt)
            changed.extend(self._judge_quarantined(prompt, suspects, now_ms))
            self._count(target, prompt, suspects)
        _drop_oldest(self._evidence)
        suspected = {part for one in listed for part in one[:-1]}
        changed.extend(
            self._quarantine_best(suspected - self._quarantines.keys(), now_ms)
        )
        return changed

    def get_time_left(self, parts: tuple[int, ...], now_ms: float) -> float:
        """Return the longest time for which a part is still quarantined.

        Parameters
        ----------
        parts : tuple of int
            Ids of the parts of the prompt, in order.
        now_ms : float
            The current time.

        Returns
        -------
        float
            Time in ms; 0 if no part is.
        """
        left_ms = [one.until_ms - now_ms for one in self._find_entries(parts)]
        return max(left_ms, default=0)

    def apply(self, quarantine: PartQuarantine, now_ms: float) -> None:
        """Apply a quarantine that another scheduler has decided.

        Parameters
        ----------
        quarantine : PartQuarantine
            The decision.
        now_ms : float
            The current time.
        """
        if quarantine.period_ms:
            until_ms = now_ms + quarantine.left_ms
            entry = _Quarantine(until_ms, quarantine.period_ms)
            self._quarantines[quarantine.part] = entry
            _drop_oldest(self._quarantines)
        else:
            self._quarantines.pop(quarantine.part, None)

    def _find_entries(self, parts: tuple[int, ...]) -> list[_Quarantine]:
        if not self._quarantines:
            return []
        found = map(self._quarantines.get, parts[:-1])
        return [entry for entry in found if entry is not None]

    def _find_suspects(self, prompt: tuple[int, ...]) -> list[int]:
        """List the parts that a crash is evidence against.

        A quarantined part explains it, unless the prompt has a part on which an
        answer last began longer ago.
        """
        known = [part for part in prompt[:-1] if part in self._quarantines]
        if not known:
            return list(prompt[:-1])
        latest_ms = min(map(self._get_begun, known))
        return [
            part
            for part in prompt[:-1]
            if part not in known and self._get_begun(part) < latest_ms
        ]

    def _judge_quarantined(
        self, prompt: tuple[int, ...], suspects: list[int], now_ms: float
    ) -> list[PartQuarantine]:
        """Extend the quarantines of a prompt, unless others are more suspect."""
        if not suspects or not self._find_entries(prompt):
            return self._extend(prompt, now_ms)
        # The crash tells nothing of them, so another request is let through.
        for entry in self._find_entries(prompt):
            entry.period_ms = max(
                entry.period_ms / PERIOD_FACTOR, FIRST_PERIOD_MS
            )
            entry.until_ms = now_ms
        return []

    def _count(
        self, target: str, prompt: tuple[int, ...], suspects: list[int]
    ) -> None:
        for position, part in enumerate(prompt[:-1]):
            if part not in suspects:
                continue
            evidence = self._evidence.setdefault(part, _Evidence())
            evidence.position = max(evidence.position, position)
            if evidence.latest[0] != self._crashes:
                crash = self._choose_crash(evidence, target)
                evidence.latest = (self._crashes, crash)
                evidence.targets.add(target)
            _, crash = evidence.latest
            evidence.prompts.setdefault(crash, set()).add(prompt[-1])

    def _choose_crash(self, evidence: _Evidence, target: str) -> int:
        """Return the number of the crash that a target's end belongs to."""
        has_begun = evidence.answers != self._answers
        is_back = target in evidence.targets
        if evidence.prompts and not (has_begun or is_back):
            return max(evidence.prompts)
        evidence.answers = self._answers
        evidence.targets.clear()
        return self._crashes

    def _extend(
        self, prompt: tuple[int, ...], now_ms: float
    ) -> list[PartQuarantine]:
        """Extend the quarantines of parts that have crashed a target again."""
        extended = []
        for part in prompt[:-1]:
            entry = self._quarantines.get(part)
            if entry is not None:
                entry.until_ms = now_ms + entry.period_ms
                extended.append(_describe(part, entry, now_ms))
        return extended

    def _quarantine_best(
        self, parts: set[int], now_ms: float
    ) -> list[PartQuarantine]:
        candidates = [
            part for part in sorted(parts) if self._is_proved(part, now_ms)
        ]
        if not candidates:
            return []
        part = max(candidates, key=self._get_weight)
        explained = self._evidence.pop(part).prompts.keys()
        for evidence in self._evidence.values():
            for crash in explained & evidence.prompts.keys():
                evidence.prompts.pop(crash)
        entry = _Quarantine(now_ms + FIRST_PERIOD_MS, FIRST_PERIOD_MS)
        self._quarantines[part] = entry
        _drop_oldest(self._quarantines)
        return [_describe(part, entry, now_ms)]

    def _is_proved(self, part: int, now_ms: float) -> bool:
        evidence = self._evidence.get(part)
        if evidence is None:
            return False
        is_recent = now_ms - self._get_begun(part) < RECENT_MS
        return (
            len(evidence.prompts) >= MIN_CRASHES + is_recent
            and evidence.count_prompts() >= MIN_PROMPTS
        )

    def _get_weight(self, part: int) -> tuple[int, float, int]:
        evidence = self._evidence[part]
        quiet_since_ms = self._get_begun(part)
        return len(evidence.prompts), -quiet_since_ms, evidence.position

    def _get_begun(self, part: int) -> float:
        """Return when an answer on a part last began, in ms."""
        return self._begun_ms.get(part, -math.inf)


def _describe(part: int, entry: _Quarantine, now_ms: float) -> PartQuarantine:
    left_ms = max(entry.until_ms - now_ms, 0)
    return PartQuarantine(part, left_ms, entry.period_ms)


def _drop_oldest(entries: dict[int, object]) -> None:
    while len(entries) > MAX_PARTS:
        entries.pop(next(iter(entries)))
