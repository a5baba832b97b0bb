"""Failure detection by probes, as in SWIM with the local health of Lifeguard.

Each period a host probes one other. Without an acknowledgement it asks a few
others to probe that host, and then suspects it. A host that is late with its
own work waits longer, since it may not have read the acknowledgement yet.
"""

import dataclasses
import itertools
import random
from collections.abc import Iterable
from typing import Final

PROBE_INTERVAL_MS: Final = 500.0
# Hosts are often lost together: after a probe without an answer, the others
# are probed faster for a while.
ALERT_INTERVAL_MS: Final = 100.0
ALERT_MS: Final = 2000.0
ACK_TIMEOUT_MS: Final = 250.0
INDIRECT_TIMEOUT_MS: Final = 500.0
INDIRECT_PROBES: Final = 3
TICK_MS: Final = 100.0
# A tick that was planned for the end of an interval may come this much earlier.
ROUNDING_MS: Final = 0.1
MAX_SLOWNESS: Final = 6.0
# How fast the measured slowness fades, per tick.
SLOWNESS_DECAY: Final = 0.1
# Time without any datagram after which this host counts as cut off.
ISOLATED_MS: Final = 1000.0
# Gap between two ticks from which on this process counts as having been paused.
PAUSE_MS: Final = 400.0


@dataclasses.dataclass(frozen=True, slots=True)
class SendProbe:
    """Send a probe.

    Attributes
    ----------
    host : str
        Host to probe.
    number : int
        Number that the acknowledgement has to carry.
    """

    host: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskToProbe:
    """Ask a host to probe another one.

    Attributes
    ----------
    helper : str
        Host to ask.
    host : str
        Host to be probed.
    number : int
        Number that the acknowledgement has to carry.
    """

    helper: str
    host: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A host has acknowledged no probe.

    Attributes
    ----------
    host : str
        The host.
    """

    host: str


ProbeStep = SendProbe | AskToProbe | Unanswered


@dataclasses.dataclass(slots=True)
class _Pending:
    host: str
    sent_ms: float
    is_indirect: bool = False


class Prober:
    """Decides which hosts to probe, and which have not answered.

    Parameters
    ----------
    generator : random.Random
        Source of random choices.

    Attributes
    ----------
    slowness : float
        How late the own ticks were lately, in ticks; timeouts grow with it.
    """

    def __init__(self, generator: random.Random) -> None:
        self.slowness = 0.0
        self._generator = generator
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._round: list[str] = []
        self._last_probe_ms = 0.0
        self._last_heard_ms = 0.0
        self._alert_until_ms = 0.0
        self._last_tick_ms: float | None = None
        # When the next tick is due, if that was planned.
        self._due_ms: float | None = None

    @property
    def patience(self) -> float:
        """Factor by which timeouts are lengthened."""
        return 1 + self.slowness

    def is_isolated(self, now_ms: float) -> bool:
        """Tell whether no datagram has come for `ISOLATED_MS`."""
        return now_ms - self._last_heard_ms > ISOLATED_MS

    def record_heard(self, now_ms: float) -> None:
        """Record that a datagram has come from a peer.

        Probes sent while this host was cut off say nothing about the others.
        """
        if self.is_isolated(now_ms):
            self._pending.clear()
        self._last_heard_ms = now_ms

    def measure_pause(self, now_ms: float) -> float:
        """Return how long this process was paused since the last tick.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        float
            In ms; 0 if it was not paused.
        """
        gap_ms = self._measure_gap(now_ms)
        return gap_ms if gap_ms >= PAUSE_MS else 0

    def tick(self, hosts: Iterable[str], now_ms: float) -> list[ProbeStep]:
        """Send the next probe if it is due, and handle timeouts.

        Parameters
        ----------
        hosts : iterable of str
            Other hosts that are not dead.
        now_ms : float
            The current time, in ms.

        Returns
        -------
        list of ProbeStep
            What has to be done.
        """
        if self.measure_pause(now_ms):
            # Acknowledgements that came during the pause may be unread.
            self._pending.clear()
        self._update_slowness(now_ms)
        self._last_tick_ms = now_ms
        self._due_ms = None
        candidates = tuple(hosts)
        steps = self._handle_timeouts(candidates, now_ms)
        if any(isinstance(step, Unanswered) for step in steps):
            self._alert_until_ms = now_ms + ALERT_MS
        is_alert = now_ms < self._alert_until_ms
        interval_ms = ALERT_INTERVAL_MS if is_alert else PROBE_INTERVAL_MS
        waited_ms = now_ms - self._last_probe_ms + ROUNDING_MS
        if candidates and waited_ms >= interval_ms:
            self._last_probe_ms = now_ms
            steps.append(self._probe_next(candidates, now_ms))
        return steps

    def plan(self, now_ms: float) -> float:
        """Plan when the next tick is due.

        While nothing is awaited there is nothing to do until the next probe.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        float
            In ms; a tick `TICK_MS` after the last one is never too early.
        """
        last_ms = now_ms if self._last_tick_ms is None else self._last_tick_ms
        # Any real tick is a little late; the next one takes that much away.
        is_slow = self.slowness > SLOWNESS_DECAY
        is_alert = now_ms < self._alert_until_ms
        is_busy = self._pending or is_slow or is_alert
        interval_ms = TICK_MS if is_busy else PROBE_INTERVAL_MS
        return last_ms + interval_ms

    def expect_tick(self, due_ms: float) -> None:
        """Record when the next tick is due; a later one is late.

        Parameters
        ----------
        due_ms : float
            In ms.
        """
        self._due_ms = due_ms

    def acknowledge(self, number: int) -> None:
        """Record an acknowledgement.

        Parameters
        ----------
        number : int
            Number of the probe; ignored if it is not pending.
        """
        self._pending.pop(number, None)

    def _measure_gap(self, now_ms: float) -> float:
        if self._due_ms is not None:
            return TICK_MS + max(now_ms - self._due_ms, 0)
        last_ms = now_ms if self._last_tick_ms is None else self._last_tick_ms
        return now_ms - last_ms

    def _update_slowness(self, now_ms: float) -> None:
        late_ticks = self._measure_gap(now_ms) / TICK_MS - 1
        faded = self.slowness - SLOWNESS_DECAY
        self.slowness = min(max(late_ticks, faded, 0), MAX_SLOWNESS)

    def _probe_next(
        self, candidates: tuple[str, ...], now_ms: float
    ) -> ProbeStep:
        known = frozenset(candidates)
        self._round = [host for host in self._round if host in known]
        if not self._round:
            self._round = list(candidates)
            self._generator.shuffle(self._round)
        host = self._round.pop()
        number = next(self._numbers)
        self._pending[number] = _Pending(host, now_ms)
        return SendProbe(host, number)

    def _handle_timeouts(
        self, candidates: tuple[str, ...], now_ms: float
    ) -> list[ProbeStep]:
        steps: list[ProbeStep] = []
        for number, pending in tuple(self._pending.items()):
            waited_ms = (now_ms - pending.sent_ms) / self.patience
            if waited_ms >= ACK_TIMEOUT_MS + INDIRECT_TIMEOUT_MS:
                self._pending.pop(number)
                steps.append(Unanswered(pending.host))
            elif waited_ms >= ACK_TIMEOUT_MS and not pending.is_indirect:
                pending.is_indirect = True
                helpers = [one for one in candidates if one != pending.host]
                count = min(INDIRECT_PROBES, len(helpers))
                steps.extend(
                    AskToProbe(helper, pending.host, number)
                    for helper in self._generator.sample(helpers, count)
                )
        return steps
