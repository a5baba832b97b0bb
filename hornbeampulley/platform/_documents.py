"""Decodes the documents of the platform's operators and servers."""

import json
import logging
from collections.abc import Callable
from typing import Any, Final

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import MessageLimits
from hornbeampulley.logs import log_event
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.routing import (
    CallKind,
    EngineSpec,
    HttpRoute,
    PoolSpec,
    RoutingTable,
    Split,
    TargetRecord,
    TargetState,
    UsageCap,
    WorkspaceKeys,
)

CONFIG_KEY: Final = 'op/config'
SERVERS_PREFIX: Final = 'servers/'
# Callers abandon a stream that has not begun after the longest of these
# times: a minimum, and multiples of the latency objective and the gap
# objective of the route.
MIN_PATIENCE_MS: Final = 2000.0
PATIENCE_OBJECTIVES: Final = 4
PATIENCE_GAPS: Final = 8
MAX_SLOTS: Final = 100_000
MAX_PORT: Final = 65_535
_KINDS: Final = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_STATES: Final = {
    'ready': TargetState.READY,
    'draining': TargetState.DRAINING,
}
_MALFORMED: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)
_log = logging.getLogger(__name__)


class PlatformDecoder:
    """Decodes the items of the platform's store."""

    routing_prefix: Final = CONFIG_KEY
    targets_prefix: Final = SERVERS_PREFIX

    def read_routing(self, item: StoredItem) -> RoutingTable | None:
        """Read the configuration document of the operators.

        Parameters
        ----------
        item : StoredItem
            Item of the store.

        Returns
        -------
        RoutingTable or None
            None if the item has another key or is malformed.
        """
        if item.key != CONFIG_KEY:
            return None
        return _read(_read_table, item)

    def read_target(self, item: StoredItem) -> TargetRecord | None:
        """Read the registration of a server.

        Parameters
        ----------
        item : StoredItem
            Item of the store.

        Returns
        -------
        TargetRecord or None
            None if the item is malformed.
        """
        return _read(_read_server, item)

    def read_target_name(self, key: str) -> str:
        """Return the id of the server that a key belongs to.

        Parameters
        ----------
        key : str
            Key of a server's registration in the store.

        Returns
        -------
        str
            Id of the server.
        """
        return key.removeprefix(SERVERS_PREFIX)


def _read(reader: Callable[[str, Any], Any], item: StoredItem) -> Any:
    try:
        return reader(item.key, json.loads(item.content))
    except _MALFORMED as error:
        log_event(
            _log,
            'item_refused',
            severity=logging.WARNING,
            key=item.key,
            revision=item.revision,
            error=repr(error),
        )
        return None


def _read_table(_key: str, document: dict[str, Any]) -> RoutingTable:
    return RoutingTable(
        document['version'],
        (_read_route(route) for route in document['routes']),
        (_read_pool(pool) for pool in document['services']),
        (_read_workspace(one) for one in document.get('tenants') or ()),
        _read_limits(document.get('limits') or {}),
    )


def _read_route(route: dict[str, Any]) -> HttpRoute:
    kind = _KINDS[route['route_kind']]
    return HttpRoute(
        name=route['name'],
        host=route['host'],
        prefix=route['prefix'],
        kind=kind,
        splits=_read_splits(route),
        rank=int(route.get('priority') or 0),
        timeout_ms=float(route['timeout_ms']),
        objective_ms=float(route.get('target_latency_ms') or 0),
        gap_ms=float(route.get('gap_target_ms') or 0),
        patience_ms=_find_patience(route) if kind is CallKind.STREAM else 0,
        max_attempts=int(route.get('max_attempts') or 1),
        is_anonymous=bool(route.get('anonymous')),
        is_resumable=bool(route.get('resumable')),
    )


def _find_patience(route: dict[str, Any]) -> float:
    """Return after how many ms callers abandon a stream without an event."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_OBJECTIVES * float(route.get('target_latency_ms') or 0),
        PATIENCE_GAPS * float(route.get('gap_target_ms') or 0),
    )


def _read_splits(route: dict[str, Any]) -> tuple[Split, ...]:
    splits = route.get('split')
    if not splits:
        return (Split(route['service']),)
    return tuple(Split(one['service'], one['weight']) for one in splits)


def _read_pool(pool: dict[str, Any]) -> PoolSpec:
    engine = pool.get('engine')
    return PoolSpec(
        pool['name'],
        pool.get('health_path') or '/',
        int(pool.get('max_conns') or 0),
        _read_engine(engine) if engine else None,
    )


def _read_engine(engine: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        int(engine['slots']),
        int(engine.get('kv_capacity') or 0),
        # Tokens in one event of a stream.
        int(engine.get('stride') or 1),
    )


def _read_workspace(tenant: dict[str, Any]) -> WorkspaceKeys:
    cap = UsageCap(
        float(tenant.get('rate_per_s') or 0),
        float(tenant.get('burst') or 0),
        tenant.get('unit') == 'tokens',
        int(tenant.get('plain_tokens') or 0),
    )
    return WorkspaceKeys(
        tenant['name'],
        frozenset(key.encode() for key in tenant['api_keys']),
        tenant.get('priority'),
        cap,
    )


def _read_limits(limits: dict[str, Any]) -> MessageLimits:
    defaults = MessageLimits()
    return MessageLimits(
        int(limits.get('max_header_bytes', defaults.max_header_bytes)),
        int(limits.get('max_body_bytes', defaults.max_body_bytes)),
        float(limits.get('header_timeout_ms', defaults.header_timeout_ms)),
        float(limits.get('idle_timeout_ms', defaults.idle_timeout_ms)),
    )


def _read_server(key: str, entry: dict[str, Any]) -> TargetRecord:
    name = key.removeprefix(SERVERS_PREFIX)
    address, _, port = _expect_text(entry, 'address').rpartition(':')
    if not name or not address or not 0 < int(port) <= MAX_PORT:
        raise ValueError('name or address is missing, or port out of range')
    return TargetRecord(
        name,
        _expect_text(entry, 'service'),
        Endpoint(address, int(port)),
        _expect_text(entry, 'zone'),
        _expect_count(entry, 'slots', 1, MAX_SLOTS),
        _STATES[_expect_text(entry, 'state')],
        # Unix time of the start of this run.
        _read_born(entry),
        float(entry.get('cold_remaining_ms') or 0),
    )


def _read_born(entry: dict[str, Any]) -> int:
    if 'born' not in entry:
        return 0
    return _expect_count(entry, 'born', 0, 1 << 62)


def _expect_text(entry: dict[str, Any], name: str) -> str:
    text = entry[name]
    if not isinstance(text, str) or not text:
        raise TypeError(f'{name} is not a non-empty string')
    return text


def _expect_count(
    entry: dict[str, Any],
    name: str,
    minimum: int,
    maximum: int,
) -> int:
    count = entry[name]
    if not isinstance(count, int) or isinstance(count, bool):
        raise TypeError(f'{name} is not an integer')
    if not minimum <= count <= maximum:
        raise ValueError(f'{name} is out of range')
    return count
