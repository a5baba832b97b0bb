"""Hosts of a deployment and their states, kept alike by gossip as in SWIM.

Each change is sent a bounded number of times, so that what a host sends in a
period does not grow with the number of hosts.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

import xxhash

from hornbeampulley.membership._conditions import HostCondition, HostNews
from hornbeampulley.membership._directory import HostRecord, Member

# Each change is sent this many times log2(number of hosts).
RETRANSMIT_FACTOR: Final = 3
SUSPICION_MS: Final = 1500.0
# Dead hosts are remembered for this long, so that late news does not revive
# them, and so that two halves of a deployment find each other again.
TOMBSTONE_MS: Final = 60_000.0
_DIGEST_MASK: Final = (1 << 63) - 1


@dataclasses.dataclass(slots=True)
class _Entry:
    news: HostNews
    changed_ms: float
    sends_left: int = 0
    # Whether it is the view of this host only, which was cut off at the time.
    is_private: bool = False


class Roster:
    """All hosts that this host knows, with their conditions.

    Parameters
    ----------
    own : HostRecord
        Record of this host.

    Attributes
    ----------
    changes : int
        Number of changes so far; unchanged while no host has changed.
    """

    def __init__(self, own: HostRecord) -> None:
        self.changes = 0
        self._own_host = own.host
        self._entries: dict[str, _Entry] = {}
        # Entries of which peers are still to be told, and those of hosts that are
        # not believed to be alive. While both are empty, no entry is looked at.
        self._untold: dict[str, _Entry] = {}
        self._doubted: dict[str, _Entry] = {}
        self._digest: int | None = None
        self._put(HostNews(own), 0)

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self._entries[self._own_host].news.record

    def update_own(self, members: tuple[Member, ...], now_ms: float) -> None:
        """Publish changed processes of this host.

        Parameters
        ----------
        members : tuple of Member
            Processes that run on this host now.
        now_ms : float
            The current time, in ms.
        """
        if members != self.own.members:
            self._renew_own(self.own.age_order, now_ms, members)

    def merge(
        self, news: HostNews, now_ms: float, *, is_passed_on: bool = True
    ) -> bool:
        """Merge news from a peer.

        Parameters
        ----------
        news : HostNews
            Received news. If it says that this host is not alive, or is of
            another run of this host, it is refuted by a newer record.
        now_ms : float
            The current time, in ms.
        is_passed_on : bool
            Whether peers are told; not if they are likely to know it.

        Returns
        -------
        bool
            Whether anything has changed.
        """
        if news.record.host == self._own_host:
            return self._refute(news, now_ms)
        entry = self._entries.get(news.record.host)
        if entry is None and news.condition is HostCondition.DEAD:
            return False
        if entry is not None and entry.news.order >= news.order:
            return False
        self._put(news, now_ms, is_told=is_passed_on)
        return True

    def suspect(
        self, host: str, now_ms: float, *, is_private: bool = False
    ) -> bool:
        """Suspect a live host, because it did not answer.

        Parameters
        ----------
        host : str
            Name of the host.
        now_ms : float
            The current time, in ms.
        is_private : bool
            Whether no peer is told, since this host may be the one cut off.

        Returns
        -------
        bool
            False if it is not known, or not believed to be alive.
        """
        entry = self._entries.get(host)
        if host == self._own_host or entry is None:
            return False
        if entry.news.condition is not HostCondition.ALIVE:
            return False
        self._worsen(entry, HostCondition.SUSPECT, now_ms, is_private)
        return True

    def drop_private_views(self, now_ms: float) -> None:
        """Believe the hosts alive again that this host alone gave up.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.
        """
        private = [one for one in self._doubted.values() if one.is_private]
        for entry in private:
            self._put(HostNews(entry.news.record), now_ms, is_told=False)

    def expire(self, now_ms: float, suspicion_ms: float) -> list[HostRecord]:
        """Declare hosts dead that were suspected for too long.

        Parameters
        ----------
        now_ms : float
            The current time, in ms.
        suspicion_ms : float
            Time that a suspected host has to refute the suspicion, in ms.

        Returns
        -------
        list of HostRecord
            The hosts that are now believed to be dead.
        """
        expired = [
            entry
            for entry in self._doubted.values()
            if entry.news.condition is HostCondition.SUSPECT
            and now_ms - entry.changed_ms >= suspicion_ms
        ]
        for one in expired:
            self._worsen(one, HostCondition.DEAD, now_ms, one.is_private)
        self._forget_dead(now_ms)
        return [entry.news.record for entry in expired]

    def extend_suspicions(self, pause_ms: float) -> None:
        """Give suspected hosts more time, since this process was paused.

        Parameters
        ----------
        pause_ms : float
            Length of the pause, in ms.
        """
        for entry in self._doubted.values():
            if entry.news.condition is HostCondition.SUSPECT:
                entry.changed_ms += pause_ms

    def pick_news(self, limit: int) -> tuple[HostNews, ...]:
        """Choose the news to send with the next message.

        Parameters
        ----------
        limit : int
            Largest number of hosts.

        Returns
        -------
        tuple of HostNews
            Those sent least often so far; empty if nothing is left to send.
        """
        pending = list(self._untold.values())
        if len(pending) > limit:
            pending.sort(key=_get_sends_left, reverse=True)
        for chosen in pending[:limit]:
            chosen.sends_left -= 1
            if not chosen.sends_left:
                self._untold.pop(chosen.news.record.host)
        return tuple(entry.news for entry in pending[:limit])

    @property
    def has_news(self) -> bool:
        """Whether there are changes left to send."""
        return bool(self._untold)

    @property
    def has_suspects(self) -> bool:
        """Whether a host is suspected, and not yet believed to be dead."""
        return any(
            entry.news.condition is HostCondition.SUSPECT
            for entry in self._doubted.values()
        )

    def list_news(self) -> tuple[HostNews, ...]:
        """List all hosts known, for a peer that has to catch up."""
        return tuple(entry.news for entry in self._entries.values())

    def list_records(self, *conditions: HostCondition) -> list[HostRecord]:
        """List the hosts in given conditions.

        Parameters
        ----------
        *conditions : HostCondition
            The conditions.

        Returns
        -------
        list of HostRecord
            Records sorted by host.
        """
        records = [
            entry.news.record
            for entry in self._entries.values()
            if entry.news.condition in conditions
        ]
        return sorted(records, key=_get_host)

    def compute_digest(self) -> int:
        """Return a hash of all hosts and conditions, independent of order."""
        if self._digest is None:
            self._digest = self._hash_entries()
        return self._digest

    def _hash_entries(self) -> int:
        digest = 0
        for entry in self._entries.values():
            news = entry.news
            text = f'{news.record.host}/{news.order}'.encode()
            digest ^= xxhash.xxh3_64_intdigest(text)
        return digest & _DIGEST_MASK

    def _refute(self, news: HostNews, now_ms: float) -> bool:
        own = self.own
        is_other_run = _list_runs(news.record) != _list_runs(own)
        is_accused = news.condition is not HostCondition.ALIVE
        if not is_other_run and not is_accused:
            return False
        if news.record.age_order < own.age_order:
            return False
        self._renew_own(news.record.age_order, now_ms, own.members)
        return True

    def _renew_own(
        self,
        beyond: tuple[int, int],
        now_ms: float,
        members: tuple[Member, ...],
    ) -> None:
        started_ms, version = max(beyond, self.own.age_order)
        renewed = dataclasses.replace(
            self.own,
            started_ms=started_ms,
            version=version + 1,
            members=members,
        )
        self._put(HostNews(renewed), now_ms)

    def _worsen(
        self,
        entry: _Entry,
        condition: HostCondition,
        now_ms: float,
        is_private: bool,
    ) -> None:
        worse = HostNews(entry.news.record, condition)
        self._put(worse, now_ms, is_told=not is_private).is_private = is_private

    def _put(
        self, news: HostNews, now_ms: float, *, is_told: bool = True
    ) -> _Entry:
        host = news.record.host
        self.changes += 1
        self._digest = None
        entry = _Entry(news, now_ms)
        self._entries[host] = entry
        count = len(self._entries)
        self._doubted.pop(host, None)
        self._untold.pop(host, None)
        if news.condition is not HostCondition.ALIVE:
            self._doubted[host] = entry
        if is_told:
            sends = RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
            entry.sends_left = sends
            self._untold[host] = entry
        return entry

    def _forget_dead(self, now_ms: float) -> None:
        forgotten = [
            host
            for host, entry in self._doubted.items()
            if entry.news.condition is HostCondition.DEAD
            and now_ms - entry.changed_ms > TOMBSTONE_MS
        ]
        for host in forgotten:
            self._entries.pop(host)
            self._doubted.pop(host)
            self._untold.pop(host, None)
            self._digest = None


def _list_runs(record: HostRecord) -> Iterable[str]:
    return [member.incarnation for member in record.members]


def _get_sends_left(entry: _Entry) -> int:
    return entry.sends_left


def _get_host(record: HostRecord) -> str:
    return record.host
