"""Start-up of an agent, which asks its peers for tickets before it serves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class JoinSettings:
    """When an agent that has just started may serve.

    Attributes
    ----------
    answers : int
        Peers whose ticket summaries the agent waits for.
    wait_ms : float
        Time after which it serves without them, in ms.
    """

    answers: int = 2
    wait_ms: float = 2000


class JoinTracker:
    """Decides when an agent that has just started may serve.

    Parameters
    ----------
    settings : JoinSettings
        How many answers to wait for, and how long.
    now_ms : float
        Start of the agent, in ms.
    """

    def __init__(self, settings: JoinSettings, now_ms: float) -> None:
        self._settings = settings
        self._until_ms = now_ms + settings.wait_ms
        self._answered: set[str] = set()
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the agent may serve; once true, it stays so."""
        return self._is_ready

    def record_answer(self, peer: str) -> None:
        """Record that a peer, which is itself ready, sent its ticket summary.

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
        """Check whether the agent has become ready.

        Parameters
        ----------
        peers : int or None
            Number of peers; None if it is not known yet.
        now_ms : float
            The current time, in ms.
        is_pulling : bool
            Whether a ticket pulled from a peer has not arrived yet.
        """
        has_answers = peers is not None and not is_pulling
        if has_answers:
            wanted = min(self._settings.answers, peers)
            has_answers = len(self._answered) >= wanted
        if has_answers or now_ms >= self._until_ms:
            self._is_ready = True
