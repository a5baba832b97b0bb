"""Which entries the caller library uses, and its leases of ids."""

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
    BROKEN,
    HttpRequest,
    Transport,
    decode_headers,
)
from hornbeampulley.clock import Clock, to_seconds
from hornbeampulley.errors import NoEntryError
from hornbeampulley.identity import IdLease

AVOID_MS: Final = 2000.0
LOOKUP_TIMEOUT_MS: Final = 1000.0
# An id must still be admitted when it arrives.
LEASE_MARGIN_MS: Final = 2000.0
_HTTP_OK: Final = 200
_HTTP_NOT_FOUND: Final = 404


@dataclasses.dataclass(slots=True)
class _HeldLease:
    """A lease of ids and how far it is used."""

    lease: IdLease
    ends_ms: float
    used: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Lookup:
    """What an entry told of the fleet."""

    urls: tuple[str, ...]
    keep_ms: float
    lease: IdLease | None


class EntryPool:
    """Chooses entries and forms ids under their leases.

    Parameters
    ----------
    seeds : tuple of str
        Base URLs of entries to ask first.
    workspace : str
        Whose ids are leased.
    transport : Transport
        For the lookups.
    clock : Clock
        For lifetimes.
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
        self._kept_until_ms = 0.0
        self._leases: dict[str, _HeldLease] = {}
        self._avoided: dict[str, float] = {}
        self._lock = trio.Lock()

    @property
    def urls(self) -> tuple[str, ...]:
        """Entries in use, best first; the seeds before the first lookup."""
        return self._urls or self._seeds

    async def assign(self) -> Assignment:
        """Form an id that was never used.

        Returns
        -------
        Assignment
            The id and its home.

        Raises
        ------
        NoEntryError
            If no entry answers.
        RequestRefusedError
            If the workspace is unknown.
        """
        async with self._lock:
            await self._refresh()
            for url in self._list_usable():
                held = await self._hold_lease(url)
                if held is not None:
                    return _form_assignment(held, url)
        raise NoEntryError(
            f'none of the entries {", ".join(self.urls)} answers; check the '
            'seeds and the network, then send the request again',
        )

    def avoid(self, url: str) -> None:
        """Use an entry only if no other is left, for a while.

        Parameters
        ----------
        url : str
            Base of its URLs.
        """
        self._avoided[url] = self._clock.now() + AVOID_MS

    def drop_lease(self, url: str) -> None:
        """Ask for a new lease before the next id is formed.

        Parameters
        ----------
        url : str
            Base URL of the entry that granted the lease.
        """
        self._leases.pop(url, None)

    def list_others(self, url: str) -> tuple[str, ...]:
        """List entries that can pass a request on to its home.

        Parameters
        ----------
        url : str
            Base URL of the home.

        Returns
        -------
        tuple of str
            The other entries, then other seeds.
        """
        known = dict.fromkeys((*self.urls, *self._seeds))
        known.pop(url, None)
        return tuple(known)

    async def _refresh(self) -> None:
        if self._clock.now() < self._kept_until_ms:
            return
        for url in dict.fromkeys((*self._list_usable(), *self._seeds)):
            if await self._look_up(url) is not None:
                return

    async def _hold_lease(self, url: str) -> _HeldLease | None:
        held = self._leases.get(url)
        if held is not None and self._is_usable(held):
            return held
        self._leases.pop(url, None)
        await self._look_up(url)
        return self._leases.get(url)

    def _is_usable(self, held: _HeldLease) -> bool:
        return held.used < held.lease.count and self._clock.now() < held.ends_ms

    def _list_usable(self) -> Iterator[str]:
        now_ms = self._clock.now()
        ordered = sorted(
            self.urls,
            key=lambda url: self._avoided.get(url, 0) > now_ms,
        )
        yield from ordered

    async def _look_up(self, url: str) -> _Lookup | None:
        asked_ms = self._clock.now()
        lookup = None
        try:
            with trio.move_on_after(to_seconds(LOOKUP_TIMEOUT_MS)):
                lookup = await self._ask(url)
        except BROKEN:
            lookup = None
        if lookup is None:
            self.avoid(url)
            return None
        self._take(url, lookup, asked_ms)
        return lookup

    async def _ask(self, url: str) -> _Lookup | None:
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

    def _take(self, url: str, lookup: _Lookup, asked_ms: float) -> None:
        self._urls = lookup.urls or self._seeds
        self._kept_until_ms = asked_ms + lookup.keep_ms
        if lookup.lease is None:
            self.avoid(url)
            return
        ends_ms = asked_ms + lookup.lease.lifetime_ms - LEASE_MARGIN_MS
        self._leases[url] = _HeldLease(lookup.lease, ends_ms)


def _form_assignment(held: _HeldLease, url: str) -> Assignment:
    request_id = held.lease.form(held.used)
    held.used += 1
    return Assignment(request_id, url)


def _parse_lookup(body: bytes) -> _Lookup | None:
    try:
        return _read_lookup(json.loads(body))
    except (ValueError, KeyError, TypeError):
        return None


def _read_lookup(document: dict[str, Any]) -> _Lookup:
    urls = tuple(entry['url'] for entry in document['entries'])
    ids = document.get('ids')
    return _Lookup(
        urls,
        document['keep_ms'],
        IdLease(**ids) if ids else None,
    )
