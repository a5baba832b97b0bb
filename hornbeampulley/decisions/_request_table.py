"""The requests known to a core, by id, home entry and idempotency key."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from hornbeampulley.decisions._events import Reserve
from hornbeampulley.decisions._requests import Request, Stage

MAX_ENDED: Final = 16384
KEY_WINDOW_MS: Final = 600000.0
RETRY_SHARE: Final = 0.1
MAX_RETRIES: Final = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    request_id: str
    until_ms: float


class RetryBudget:
    """Limits the retries of each workspace to a share of its leases."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def earn(self, workspace: str) -> None:
        """Credit the budget for a lease."""
        tokens = self._tokens.get(workspace, MAX_RETRIES)
        self._tokens[workspace] = min(tokens + RETRY_SHARE, MAX_RETRIES)

    def spend(self, workspace: str) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        tokens = self._tokens.get(workspace, MAX_RETRIES)
        if tokens < 1:
            return False
        self._tokens[workspace] = tokens - 1
        return True


class RequestTable:
    """The known requests, and the ids of those that ended recently."""

    def __init__(self) -> None:
        self._requests: dict[str, Request] = {}
        self._homes: dict[str, dict[str, None]] = {}
        self._ended: dict[str, None] = {}
        self._claims: dict[tuple[str, str], _Claim] = {}

    def __iter__(self) -> Iterator[Request]:
        """Iterate over the known requests."""
        return iter(tuple(self._requests.values()))

    def find(self, request_id: str) -> Request | None:
        """Return the request of an id, or None if it is unknown."""
        return self._requests.get(request_id)

    def has_ended(self, request_id: str) -> bool:
        """Tell whether a request ended recently."""
        return request_id in self._ended

    def add(self, request: Request) -> None:
        """Add a request."""
        self._requests[request.request_id] = request
        home = self._homes.setdefault(request.reserve.home, {})
        home[request.request_id] = None

    def end(self, request: Request) -> None:
        """Remove a request, and remember its id as ended."""
        request.stage = Stage.ENDED
        self._requests.pop(request.request_id)
        home = self._homes[request.reserve.home]
        home.pop(request.request_id)
        if not home:
            self._homes.pop(request.reserve.home)
        self._ended[request.request_id] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.pop(next(iter(self._ended)))

    def forget(self, request: Request) -> None:
        """Remove a request entirely, so that its home can announce it again."""
        self.end(request)
        self._ended.pop(request.request_id)

    def list_home(self, home: str) -> list[Request]:
        """List the known requests of a home entry."""
        return [self._requests[name] for name in self._homes.get(home, {})]

    def claim_key(self, reserve: Reserve, now_ms: float) -> bool:
        """Claim a request's idempotency key.

        Parameters
        ----------
        reserve : Reserve
            Reservation of the request.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            False if another request claimed the key within the window.
        """
        if not reserve.idempotency_key:
            return True
        if self.is_key_taken(reserve, now_ms):
            return False
        until_ms = now_ms + KEY_WINDOW_MS
        key = (reserve.workspace, reserve.idempotency_key)
        self._claims.pop(key, None)
        self._claims[key] = _Claim(reserve.request_id, until_ms)
        self._remove_expired_claims(now_ms)
        return True

    def is_key_taken(self, reserve: Reserve, now_ms: float) -> bool:
        """Tell whether another request holds the idempotency key."""
        key = (reserve.workspace, reserve.idempotency_key)
        claim = self._claims.get(key)
        if claim is None or claim.until_ms <= now_ms:
            return False
        return claim.request_id != reserve.request_id

    def release_key(self, reserve: Reserve) -> None:
        """Release the key of a request that was not executed."""
        key = (reserve.workspace, reserve.idempotency_key)
        claim = self._claims.get(key)
        if claim is not None and claim.request_id == reserve.request_id:
            self._claims.pop(key)

    def _remove_expired_claims(self, now_ms: float) -> None:
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].until_ms > now_ms:
                return
            self._claims.pop(key)
