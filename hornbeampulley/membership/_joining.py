"""The start of an agent: it asks its peers before it serves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class JoinSettings:
    """When a fresh agent may serve.

    Attributes
    ----------
    answers : int
        Peers that must have told what they hold.
    wait_ms : float
        Time after which it serves without them.
    """

    answers: int = 2
    wait_ms: float = 2000


class JoinTracker:
    """Tells whether the peers have been asked.

    Parameters
    ----------
    settings : JoinSettings
        The bounds.
    now_ms : float
        When the agent started.
    """

    def __init__(self, settings: JoinSettings, now_ms: float) -> None:
        self._settings = settings
        self._until_ms = now_ms + settings.wait_ms
        self._answered: set[str] = set()
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the agent may serve; never becomes false again."""
        return self._is_ready

    def record_answer(self, peer: str) -> None:
        """Note that a peer, itself ready, has told what it holds.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        if not self._is_ready:
            self._answered.add(peer)

    def update(
        self,
        peers: int | None,
        now_ms: float,
        *,
        is_pulling: bool,
    ) -> None:
        """Look whether the agent has become ready.

        Parameters
        ----------
        peers : int or None
            How many peers there are; None if that is not known yet.
        now_ms : float
            The current time.
        is_pulling : bool
            Whether a ticket of a peer is still expected.
        """
        has_answers = peers is not None and not is_pulling
        if has_answers:
            wanted = min(self._settings.answers, peers)
            has_answers = len(self._answered) >= wanted
        if has_answers or now_ms >= self._until_ms:
            self._is_ready = True
