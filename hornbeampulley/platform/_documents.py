"""Decodes the documents of the platform's operators and servers."""

import json
import logging
from collections.abc import Callable
from typing import Any, Final

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.http1 import MessageLimits
from hornbeampulley.logs import log_event
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._fields import (
    MALFORMED,
    expect_count,
    expect_endpoint,
    expect_name,
    expect_number,
    expect_text,
    read_count,
    read_number,
)
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

OPERATORS_PREFIX: Final = 'op/'
CONFIG_KEY: Final = 'op/config'
EVACUATIONS_PREFIX: Final = 'op/evacuate/'
SERVERS_PREFIX: Final = 'servers/'
# Callers abandon a stream that has not begun after the longest of these
# times: a minimum, and multiples of the latency objective and the gap
# objective of the route.
MIN_PATIENCE_MS: Final = 2000.0
PATIENCE_OBJECTIVES: Final = 4
PATIENCE_GAPS: Final = 8
MAX_SLOTS: Final = 100_000
MAX_BORN: Final = 1 << 62
MAX_VERSION: Final = 1 << 62
# Bytes of a value that can't be read.
MAX_LOGGED: Final = 80
_KINDS: Final = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_STATES: Final = {
    'ready': TargetState.READY,
    'draining': TargetState.DRAINING,
}
_log = logging.getLogger(__name__)


class PlatformDecoder:
    """Decodes the items of the platform's store."""

    routing_prefix: Final = CONFIG_KEY
    targets_prefix: Final = SERVERS_PREFIX
    operators_prefix: Final = OPERATORS_PREFIX
    evacuations_prefix: Final = EVACUATIONS_PREFIX

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

    def read_evacuated_zone(self, item: StoredItem) -> str:
        """Return the zone that an item of the operators evacuates.

        Parameters
        ----------
        item : StoredItem
            Item under `EVACUATIONS_PREFIX`, or its removal. A value that
            can't be read is logged, but its key is sufficient.

        Returns
        -------
        str
            Name of the availability zone; empty if the key names none.
        """
        zone = item.key.removeprefix(EVACUATIONS_PREFIX)
        if not item.is_deleted:
            _check_evacuation(item, zone)
        return zone

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


def read_report_start(body: bytes) -> int | None:
    """Read from a server's report when it started.

    Parameters
    ----------
    body : bytes
        Body of the report.

    Returns
    -------
    int or None
        Start in ms since 1970; None if the report does not tell it.
    """
    try:
        return expect_count(json.loads(body), 'born', 0, MAX_BORN)
    except MALFORMED as error:
        log_event(_log, 'report_unreadable', error=repr(error))
        return None


def _read(reader: Callable[[str, Any], Any], item: StoredItem) -> Any:
    try:
        return reader(item.key, json.loads(item.content))
    except MALFORMED as error:
        log_event(
            _log,
            'item_refused',
            severity=logging.WARNING,
            key=item.key,
            revision=item.revision,
            error=repr(error),
        )
        return None


def _check_evacuation(item: StoredItem, zone: str) -> None:
    """Log an evacuation whose key or value is not as it should be."""
    try:
        is_plain = isinstance(json.loads(item.content), dict)
    except MALFORMED:
        is_plain = False
    if zone and is_plain:
        return
    remedy = 'the zone is evacuated all the same; write {} as the value'
    if not zone:
        remedy = 'nothing is evacuated; write the zone at the end of the key'
    log_event(
        _log,
        'evacuation_unreadable',
        severity=logging.WARNING,
        key=item.key,
        revision=item.revision,
        value=repr(item.content[:MAX_LOGGED]),
        remedy=remedy,
    )


def _read_table(_key: str, document: dict[str, Any]) -> RoutingTable:
    return RoutingTable(
        expect_count(document, 'version', 0, MAX_VERSION),
        (_read_route(route) for route in document['routes']),
        (_read_pool(pool) for pool in document['services']),
        (_read_workspace(one) for one in document.get('tenants') or ()),
        _read_limits(document.get('limits') or {}),
    )


