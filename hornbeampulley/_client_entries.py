"""Entry lookup and id leases of the caller library."""

import dataclasses
import json
from collections.abc import Iterator
from typing import Any, Final

import trio

from hornbeampulley._client_messages import (
    PROBLEM_TYPE,
    Assignment,
    parse_refusal,
)
from hornbeampulley._client_transport import (
    CONNECTION_ERRORS,
    HttpRequest,
    Transport,
    decode_headers,
)
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import NoEntryError
from hornbeampulley.identity import IdLease

AVOID_MS: Final = 2000.0
LOOKUP_TIMEOUT_MS: Final = 1000.0
# Subtracted from the lifetime of a lease, so that its ids are still valid when
# they reach the entry.
LEASE_MARGIN_MS: Final = 2000.0
_HTTP_OK: Final = 200
_HTTP_NOT_FOUND: Final = 404


@dataclasses.dataclass(slots=True)
class _LeaseState:
    """An id lease, its expiry and the number of ids used."""

    lease: IdLease
    expires_ms: float
    used: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _LookupResult:
    """Answer of an entry: the entries to use and an id lease."""

    urls: tuple[str, ...]
    keep_ms: float
    lease: IdLease | None


class EntryPool:
    """Chooses entries and assigns request ids under leases from them.

    Parameters
    ----------
    seeds : tuple of str
        Base URLs of the entries that are asked first.
    workspace : str
        Name of the workspace that the ids are leased for.
    transport : Transport
        Opens the HTTP exchanges for lookups.
    clock : Clock
        Clock for the expiry of lookups and leases.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        workspace: str,
        transport: Transport,
        clock: Clock,
    ) -> None:
        self._seeds = seeds
        self._workspace = workspace
        self._transport = transport
        self._clock = clock
        self._urls: tuple[str, ...] = ()
        self._lookup_expires_ms = 0.0
        self._leases: dict[str, _LeaseState] = {}
        self._avoided_until_ms: dict[str, float] = {}
        self._lock = trio.Lock()

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the known entries, in order of preference.

        The seeds before the first lookup.
        """
        return self._urls or self._seeds

    async def assign(self) -> Assignment:
        """Assign a new request id.

        Returns
        -------
        Assignment
            The id and its home, the entry that granted the lease.

        Raises
        ------
        NoEntryError
            If no entry grants a lease.
        RequestRefusedError
            If the workspace is unknown.
        """
        async with self._lock:
            await self._refresh()
            for url in self._order_by_preference():
                held = await self._obtain_lease(url)
                if held is not None:
                    return _make_assignment(held, url)
        raise NoEntryError(
            f'none of the entries {", ".join(self.urls)} answers; check the '
            'seeds and the network, then send the request again',
        )

    def avoid(self, url: str) -> None:
        """Prefer other entries for the next `AVOID_MS`.

        Parameters
        ----------
        url : str
            Base URL of the entry.
        """
        self._avoided_until_ms[url] = self._clock.now() + AVOID_MS

    def drop_lease(self, url: str) -> None:
        """Discard a lease, so that the next id needs a new one.

        Parameters
        ----------
        url : str
            Base URL of the entry that granted the lease.
        """
        self._leases.pop(url, None)

    def list_others(self, url: str) -> tuple[str, ...]:
        """List entries that can forward a request to its home.

        Parameters
        ----------
        url : str
            Base URL of the home.

        Returns
        -------
        tuple of str
            Base URLs of the other entries, then of the other seeds.
        """
        known = dict.fromkeys((*self.urls, *self._seeds))
        known.pop(url, None)
        return tuple(known)

    async def _refresh(self) -> None:
        if self._clock.now() < self._lookup_expires_ms:
            return
        for url in dict.fromkeys((*self._order_by_preference(), *self._seeds)):
            if await self._look_up(url) is not None:
                return

    async def _obtain_lease(self, url: str) -> _LeaseState | None:
        held = self._leases.get(url)
        if held is not None and self._is_lease_usable(held):
            return held
        self._leases.pop(url, None)
        await self._look_up(url)
        return self._leases.get(url)

    def _is_lease_usable(self, held: _LeaseState) -> bool:
        return (
            held.used < held.lease.count and self._clock.now() < held.expires_ms
        )

    def _order_by_preference(self) -> Iterator[str]:
        now_ms = self._clock.now()
        ordered = sorted(
            self.urls,
            key=lambda url: self._avoided_until_ms.get(url, 0) > now_ms,
        )
        yield from ordered

    async def _look_up(self, url: str) -> _LookupResult | None:
        sent_ms = self._clock.now()
        lookup = None
        try:
            with trio.move_on_after(to_seconds(LOOKUP_TIMEOUT_MS)):
                lookup = await self._fetch(url)
        except CONNECTION_ERRORS:
            lookup = None
        if lookup is None:
            self.avoid(url)
            return None
        self._apply_lookup(url, lookup, sent_ms)
        return lookup

    async def _fetch(self, url: str) -> _LookupResult | None:
        path = f'{url}/v1/entries?workspace={self._workspace}'
        async with self._transport.open(HttpRequest('GET', path)) as response:
            body = await response.aread()
            status = response.status
            headers = decode_headers(response)
        if status == _HTTP_OK:
            return _parse_lookup(body)
        is_problem = headers.get('content-type') == PROBLEM_TYPE
        if status == _HTTP_NOT_FOUND and is_problem:
            raise parse_refusal(body, status).to_error('')
        return None

    def _apply_lookup(
        self, url: str, lookup: _LookupResult, sent_ms: float
    ) -> None:
        self._urls = lookup.urls or self._seeds
        self._lookup_expires_ms = sent_ms + lookup.keep_ms
        if lookup.lease is None:
            self.avoid(url)
            return
        expires_ms = sent_ms + lookup.lease.lifetime_ms - LEASE_MARGIN_MS
        self._leases[url] = _LeaseState(lookup.lease, expires_ms)


def _make_assignment(held: _LeaseState, url: str) -> Assignment:
    request_id = held.lease.make_id(held.used)
    held.used += 1
    return Assignment(request_id, url)


def _parse_lookup(body: bytes) -> _LookupResult | None:
    try:
        return _convert_lookup(json.loads(body))
    except (ValueError, KeyError, TypeError):
        return None


def _convert_lookup(document: dict[str, Any]) -> _LookupResult:
    urls = tuple(entry['url'] for entry in document['entries'])
    ids = document.get('ids')
    return _LookupResult(
        urls,
        document['keep_ms'],
        IdLease(**ids) if ids else None,
    )
