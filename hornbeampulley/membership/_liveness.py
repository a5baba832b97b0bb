"""Failure detection from heartbeats."""

import dataclasses
import enum


class PeerState(enum.Enum):
    """State of a peer, as its heartbeats or their absence show."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessSettings:
    """Timeouts of the failure detector.

    Attributes
    ----------
    heartbeat_ms : float
        Interval between the heartbeats of a peer.
    suspect_ms : float
        Time without a heartbeat after which a peer is suspect.
    dead_ms : float
        Time without a heartbeat after which a peer is dead.
    pause_ms : float
        Gap between two calls of the detector from which on this process
        counts as having been paused.
    """

    heartbeat_ms: float = 200
    suspect_ms: float = 450
    dead_ms: float = 800
    pause_ms: float = 300


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """The state of a peer has changed.

    Attributes
    ----------
    peer : str
        Name of the peer.
    state : PeerState
        The new state.
    """

    peer: str
    state: PeerState


@dataclasses.dataclass(slots=True)
class _Record:
    last_heartbeat_ms: float
    state: PeerState


class FailureDetector:
    """Detects dead peers by the time since their last heartbeat.

    After a pause of this process, the time without heartbeats is counted from
    the end of the pause: heartbeats sent meanwhile may still be unread.

    Parameters
    ----------
    settings : LivenessSettings
        The timeouts.
    now_ms : float
        The current time, in ms.
    """

    def __init__(self, settings: LivenessSettings, now_ms: float) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}
        self._last_call_ms = now_ms
        self._resumed_ms = now_ms

    def add(self, peer: str, now_ms: float) -> None:
        """Start to watch a peer; it counts as live at first.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now_ms : float
            The current time, in ms.
        """
        self._records.setdefault(peer, _Record(now_ms, PeerState.LIVE))

    def remove(self, peer: str) -> None:
        """Stop watching a peer.

        Parameters
        ----------
        peer : str
            Name of the peer; ignored if it is not watched.
        """
        self._records.pop(peer, None)

    def record_heartbeat(
        self,
        peer: str,
        now_ms: float,
        *,
        is_draining: bool = False,
    ) -> tuple[StateChange, ...]:
        """Record a heartbeat or any other message from a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now_ms : float
            The current time, in ms.
        is_draining : bool
            Whether the peer reports that it is shutting down.

        Returns
        -------
        tuple of StateChange
            The change of the peer's state; empty if there is none.
        """
        self._detect_pause(now_ms)
        self.add(peer, now_ms)
        record = self._records[peer]
        record.last_heartbeat_ms = now_ms
        state = PeerState.DRAINING if is_draining else PeerState.LIVE
        return self._set_state(peer, state)

    def tick(self, now_ms: float) -> tuple[StateChange, ...]:
        """Check all peers for timeouts; to be called several times a second.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.

        Returns
        -------
        tuple of StateChange
            One for each peer that became suspect or dead.
        """
        self._detect_pause(now_ms)
        changes: list[StateChange] = []
        for peer, record in self._records.items():
            silence_ms = now_ms - max(
                record.last_heartbeat_ms, self._resumed_ms
            )
            changes.extend(
                self._set_state(peer, self._evaluate(record, silence_ms))
            )
        return tuple(changes)

    def get_state(self, peer: str) -> PeerState:
        """Return the state of a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.

        Returns
        -------
        PeerState
            LIVE if the peer is not watched, as there is no sign of a failure.
        """
        record = self._records.get(peer)
        return record.state if record else PeerState.LIVE

    def list_peers(self, *states: PeerState) -> tuple[str, ...]:
        """List the peers in given states.

        Parameters
        ----------
        *states : PeerState
            The states.

        Returns
        -------
        tuple of str
            Sorted names.
        """
        return tuple(
            sorted(
                peer
                for peer, record in self._records.items()
                if record.state in states
            ),
        )

    def list_unusable(self) -> tuple[str, ...]:
        """List the peers that must not own a shard.

        Returns
        -------
        tuple of str
            Sorted names of the dead and the draining peers.
        """
        return self.list_peers(PeerState.DEAD, PeerState.DRAINING)

    @property
    def resumed_ms(self) -> float:
        """End of the last pause of this process, in ms."""
        return self._resumed_ms

    def _detect_pause(self, now_ms: float) -> None:
        if now_ms - self._last_call_ms >= self._settings.pause_ms:
            self._resumed_ms = now_ms
        self._last_call_ms = now_ms

    def _evaluate(self, record: _Record, silence_ms: float) -> PeerState:
        if record.state is PeerState.DEAD:
            return PeerState.DEAD
        if silence_ms >= self._settings.dead_ms:
            return PeerState.DEAD
        is_late = silence_ms >= self._settings.suspect_ms
        if is_late and record.state is PeerState.LIVE:
            return PeerState.SUSPECT
        return record.state

    def _set_state(
        self, peer: str, state: PeerState
    ) -> tuple[StateChange, ...]:
        record = self._records[peer]
        if record.state is state:
            return ()
        record.state = state
        return (StateChange(peer, state),)
