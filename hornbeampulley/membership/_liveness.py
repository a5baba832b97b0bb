"""Failure detection from heartbeats."""

import dataclasses
import enum


class PeerState(enum.Enum):
    """What the silence of a peer means."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessSettings:
    """Times of the failure detector.

    Attributes
    ----------
    heartbeat_ms : float
        Interval between the heartbeats of a peer.
    suspect_ms : float
        Silence after which a peer is suspect.
    dead_ms : float
        Silence after which a peer is dead.
    pause_ms : float
        Gap between two calls that counts as a pause of this process.
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
    """Tells which peers are dead from the time since their last heartbeat.

    After a pause of this process the silence of its peers counts from the end
    of the pause, since their heartbeats may still wait to be read.

    Parameters
    ----------
    settings : LivenessSettings
        The times.
    now_ms : float
        The current time.
    """

    def __init__(self, settings: LivenessSettings, now_ms: float) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}
        self._last_call_ms = now_ms
        self._resumed_ms = now_ms

    def add(self, peer: str, now_ms: float) -> None:
        """Start to watch a peer; it is live until it has been silent.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now_ms : float
            The current time.
        """
        self._records.setdefault(peer, _Record(now_ms, PeerState.LIVE))

    def forget(self, peer: str) -> None:
        """Stop to watch a peer.

        Parameters
        ----------
        peer : str
            Name of the peer; may be unknown.
        """
        self._records.pop(peer, None)

    def record_heartbeat(
        self,
        peer: str,
        now_ms: float,
        *,
        is_draining: bool = False,
    ) -> tuple[StateChange, ...]:
        """Take a heartbeat or any other message of a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now_ms : float
            The current time.
        is_draining : bool
            Whether the peer says that it is shutting down.

        Returns
        -------
        tuple of StateChange
            Empty or one.
        """
        self._detect_pause(now_ms)
        self.add(peer, now_ms)
        record = self._records[peer]
        record.last_heartbeat_ms = now_ms
        state = PeerState.DRAINING if is_draining else PeerState.LIVE
        return self._set_state(peer, state)

    def tick(self, now_ms: float) -> tuple[StateChange, ...]:
        """Look for silent peers; to be called several times a second.

        Parameters
        ----------
        now_ms : float
            The current time.

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
            LIVE if the peer is not watched: nothing speaks against it.
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
        """List the peers that may own no shard.

        Returns
        -------
        tuple of str
            Sorted names of the dead and the draining.
        """
        return self.list_peers(PeerState.DEAD, PeerState.DRAINING)

    @property
    def resumed_ms(self) -> float:
        """When the last pause of this process ended."""
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