def _read_route(route: dict[str, Any]) -> HttpRoute:
    kind = _KINDS[route['route_kind']]
    return HttpRoute(
        name=expect_text(route, 'name'),
        host=expect_text(route, 'host'),
        prefix=expect_text(route, 'prefix'),
        kind=kind,
        splits=_read_splits(route),
        rank=read_count(route, 'priority'),
        timeout_ms=expect_number(route, 'timeout_ms'),
        objective_ms=read_number(route, 'target_latency_ms'),
        gap_ms=read_number(route, 'gap_target_ms'),
        patience_ms=_find_patience(route) if kind is CallKind.STREAM else 0,
        max_attempts=read_count(route, 'max_attempts') or 1,
        is_anonymous=bool(route.get('anonymous')),
        is_resumable=bool(route.get('resumable')),
    )


def _find_patience(route: dict[str, Any]) -> float:
    """Return after how many ms callers abandon a stream without an event."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_OBJECTIVES * read_number(route, 'target_latency_ms'),
        PATIENCE_GAPS * read_number(route, 'gap_target_ms'),
    )


def _read_splits(route: dict[str, Any]) -> tuple[Split, ...]:
    splits = route.get('split')
    if not splits:
        return (Split(expect_text(route, 'service')),)
    return tuple(
        Split(expect_text(one, 'service'), read_number(one, 'weight'))
        for one in splits
    )


def _read_pool(pool: dict[str, Any]) -> PoolSpec:
    engine = pool.get('engine')
    return PoolSpec(
        expect_text(pool, 'name'),
        pool.get('health_path') or '/',
        read_count(pool, 'max_conns'),
        _read_engine(engine) if engine else None,
        read_number(pool, 'cold_s') * MS_PER_SECOND,
        read_number(pool, 'cold_per_s'),
    )


def _read_engine(engine: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        expect_count(engine, 'slots', 1, MAX_SLOTS),
        read_count(engine, 'kv_capacity'),
        # Tokens in one event of a stream.
        read_count(engine, 'stride') or 1,
    )


def _read_workspace(tenant: dict[str, Any]) -> WorkspaceKeys:
    cap = UsageCap(
        read_number(tenant, 'rate_per_s'),
        read_number(tenant, 'burst'),
        tenant.get('unit') == 'tokens',
        read_count(tenant, 'plain_tokens'),
    )
    return WorkspaceKeys(
        expect_text(tenant, 'name'),
        frozenset(key.encode() for key in tenant['api_keys']),
        _read_rank(tenant),
        cap,
    )


def _read_rank(tenant: dict[str, Any]) -> int | None:
    has_rank = tenant.get('priority') is not None
    return read_count(tenant, 'priority') if has_rank else None


def _read_limits(limits: dict[str, Any]) -> MessageLimits:
    defaults = MessageLimits()
    return MessageLimits(
        read_count(limits, 'max_header_bytes', defaults.max_header_bytes),
        read_count(limits, 'max_body_bytes', defaults.max_body_bytes),
        read_number(limits, 'header_timeout_ms', defaults.header_timeout_ms),
        read_number(limits, 'idle_timeout_ms', defaults.idle_timeout_ms),
    )


def _read_server(key: str, entry: dict[str, Any]) -> TargetRecord:
    if not key.startswith(SERVERS_PREFIX):
        raise ValueError('the key is not that of a server')
    return TargetRecord(
        expect_name(key.removeprefix(SERVERS_PREFIX)),
        expect_text(entry, 'service'),
        expect_endpoint(entry, 'address'),
        expect_text(entry, 'zone'),
        expect_count(entry, 'slots', 1, MAX_SLOTS),
        _STATES[expect_text(entry, 'state')],
        # Unix time of the start of this run.
        expect_count(entry, 'born', 0, MAX_BORN) if 'born' in entry else 0,
        read_number(entry, 'cold_remaining_ms'),
        # Counts what the server has written of itself in this run.
        _read_sequence(entry),
        # Version of the software, not of the weights.
        _read_software(entry),
    )


def _read_software(entry: dict[str, Any]) -> str:
    return expect_text(entry, 'version') if 'version' in entry else ''


def _read_sequence(entry: dict[str, Any]) -> int | None:
    if 'sequence' not in entry:
        return None
    return expect_count(entry, 'sequence', 0, MAX_VERSION)
